/** The records of a program's journal: a closed tagged union. */
import type * as ids from './ids.js'
import type * as program from './program.js'

/** Version of the record format that this code writes. */
export const journalFormat = 1

interface RecordBase {
  readonly program: ids.ProgramId
  /** Sequence number in the program's chain of records, from 1; a record takes effect only if its number is the next one. */
  readonly n: number
  /** The term that it was written in; for a claim the term that it supersedes; 0 for a begin. */
  readonly term: ids.Term
}

/** A process that is the home of a program or the receiver of a dispatch. */
export interface ProcessRef {
  readonly host: ids.HostId
  readonly incarnation: ids.Incarnation
}

/** Starts a program; the process that writes it is the first home. */
export interface BeginRecord extends RecordBase {
  readonly type: 'begin'
  readonly start: program.ProgramStart
  readonly home: ProcessRef
  readonly at: ids.EpochMs
  /** Sets the allowance, as an allow record does. */
  readonly allowance?: program.Usage
}

/** Makes the process that writes it the home; the position of the record becomes the term. */
export interface ClaimRecord extends RecordBase {
  readonly type: 'claim'
  readonly home: ProcessRef
  readonly at: ids.EpochMs
}

/** Written ahead of the only dispatch of a non-idempotent call, to the process `dispatchTo`. */
export interface IntentRecord extends RecordBase {
  readonly type: 'intent'
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  readonly seq: number
  readonly digest: string
  readonly target: program.CallTarget
  readonly upstream: ids.UpstreamId
  readonly dispatchTo: ProcessRef
  readonly reserved: program.Usage
  readonly at: ids.EpochMs
}

/** A finished call: appended to the history of its branch. */
export interface TurnRecord extends RecordBase {
  readonly type: 'turn'
  readonly turn: program.Turn
  /** Sets the allowance, as an allow record does; unchanged if absent. */
  readonly allowance?: program.Usage
}

/**
 * Sets what the home may use on calls that have no record yet; replaces the previous allowance. A claim counts the
 * allowance of the home that it supersedes as spent, since it can't be known how much of it that home used.
 */
export interface AllowRecord extends RecordBase {
  readonly type: 'allow'
  readonly allowance: program.Usage
}

/** Closes an intent that did not run: releases its reservation and its sequence number in the branch. */
export interface SettleRecord extends RecordBase {
  readonly type: 'settle'
  readonly key: ids.RequestKey
  readonly verdict: 'notRun'
}

/** Ends a program. */
export interface FinishRecord extends RecordBase {
  readonly type: 'finish'
  readonly result: FinishResult
  readonly at: ids.EpochMs
}
/** How a program ended. */
export type FinishResult = 'done' | 'cancelled' | 'budgetExceeded' | 'expired'

/** The complete state of a program at this point of its journal, so that older records may expire. */
export interface SnapshotRecord extends RecordBase {
  readonly type: 'snapshot'
  readonly state: SnapshotState
}

/** State of a program in a snapshot. */
export interface SnapshotState {
  readonly start: program.ProgramStart
  readonly home: ProcessRef
  readonly term: ids.Term
  readonly at: ids.EpochMs
  readonly turns: readonly program.Turn[]
  readonly intents: readonly Omit<IntentRecord, 'type' | 'program' | 'n' | 'term'>[]
  readonly finished: FinishResult | null
  readonly allowance: program.Usage
  /** Allowances of earlier homes, counted as spent. */
  readonly forfeited: program.Usage
}

/** Any record of a journal. */
export type JournalRecord = BeginRecord | ClaimRecord | IntentRecord | AllowRecord | TurnRecord | SettleRecord | FinishRecord | SnapshotRecord

/** Content of one append to a journal stream. */
export interface JournalBatch {
  readonly format: typeof journalFormat
  readonly records: readonly JournalRecord[]
}

/** Maximum number of records in a batch; limits the index part of a position. */
export const maxBatchRecords = 4096

/** Combines the log offset of a batch and the index of a record in it into the position of the record in its stream, from 1. */
export function toPosition (offset: ids.LogOffset, index: number): ids.Term {
  return (offset * maxBatchRecords + index + 1) as ids.Term
}

/** Returns the log offset of a position. */
export function toOffset (position: ids.Term): ids.LogOffset {
  return Math.floor((position - 1) / maxBatchRecords) as ids.LogOffset
}
