/** Which upstreams of a service are live, what this process has running there, and which one takes the next request. */
export * from './upstream-list.js'
export * from './choose-upstream.js'
export * from './peer-loads.js'
export * from './find-outliers.js'
export * from './typical-latencies.js'
