/** Selects the upstream for a call of a program. */
export * from './candidate.js'
export * from './place-call.js'
export * from './in-flight-history.js'
export * from './slow-upstreams.js'
