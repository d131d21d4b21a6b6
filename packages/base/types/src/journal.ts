/** The records of a program's journal: a closed tagged union. */
import type * as ids from './ids.js'
import type * as program from './program.js'

/** Version of the record format that this code writes. */
export const journalFormat = 1

interface RecordBase {
  readonly program: ids.ProgramId
  /** Position in the program's own chain of records, from 1: a record counts only if it is the next. */
  readonly n: number
  /** The term under which it was written; for a claim the term that it supersedes; 0 for a begin. */
  readonly term: ids.Term
}

/** Which process a home or a dispatch was given to. */
export interface ProcessRef {
  readonly host: ids.HostId
  readonly incarnation: ids.Incarnation
}

/** Starts a program; its writer is the first home. */
export interface BeginRecord extends RecordBase {
  readonly type: 'begin'
  readonly start: program.ProgramStart
  readonly home: ProcessRef
  readonly at: ids.EpochMs
  /** As of an allow record. */
  readonly allowance?: program.Usage
}

/** Makes its writer the home; the record's own position becomes the term. */
export interface ClaimRecord extends RecordBase {
  readonly type: 'claim'
  readonly home: ProcessRef
  readonly at: ids.EpochMs
}

/** Says that a non-idempotent call is about to be dispatched, once, to that process. */
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
  /** As of an allow record; unchanged where left out. */
  readonly allowance?: program.Usage
}

/**
 * What the home may use on calls that have no record yet. Replaces the allowance before it. A claim counts the
 * allowance of the home that it supersedes as spent, since nobody can know what that home used of it.
 */
export interface AllowRecord extends RecordBase {
  readonly type: 'allow'
  readonly allowance: program.Usage
}

/** Ends an intent that did not run: its reservation is returned and its place in the branch is free again. */
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
export type FinishResult = 'done' | 'cancelled' | 'budgetExceeded' | 'expired'

/** The whole state of a program at one point, so that older records may expire. */
export interface SnapshotRecord extends RecordBase {
  readonly type: 'snapshot'
  readonly state: SnapshotState
}

/** What a snapshot carries. */
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

export type JournalRecord = BeginRecord | ClaimRecord | IntentRecord | AllowRecord | TurnRecord | SettleRecord | FinishRecord | SnapshotRecord

/** One append to a journal stream. */
export interface JournalBatch {
  readonly format: typeof journalFormat
  readonly records: readonly JournalRecord[]
}

/** Records a batch may hold; bounds the index part of a position. */
export const maxBatchRecords = 4096

/** A record's place in its stream: log offset and index in the batch, as one ordered number. */
export function toPosition (offset: ids.LogOffset, index: number): ids.Term {
  return (offset * maxBatchRecords + index + 1) as ids.Term
}

/** The log offset of a position. */
export function toOffset (position: ids.Term): ids.LogOffset {
  return Math.floor((position - 1) / maxBatchRecords) as ids.LogOffset
}
