/** Ownership of shards through a group lease: fences former owners by epoch and appends records in batches. */
export * from './shard-writer.js'
export * from './owned-shard.js'
export * from './shard-owner.js'
export * from './newest-records.js'
