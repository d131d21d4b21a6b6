/** Decides whether a new program is admitted. */
export * from './decide-admission.js'
