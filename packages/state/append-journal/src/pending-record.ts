/** A record whose outcome its writer does not know yet. */
import type * as errors from '@eelgrasswind/errors'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'

/** The outcome of a record that is in the log. */
export interface AppendOutcome {
  readonly position: types.Term
  /** Whether the record took effect. */
  readonly applied: boolean
  readonly effect: programState.Effect
}

/** A record with its retry state. Mutated by the writer and the fold of its shard. */
export interface PendingRecord {
  readonly record: types.JournalRecord
  readonly text: string
  /** Size of the text in bytes. */
  readonly bytes: number
  /** Monotonic time at which the append times out, in milliseconds. */
  deadline: number
  /** Whether a copy of the record may be in the log already or may still be appended. */
  mayBeAppended: boolean
  /** Whether `result` is still open. A timed-out record that may still be appended stays tracked, to recognize its copies. */
  isAwaited: boolean
  /** Whether the record timed out and is being sent again, to find out whether it holds its sequence number. */
  isResending: boolean
  /** Whether a later append of the same record has replaced this one and waits for the outcome. */
  isReplaced: boolean
  /** Outcome of the copy that took effect or, if none did, of the first copy read; undefined if none was read. */
  outcome: AppendOutcome | undefined
  readonly result: Promise<errors.Result<AppendOutcome>>
  readonly settle: (result: errors.Result<AppendOutcome>) => void
}

/** Creates a pending record whose `result` is open. `deadline` is monotonic time in milliseconds. */
export function createPendingRecord (record: types.JournalRecord, text: string, deadline: number): PendingRecord {
  let resolveResult: PendingRecord['settle'] = () => {}
  const result = new Promise<errors.Result<AppendOutcome>>((resolve) => { resolveResult = resolve })
  const pending: PendingRecord = {
    record,
    text,
    bytes: Buffer.byteLength(text),
    deadline,
    mayBeAppended: false,
    isAwaited: true,
    isResending: false,
    isReplaced: false,
    outcome: undefined,
    result,
    settle: (settled) => {
      pending.isAwaited = false
      resolveResult(settled)
    }
  }
  return pending
}

/** Returns the verdict for the failure of a record whose outcome is unknown. */
export function getVerdict (pending: PendingRecord): types.Verdict {
  return pending.mayBeAppended ? 'mayHaveRun' : 'notRun'
}

/** Whether the record holds its sequence number in the chain, or still may. */
export function canHoldSequenceNumber ({ isAwaited, outcome }: PendingRecord): boolean {
  return isAwaited || outcome === undefined || outcome.applied
}

/** Updates the outcome with a copy of the record that was read from the log. */
export function addCopy (pending: PendingRecord, position: types.Term, effect: programState.Effect): void {
  const applied = effect.type === 'applied'
  if (pending.outcome === undefined || (applied && !pending.outcome.applied)) pending.outcome = { position, applied, effect }
}

/** Whether two records have the same program, sequence number and term. */
export function hasSameSequenceNumber (a: types.JournalRecord, b: types.JournalRecord): boolean {
  return a.program === b.program && a.n === b.n && a.term === b.term
}
