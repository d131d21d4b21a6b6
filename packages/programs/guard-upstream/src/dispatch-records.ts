/**
 * Records of the non-idempotent dispatches that this process has received. With them each confirmed intent runs at most
 * once here, and a sealed one never.
 */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** A dispatch is refused if its intent was written more than this before or after the current time, in milliseconds. */
export const maxIntentAgeMs = 60_000
/** Time that a record is kept after its last change, in milliseconds; it limits the clock skew that does no harm. */
export const recordRetentionMs = 15 * 60_000

/** Answer or failure of a dispatch. */
export type DispatchResult = errors.Result<types.DispatchAnswer>

type RecordState =
  | { readonly type: 'sealed' }
  /** Queued: it can still be sealed. */
  | { readonly type: 'waiting', readonly cancel: () => void, readonly done: Promise<DispatchResult> }
  | { readonly type: 'running', readonly done: Promise<DispatchResult> }
  | { readonly type: 'ended', readonly result: DispatchResult }

interface DispatchRecord {
  readonly intent: types.Term
  state: RecordState
  changedAt: number
}

/** Whether a dispatch may run. */
export type Permission =
  | { readonly type: 'run' }
  /** The same intent arrived before: this dispatch gets its result. */
  | { readonly type: 'join', readonly done: Promise<DispatchResult> }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

/** Records by program and key. */
export interface DispatchRecords {
  /** Decides whether a dispatch of an intent may run. */
  permit: (dispatch: types.Dispatch, intent: types.DispatchIntent) => Permission
  /** Records a permitted dispatch that is queued. `cancel` removes it from the queue; `done` resolves with its result. */
  recordWaiting: (dispatch: types.Dispatch, intent: types.DispatchIntent, cancel: () => void, done: Promise<DispatchResult>) => void
  /** Records that a queued dispatch has started. */
  recordRunning: (dispatch: types.Dispatch) => void
  /** Records the result of a dispatch, unless its key is sealed. */
  recordEnded: (dispatch: types.Dispatch, result: DispatchResult) => void
  /** Seals a key if its intent has not run; returns the state of the dispatch. */
  seal: (seal: types.Seal) => types.SealState
  readonly size: number
  /** Deletes sealed and ended records that are older than `recordRetentionMs`. */
  deleteExpired: () => void
}

interface RecordKey {
  readonly program: types.ProgramId
  readonly key: types.RequestKey
}

/** Ids contain no slash, so different keys have different names. */
function formatRecordKey (recordKey: RecordKey): string {
  return `${recordKey.program}/${recordKey.key}`
}

function isNotRun (state: RecordState): boolean {
  return state.type === 'ended' && !state.result.ok && state.result.failure.verdict === 'notRun'
}

function refuse (failure: errors.Failure): Permission {
  return { type: 'refuse', failure }
}

/** Creates empty records for an incarnation of this process; `now` is wall-clock time in milliseconds. */
export function createDispatchRecords (incarnation: types.Incarnation, now: () => number): DispatchRecords {
  const records = new Map<string, DispatchRecord>()

  function checkIntent (intent: types.DispatchIntent): errors.Failure | undefined {
    if (intent.incarnation !== incarnation) {
      return { tag: 'wrongIncarnation', verdict: 'notRun', message: 'the dispatch is addressed to another incarnation of this process' }
    }
    if (Math.abs(now() - intent.at) <= maxIntentAgeMs) return undefined
    return { tag: 'invalidRequest', verdict: 'notRun', message: 'the time of the intent is too far from now', field: 'intent.at', expected: `within ${maxIntentAgeMs} ms of now` }
  }

  function permit (dispatch: types.Dispatch, intent: types.DispatchIntent): Permission {
    const intentFailure = checkIntent(intent)
    if (intentFailure !== undefined) return refuse(intentFailure)
    const record = records.get(formatRecordKey(dispatch))
    if (record === undefined) return { type: 'run' }
    if (intent.position > record.intent && (record.state.type === 'sealed' || isNotRun(record.state))) return { type: 'run' }
    return permitRepeat(record.state)
  }

  function permitRepeat (state: RecordState): Permission {
    switch (state.type) {
      case 'sealed': return refuse({ tag: 'sealed', verdict: 'notRun', message: 'the key was sealed' })
      case 'waiting': return { type: 'join', done: state.done }
      case 'running': return { type: 'join', done: state.done }
      case 'ended': return { type: 'join', done: Promise.resolve(state.result) }
      default: return errors.assertNever(state)
    }
  }

  function recordWaiting (dispatch: types.Dispatch, intent: types.DispatchIntent, cancel: () => void, done: Promise<DispatchResult>): void {
    records.set(formatRecordKey(dispatch), { intent: intent.position, state: { type: 'waiting', cancel, done }, changedAt: now() })
  }

  function recordRunning (dispatch: types.Dispatch): void {
    const record = records.get(formatRecordKey(dispatch))
    if (record === undefined || record.state.type !== 'waiting') return
    record.state = { type: 'running', done: record.state.done }
    record.changedAt = now()
  }

  function recordEnded (dispatch: types.Dispatch, result: DispatchResult): void {
    const record = records.get(formatRecordKey(dispatch))
    if (record === undefined || record.state.type === 'sealed') return
    record.state = { type: 'ended', result }
    record.changedAt = now()
  }

  function seal (req: types.Seal): types.SealState {
    if (req.incarnation !== incarnation) return { type: 'otherIncarnation' }
    const record = records.get(formatRecordKey(req))
    if (record === undefined) return isRetained(req.intentAt) ? recordSeal(req) : { type: 'forgotten' }
    const state = record.state
    switch (state.type) {
      case 'sealed': return recordSeal({ ...req, intent: Math.max(req.intent, record.intent) as types.Term })
      case 'running': return { type: 'running' }
      case 'waiting':
        recordSeal(req)
        state.cancel()
        return { type: 'sealed' }
      case 'ended': return toSealState(state.result, req)
      default: return errors.assertNever(state)
    }
  }

  /**
   * Whether a dispatch of the intent, if one had arrived, would still have its record, and whether a seal would be kept
   * until no dispatch of the intent is accepted any more. A dispatch is accepted only within maxIntentAgeMs of the
   * intent's time.
   */
  function isRetained (intentAt: number): boolean {
    const ageMs = now() - intentAt
    return ageMs >= -maxIntentAgeMs && ageMs <= recordRetentionMs - maxIntentAgeMs
  }

  /** Records a seal: dispatches of this intent and of all earlier ones of its key are refused from now on. */
  function recordSeal (req: types.Seal): types.SealState {
    records.set(formatRecordKey(req), { intent: req.intent, state: { type: 'sealed' }, changedAt: now() })
    return { type: 'sealed' }
  }

  function toSealState (result: DispatchResult, req: types.Seal): types.SealState {
    if (result.ok) return { type: 'answered', answer: result.value }
    const { verdict, tag, message } = result.failure
    if (verdict === 'notRun') return recordSeal(req)
    return { type: 'failed', verdict, tag, message }
  }

  function deleteExpired (): void {
    const expiredBefore = now() - recordRetentionMs
    for (const [name, record] of records) {
      const isSettled = record.state.type === 'sealed' || record.state.type === 'ended'
      if (isSettled && record.changedAt < expiredBefore) records.delete(name)
    }
  }

  return { permit, recordWaiting, recordRunning, recordEnded, seal, get size () { return records.size }, deleteExpired }
}
