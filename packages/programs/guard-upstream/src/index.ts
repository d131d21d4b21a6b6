/** Single point of access to a host's upstreams: dispatch, request keys, seals, prefix holds and queue order. */
export * from './dispatch-records.js'
export type * from './upstream-state.js'
export * from './prefix-holds.js'
export * from './upstream-guard.js'
