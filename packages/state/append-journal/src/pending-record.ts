/** A record between its append and its answer. */
import type * as errors from '@eelgrasswind/errors'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'

/** What became of a record that landed in the log. */
export interface Appended {
  readonly position: types.Term
  /** Whether it took effect. */
  readonly applied: boolean
  readonly effect: programState.Effect
}

export interface PendingRecord {
  readonly record: types.JournalRecord
  readonly text: string
  /** Bytes of the text. */
  readonly bytes: number
  /** Monotonic time after which it is given up. */
  deadline: number
  /** Whether a copy of it may be on its way to the log. */
  mayLand: boolean
  /** Whether its writer still waits; a record given up that may land is kept to be recognized. */
  open: boolean
  /** Whether it was given up and is being sent again, so that its place is decided. */
  resending: boolean
  /** Whether a later append of the same record waits for its fate in its stead. */
  replaced: boolean
  /** The copy that decides: the first one seen, or the one that took effect. */
  seen: Appended | undefined
  readonly done: Promise<errors.Result<Appended>>
  readonly settle: (result: errors.Result<Appended>) => void
}

export function createPending (record: types.JournalRecord, text: string, deadline: number): PendingRecord {
  let resolveDone: PendingRecord['settle'] = () => {}
  const done = new Promise<errors.Result<Appended>>((resolve) => { resolveDone = resolve })
  const pending: PendingRecord = {
    record,
    text,
    bytes: Buffer.byteLength(text),
    deadline,
    mayLand: false,
    open: true,
    resending: false,
    replaced: false,
    seen: undefined,
    done,
    settle: (result) => {
      pending.open = false
      resolveDone(result)
    }
  }
  return pending
}

/** The verdict on a record that is given up. */
export function verdictOf (pending: PendingRecord): types.Verdict {
  return pending.mayLand ? 'mayHaveRun' : 'notRun'
}

/** Whether another record at the same place could still lose to it, or has. */
export function mayHoldPlace ({ open, seen }: PendingRecord): boolean {
  return open || seen === undefined || seen.applied
}

/** Notes a copy of the record that was read from the log. */
export function noteCopy (pending: PendingRecord, position: types.Term, effect: programState.Effect): void {
  const applied = effect.type === 'applied'
  if (pending.seen === undefined || (applied && !pending.seen.applied)) pending.seen = { position, applied, effect }
}

/** Whether two records stand for the same place in a program's chain. */
export function samePlace (a: types.JournalRecord, b: types.JournalRecord): boolean {
  return a.program === b.program && a.n === b.n && a.term === b.term
}
