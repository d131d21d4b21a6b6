/** Writes the last log line of a process that ends by itself, from its first statement on. */
export * from './closed-output.js'
export * from './exit-log.js'
