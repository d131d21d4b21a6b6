/** State of the programs of one shard: their turns, chains and token budgets, stored as keyed records. Does no I/O. */
export * from './records.js'
export * from './turn-ledger.js'
export type { StoredTurn } from './turn-chains.js'
