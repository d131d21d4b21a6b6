/** State of the programs of one shard: their turns, chains and token budgets, as keyed records. */
export * from './records.js'
export * from './turn-ledger.js'
