/** Structured logs by bunyan, with the ids of program, call and host. */
export * from './logger.js'
export * from './bounded-lines.js'
