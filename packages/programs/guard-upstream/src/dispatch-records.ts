/**
 * What this process knows of non-idempotent dispatches: each confirmed intent runs at most once here,
 * and a sealed one never.
 */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** A dispatch whose intent was written longer ago, or later, than this is refused, in milliseconds. */
export const maxIntentAgeMs = 60_000
/** Records are kept this long after their last change, in milliseconds; bounds the clock skew that is harmless. */
export const recordRetentionMs = 15 * 60_000

export type DispatchResult = errors.Result<types.DispatchAnswer>

type RecordState =
  | { readonly type: 'sealed' }
  /** Waits for its turn: it can still be sealed. */
  | { readonly type: 'waiting', readonly cancel: () => void, readonly done: Promise<DispatchResult> }
  | { readonly type: 'running', readonly done: Promise<DispatchResult> }
  | { readonly type: 'ended', readonly result: DispatchResult }

interface DispatchRecord {
  readonly intent: types.Term
  state: RecordState
  changedAt: number
}

/** What a dispatch may do. */
export type Permission =
  | { readonly type: 'run' }
  /** The same intent came before: its result stands. */
  | { readonly type: 'join', readonly done: Promise<DispatchResult> }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

export interface DispatchRecords {
  permit: (dispatch: types.Dispatch, intent: types.DispatchIntent) => Permission
  noteWaiting: (dispatch: types.Dispatch, intent: types.DispatchIntent, cancel: () => void, done: Promise<DispatchResult>) => void
  noteRunning: (dispatch: types.Dispatch) => void
  noteEnded: (dispatch: types.Dispatch, result: DispatchResult) => void
  seal: (seal: types.Seal) => types.SealState
  readonly size: number
  forgetOld: () => void
}

interface KeyName {
  readonly program: types.ProgramId
  readonly key: types.RequestKey
}

/** Ids hold no slash, so the two parts cannot run into one another. */
function nameOf (named: KeyName): string {
  return `${named.program}/${named.key}`
}

function isNotRun (state: RecordState): boolean {
  return state.type === 'ended' && !state.result.ok && state.result.failure.verdict === 'notRun'
}

function refuse (failure: errors.Failure): Permission {
  return { type: 'refuse', failure }
}

export function createDispatchRecords (incarnation: types.Incarnation, now: () => number): DispatchRecords {
  const records = new Map<string, DispatchRecord>()

  function staleFailure (intent: types.DispatchIntent): errors.Failure | undefined {
    if (intent.incarnation !== incarnation) {
      return { tag: 'wrongIncarnation', verdict: 'notRun', message: 'the dispatch names another run of this process' }
    }
    if (Math.abs(now() - intent.at) <= maxIntentAgeMs) return undefined
    return { tag: 'invalidRequest', verdict: 'notRun', message: 'the intent is too old', field: 'intent.at', expected: `within ${maxIntentAgeMs} ms of now` }
  }

  function permit (dispatch: types.Dispatch, intent: types.DispatchIntent): Permission {
    const stale = staleFailure(intent)
    if (stale !== undefined) return refuse(stale)
    const record = records.get(nameOf(dispatch))
    if (record === undefined) return { type: 'run' }
    if (intent.position > record.intent && (record.state.type === 'sealed' || isNotRun(record.state))) return { type: 'run' }
    return repeated(record.state)
  }

  function repeated (state: RecordState): Permission {
    switch (state.type) {
      case 'sealed': return refuse({ tag: 'sealed', verdict: 'notRun', message: 'the key was sealed' })
      case 'waiting': return { type: 'join', done: state.done }
      case 'running': return { type: 'join', done: state.done }
      case 'ended': return { type: 'join', done: Promise.resolve(state.result) }
      default: return errors.assertNever(state)
    }
  }

  function noteWaiting (dispatch: types.Dispatch, intent: types.DispatchIntent, cancel: () => void, done: Promise<DispatchResult>): void {
    records.set(nameOf(dispatch), { intent: intent.position, state: { type: 'waiting', cancel, done }, changedAt: now() })
  }

  function noteRunning (dispatch: types.Dispatch): void {
    const record = records.get(nameOf(dispatch))
    if (record === undefined || record.state.type !== 'waiting') return
    record.state = { type: 'running', done: record.state.done }
    record.changedAt = now()
  }

  function noteEnded (dispatch: types.Dispatch, result: DispatchResult): void {
    const record = records.get(nameOf(dispatch))
    if (record === undefined || record.state.type === 'sealed') return
    record.state = { type: 'ended', result }
    record.changedAt = now()
  }

  function seal (wanted: types.Seal): types.SealState {
    if (wanted.incarnation !== incarnation) return { type: 'otherIncarnation' }
    const record = records.get(nameOf(wanted))
    if (record === undefined) return isRemembered(wanted.intentAt) ? sealNow(wanted) : { type: 'forgotten' }
    const state = record.state
    switch (state.type) {
      case 'sealed': return sealNow({ ...wanted, intent: Math.max(wanted.intent, record.intent) as types.Term })
      case 'running': return { type: 'running' }
      case 'waiting':
        sealNow(wanted)
        state.cancel()
        return { type: 'sealed' }
      case 'ended': return endedState(state.result, wanted)
      default: return errors.assertNever(state)
    }
  }

  /**
   * Whether a dispatch of the intent, had it come, would still be on record, and whether a seal would outlast all
   * that may come. A dispatch is accepted only within maxIntentAgeMs of the intent's time.
   */
  function isRemembered (intentAt: number): boolean {
    const ageMs = now() - intentAt
    return ageMs >= -maxIntentAgeMs && ageMs <= recordRetentionMs - maxIntentAgeMs
  }

  /** Dispatches of this intent and of all before it are refused from now on. */
  function sealNow (wanted: types.Seal): types.SealState {
    records.set(nameOf(wanted), { intent: wanted.intent, state: { type: 'sealed' }, changedAt: now() })
    return { type: 'sealed' }
  }

  function endedState (result: DispatchResult, wanted: types.Seal): types.SealState {
    if (result.ok) return { type: 'answered', answer: result.value }
    const { verdict, tag, message } = result.failure
    if (verdict === 'notRun') return sealNow(wanted)
    return { type: 'failed', verdict, tag, message }
  }

  function forgetOld (): void {
    const before = now() - recordRetentionMs
    for (const [name, record] of records) {
      const settled = record.state.type === 'sealed' || record.state.type === 'ended'
      if (settled && record.changedAt < before) records.delete(name)
    }
  }

  return { permit, noteWaiting, noteRunning, noteEnded, seal, get size () { return records.size }, forgetOld }
}
