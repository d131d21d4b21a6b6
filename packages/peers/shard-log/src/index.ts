/** Interface to the store that holds the shards: fenced appends, newest records, group leases. */
export * from './shard-log.js'
export * from './store-call.js'
export * from './check-answer.js'
