/** Keeps the memory of a process small. */
export * from './young-generation.js'
