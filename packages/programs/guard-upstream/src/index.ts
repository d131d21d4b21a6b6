/** The only door to a host's upstreams: dispatch, request keys, seals, prefix holds and orders. */
export * from './dispatch-records.js'
export type * from './door.js'
export * from './prefix-holds.js'
export * from './upstream-guard.js'
