/** Appends journal records in batches and says whether each took effect. */
export * from './journal.js'
export * from './counters.js'
export type { Appended } from './pending-record.js'
