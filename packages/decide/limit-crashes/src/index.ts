/** Limits how many upstreams may end while they run the same request. */
export * from './fingerprint.js'
export * from './crash-records.js'
export * from './select-keepers.js'
