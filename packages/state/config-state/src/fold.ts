/** The pure fold over the configuration stream: the same version in force for every reader. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as applyPuts from './apply-puts.js'
import * as change from './change.js'
import * as config from './config.js'
import type * as snapshot from './snapshot.js'

/** One record of the stream as the log gives it. */
export interface ConfigRecord {
  readonly offset: types.LogOffset
  /** When the log took it. */
  readonly at: types.EpochMs
  readonly data: string
}

/** Why records of the stream are missing to a reader. */
export type GapCause =
  /** They expired before they were read. */
  | 'expired'
  /** Newer code wrote a record that this reader cannot judge. */
  | 'unknownFormat'

/**
 * Records that the reader could not take into account. Until a whole copy covers them the version in force may be
 * a newer one; later records wait for that copy.
 */
export interface ConfigGap {
  readonly cause: GapCause
  /** First offset that the reader has after the gap. */
  readonly from: types.LogOffset
  /** Records from there on, without a hole. */
  readonly pending: readonly ConfigRecord[]
}

/** What one reader knows. */
export interface ConfigState extends snapshot.ConfigSnapshot {
  readonly gap: ConfigGap | null
}

export type RejectReason =
  /** Based on another version than the one in force: another change came first. */
  | 'stale'
  /** The configuration would have errors. */
  | 'invalid'
  /** The record is no change at all. */
  | 'malformed'
  /** A copy of another version than the one in force. */
  | 'staleCopy'

/** What one record did. */
export type Effect =
  | { readonly type: 'accepted', readonly version: types.ConfigVersion }
  | { readonly type: 'rejected', readonly reason: RejectReason, readonly detail: string }
  /** A copy of the version in force; nothing changes. */
  | { readonly type: 'republished', readonly version: types.ConfigVersion }
  /** A copy closed the gap. */
  | { readonly type: 'restored', readonly version: types.ConfigVersion }
  /** The record waits for a copy that covers the gap. */
  | { readonly type: 'pending' }
  /** The record opened a gap. */
  | { readonly type: 'unknownFormat', readonly format: number }
  /** The record was taken into account before. */
  | { readonly type: 'repeated' }
  /** Records before this one are missing; read from that offset. */
  | { readonly type: 'ahead', readonly expected: types.LogOffset }

export interface Applied {
  readonly state: ConfigState
  readonly effect: Effect
}

/** Records that wait at a gap; older ones are dropped, so that a stream without a copy cannot fill the memory. */
export const maxPending = 1000

/** What a reader knows before it has read anything. */
export const initialState: ConfigState = {
  version: 0 as types.ConfigVersion,
  config: config.emptyConfig,
  asOf: 0 as types.LogOffset,
  copiedAt: null,
  gap: null
}

/** The offset that the reader needs next. */
export function nextOffset (state: ConfigState): types.LogOffset {
  const { gap } = state
  return gap === null ? state.asOf : (gap.from + gap.pending.length) as types.LogOffset
}

function after (offset: types.LogOffset): types.LogOffset {
  return (offset + 1) as types.LogOffset
}

function formatErrors (found: readonly parseSettings.FieldError[]): string {
  return found.map(parseSettings.formatFieldError).join('; ')
}

/** The state after a record at the reader's own next offset that leaves the version as it is. */
function passed (state: ConfigState, record: ConfigRecord): ConfigState {
  // While record 0 lasts, the records themselves are the whole copy.
  const copiedAt = record.offset === 0 ? record.at : state.copiedAt
  return { ...state, asOf: after(record.offset), copiedAt }
}

function rejected (state: ConfigState, reason: RejectReason, detail: string): Applied {
  return { state, effect: { type: 'rejected', reason, detail } }
}

function judgeCopy (state: ConfigState, copy: change.CopyOf, record: ConfigRecord): Applied {
  const next = passed(state, record)
  if (copy.version !== state.version || copy.asOf > record.offset) {
    return rejected(next, 'staleCopy', `a copy of version ${copy.version}, but version ${state.version} is in force`)
  }
  return { state: { ...next, copiedAt: record.at }, effect: { type: 'republished', version: state.version } }
}

/** Judges a change by a reader that has every record before it. */
export function applyChange (state: ConfigState, record: change.ConfigChange, at: ConfigRecord): Applied {
  if (record.republishes !== undefined) return judgeCopy(state, record.republishes, at)
  const next = passed(state, at)
  if (record.basedOn !== state.version) {
    return rejected(next, 'stale', `based on version ${record.basedOn}, but version ${state.version} is in force`)
  }
  const changed = applyPuts.applyPuts(state.config, record)
  if (!changed.ok) return rejected(next, 'invalid', formatErrors(changed.failure))
  const version = after(at.offset) as number as types.ConfigVersion
  return { state: { ...next, version, config: changed.value }, effect: { type: 'accepted', version } }
}

function openGap (state: ConfigState, from: types.LogOffset, cause: GapCause): ConfigState {
  return { ...state, gap: { cause, from, pending: [] } }
}

function applyParsed (state: ConfigState, parsed: errors.Result<change.ConfigChange, change.ChangeFailure>, record: ConfigRecord): Applied {
  if (parsed.ok) return applyChange(state, parsed.value, record)
  switch (parsed.failure.tag) {
    case 'malformed': return rejected(passed(state, record), 'malformed', formatErrors(parsed.failure.errors))
    case 'unknownFormat': {
      const { format } = parsed.failure
      return { state: openGap(state, after(record.offset), 'unknownFormat'), effect: { type: 'unknownFormat', format } }
    }
    default: return errors.unreachable(parsed.failure)
  }
}

function addPending (gap: ConfigGap, record: ConfigRecord): ConfigGap {
  const pending = [...gap.pending, record]
  if (pending.length <= maxPending) return { ...gap, pending }
  return { ...gap, from: after(gap.from), pending: pending.slice(1) }
}

/** The configuration that a copy carries, or undefined where it has errors. */
function configOfCopy (record: change.ConfigChange): config.Config | undefined {
  const applied = applyPuts.applyPuts(config.emptyConfig, record)
  return applied.ok ? applied.value : undefined
}

/** Closes the gap where a record is a copy that covers it. */
function restoreFrom (state: ConfigState, gap: ConfigGap, record: change.ConfigChange, at: ConfigRecord): ConfigState | undefined {
  const copy = record.republishes
  if (copy === undefined || copy.asOf < gap.from || copy.asOf > at.offset) return undefined
  const cfg = configOfCopy(record)
  if (cfg === undefined) return undefined
  const waiting = { ...state, gap: { ...gap, pending: [...gap.pending, at] } }
  const adopted = adoptSnapshot(waiting, { version: copy.version, config: cfg, asOf: copy.asOf, copiedAt: at.at })
  return adopted === waiting ? undefined : adopted
}

function applyAtGap (state: ConfigState, gap: ConfigGap, record: ConfigRecord): Applied {
  const parsed = change.parseChange(record.data)
  if (!parsed.ok && parsed.failure.tag === 'unknownFormat') return applyParsed(state, parsed, record)
  const restored = parsed.ok ? restoreFrom(state, gap, parsed.value, record) : undefined
  if (restored !== undefined) return { state: restored, effect: { type: 'restored', version: restored.version } }
  return { state: { ...state, gap: addPending(gap, record) }, effect: { type: 'pending' } }
}

/** Takes one record of the stream into account. */
export function applyRecord (state: ConfigState, record: ConfigRecord): Applied {
  const expected = nextOffset(state)
  if (record.offset < expected) return { state, effect: { type: 'repeated' } }
  if (record.offset > expected) return { state, effect: { type: 'ahead', expected } }
  if (state.gap !== null) return applyAtGap(state, state.gap, record)
  return applyParsed(state, change.parseChange(record.data), record)
}

/** Says that records before an offset have expired; without effect where the reader has had them. */
export function skipExpired (state: ConfigState, first: types.LogOffset): ConfigState {
  return first <= nextOffset(state) ? state : openGap(state, first, 'expired')
}

/**
 * Takes over what a peer or a copy knows. Without effect where the reader knows as much: the version in force never
 * goes back.
 */
export function adoptSnapshot (state: ConfigState, known: snapshot.ConfigSnapshot): ConfigState {
  if (known.version < state.version || known.asOf <= state.asOf) return state
  const base = { version: known.version, config: known.config, asOf: known.asOf, copiedAt: known.copiedAt ?? state.copiedAt }
  const { gap } = state
  if (gap === null) return { ...base, gap: null }
  if (known.asOf < gap.from) return { ...base, gap }
  const start: ConfigState = { ...base, gap: null }
  return gap.pending.reduce((current, record) => applyRecord(current, record).state, start)
}

/** Whether a copy should be written now, so that the stream holds one through the whole retention. */
export function needsCopy (state: ConfigState, now: types.EpochMs): boolean {
  if (state.version === 0 || state.gap !== null) return false
  return state.copiedAt === null || now - state.copiedAt >= state.config.limits.retentionMs / 2
}

/** A copy of the version in force. The state must have no gap. */
export function makeCopy (state: ConfigState, author: { readonly id: change.ChangeId, readonly by: string, readonly at: types.EpochMs }): change.ConfigChange {
  const { version, asOf } = state
  const puts = config.toDocument(state.config)
  return { format: change.configFormat, basedOn: version, puts, deletes: {}, ...author, republishes: { version, asOf } }
}
