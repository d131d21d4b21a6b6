/** Appends journal records in batches, reports whether each took effect, and loads programs from the log. */
export * from './journal.js'
export * from './counters.js'
export type { AppendOutcome } from './pending-record.js'
