/** Owns shards by a group lease, fences former owners by epoch, and appends their records in groups. */
export * from './shard-writer.js'
export * from './owned-shard.js'
export * from './shard-owner.js'
