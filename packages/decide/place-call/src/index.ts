/** Decides which engine or service host takes the next call. */
export * from './candidate.js'
export * from './place-call.js'
export * from './in-flight-history.js'
export * from './slow-upstreams.js'
