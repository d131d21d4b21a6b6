/** Tracks the upstreams of each service, the requests in flight at them and their health, and selects the one for the next request. */
export * from './upstream-list.js'
export * from './choose-upstream.js'
export * from './peer-loads.js'
export * from './find-outliers.js'
export * from './typical-latencies.js'
