/** Branded ids, verdicts and the data types that the other packages share. */
export * from './ids.js'
export * from './verdict.js'
export * from './program.js'
export * from './journal.js'
export * from './host.js'
export * from './wire.js'
export * from './status.js'
