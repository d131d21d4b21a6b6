/** Structured logs, written by bunyan, with the ids of host, program and call. */
export * from './logger.js'
export * from './bounded-lines.js'
