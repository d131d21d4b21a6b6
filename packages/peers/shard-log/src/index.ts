/** The port to the store that keeps the shards: fenced appends, newest records, group leases. */
export * from './shard-log.js'
export * from './store-call.js'
