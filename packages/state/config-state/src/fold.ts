/** Pure fold over the configuration stream; every reader arrives at the same version in force. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as applyPuts from './apply-puts.js'
import * as change from './change.js'
import * as config from './config.js'
import type * as snapshot from './snapshot.js'

/** One record of the stream as read from the log. */
export interface ConfigRecord {
  readonly offset: types.LogOffset
  /** When the log accepted it. */
  readonly at: types.EpochMs
  readonly data: string
}

/** Why a reader could not apply records of the stream. */
export type GapCause =
  /** They expired before the reader read them. */
  | 'expired'
  /** Newer code wrote a record in a format that this reader does not know. */
  | 'unknownFormat'

/**
 * A gap of records that the reader could not apply. Until a full copy covers them, a newer version may be in force than
 * the reader knows, and later records wait for that copy.
 */
export interface ConfigGap {
  readonly cause: GapCause
  /** Offset of the first record after the gap. */
  readonly from: types.LogOffset
  /** The contiguous records from there on. */
  readonly pending: readonly ConfigRecord[]
}

/** State of one reader. */
export interface ConfigState extends snapshot.ConfigSnapshot {
  readonly gap: ConfigGap | null
}

/** Why a record was rejected. */
export type RejectReason =
  /** Based on another version than the one in force: another change was accepted first. */
  | 'stale'
  /** The resulting configuration would be invalid. */
  | 'invalid'
  /** The record can't be parsed as a change. */
  | 'malformed'
  /** A copy of another version than the one in force. */
  | 'staleCopy'

/** Effect of one record. */
export type Effect =
  | { readonly type: 'accepted', readonly version: types.ConfigVersion }
  | { readonly type: 'rejected', readonly reason: RejectReason, readonly detail: string }
  /** The record is a copy of the version in force; nothing changes. */
  | { readonly type: 'republished', readonly version: types.ConfigVersion }
  /** A copy closed the gap. */
  | { readonly type: 'restored', readonly version: types.ConfigVersion }
  /** The record waits for a copy that covers the gap. */
  | { readonly type: 'pending' }
  /** The record opened a gap. */
  | { readonly type: 'unknownFormat', readonly format: number }
  /** The record was applied before. */
  | { readonly type: 'repeated' }
  /** Records before this one are missing; read from that offset. */
  | { readonly type: 'ahead', readonly expected: types.LogOffset }

/** The new state of the reader, and the effect of the record. */
export interface ApplyResult {
  readonly state: ConfigState
  readonly effect: Effect
}

/** Maximum number of records that wait behind a gap; older ones are dropped, which bounds memory if no copy arrives. */
export const maxPendingRecords = 1000

/** State of a reader that has read nothing. */
export const initialState: ConfigState = {
  version: 0 as types.ConfigVersion,
  config: config.emptyConfig,
  asOf: 0 as types.LogOffset,
  copiedAt: null,
  gap: null
}

/** The offset of the next record that the reader needs. */
export function nextOffset (state: ConfigState): types.LogOffset {
  const { gap } = state
  return gap === null ? state.asOf : (gap.from + gap.pending.length) as types.LogOffset
}

function nextOffsetAfter (offset: types.LogOffset): types.LogOffset {
  return (offset + 1) as types.LogOffset
}

function formatErrors (fieldErrors: readonly parseSettings.FieldError[]): string {
  return fieldErrors.map(parseSettings.formatFieldError).join('; ')
}

/** The state after a record at the reader's next offset that does not change the version. */
function advancePast (state: ConfigState, record: ConfigRecord): ConfigState {
  // While record 0 is retained, the stream itself is complete, so no copy is needed yet.
  const copiedAt = record.offset === 0 ? record.at : state.copiedAt
  return { ...state, asOf: nextOffsetAfter(record.offset), copiedAt }
}

function reject (state: ConfigState, reason: RejectReason, detail: string): ApplyResult {
  return { state, effect: { type: 'rejected', reason, detail } }
}

function applyCopy (state: ConfigState, copy: change.CopyOrigin, record: ConfigRecord): ApplyResult {
  const next = advancePast(state, record)
  if (copy.version !== state.version || copy.asOf > record.offset) {
    return reject(next, 'staleCopy', `a copy of version ${copy.version}, but version ${state.version} is in force`)
  }
  return { state: { ...next, copiedAt: record.at }, effect: { type: 'republished', version: state.version } }
}

/** Applies a change to the state of a reader that has applied every record before it. */
export function applyChange (state: ConfigState, parsedChange: change.ConfigChange, record: ConfigRecord): ApplyResult {
  if (parsedChange.republishes !== undefined) return applyCopy(state, parsedChange.republishes, record)
  const next = advancePast(state, record)
  if (parsedChange.basedOn !== state.version) {
    return reject(next, 'stale', `based on version ${parsedChange.basedOn}, but version ${state.version} is in force`)
  }
  const changed = applyPuts.applyPuts(state.config, parsedChange)
  if (!changed.ok) return reject(next, 'invalid', formatErrors(changed.failure))
  const version = nextOffsetAfter(record.offset) as number as types.ConfigVersion
  return { state: { ...next, version, config: changed.value }, effect: { type: 'accepted', version } }
}

function openGap (state: ConfigState, from: types.LogOffset, cause: GapCause): ConfigState {
  return { ...state, gap: { cause, from, pending: [] } }
}

function applyParsed (state: ConfigState, parsed: errors.Result<change.ConfigChange, change.ChangeFailure>, record: ConfigRecord): ApplyResult {
  if (parsed.ok) return applyChange(state, parsed.value, record)
  switch (parsed.failure.tag) {
    case 'malformed': return reject(advancePast(state, record), 'malformed', formatErrors(parsed.failure.errors))
    case 'unknownFormat': {
      const { format } = parsed.failure
      return { state: openGap(state, nextOffsetAfter(record.offset), 'unknownFormat'), effect: { type: 'unknownFormat', format } }
    }
    default: return errors.assertNever(parsed.failure)
  }
}

function addPending (gap: ConfigGap, record: ConfigRecord): ConfigGap {
  const pending = [...gap.pending, record]
  if (pending.length <= maxPendingRecords) return { ...gap, pending }
  return { ...gap, from: nextOffsetAfter(gap.from), pending: pending.slice(1) }
}

/** The configuration in a copy, or undefined if it has errors. */
function readCopiedConfig (copyChange: change.ConfigChange): config.Config | undefined {
  const applied = applyPuts.applyPuts(config.emptyConfig, copyChange)
  return applied.ok ? applied.value : undefined
}

/** Closes the gap if the record is a copy that covers it; otherwise returns undefined. */
function restoreFromCopy (state: ConfigState, gap: ConfigGap, copyChange: change.ConfigChange, record: ConfigRecord): ConfigState | undefined {
  const copy = copyChange.republishes
  if (copy === undefined || copy.asOf < gap.from || copy.asOf > record.offset) return undefined
  const cfg = readCopiedConfig(copyChange)
  if (cfg === undefined) return undefined
  const stateWithCopy = { ...state, gap: { ...gap, pending: [...gap.pending, record] } }
  const adopted = adoptSnapshot(stateWithCopy, { version: copy.version, config: cfg, asOf: copy.asOf, copiedAt: record.at })
  return adopted === stateWithCopy ? undefined : adopted
}

function applyAtGap (state: ConfigState, gap: ConfigGap, record: ConfigRecord): ApplyResult {
  const parsed = change.parseChange(record.data)
  if (!parsed.ok && parsed.failure.tag === 'unknownFormat') return applyParsed(state, parsed, record)
  const restored = parsed.ok ? restoreFromCopy(state, gap, parsed.value, record) : undefined
  if (restored !== undefined) return { state: restored, effect: { type: 'restored', version: restored.version } }
  return { state: { ...state, gap: addPending(gap, record) }, effect: { type: 'pending' } }
}

/** Applies one record of the stream. */
export function applyRecord (state: ConfigState, record: ConfigRecord): ApplyResult {
  const expected = nextOffset(state)
  if (record.offset < expected) return { state, effect: { type: 'repeated' } }
  if (record.offset > expected) return { state, effect: { type: 'ahead', expected } }
  if (state.gap !== null) return applyAtGap(state, state.gap, record)
  return applyParsed(state, change.parseChange(record.data), record)
}

/** Opens a gap for expired records before an offset; no effect if the reader has read them. */
export function skipExpired (state: ConfigState, first: types.LogOffset): ConfigState {
  return first <= nextOffset(state) ? state : openGap(state, first, 'expired')
}

/**
 * Adopts the snapshot of a peer or a copy. No effect unless the snapshot is ahead of the reader: the version in force
 * never decreases.
 */
export function adoptSnapshot (state: ConfigState, source: snapshot.ConfigSnapshot): ConfigState {
  if (source.version < state.version || source.asOf <= state.asOf) return state
  const base = { version: source.version, config: source.config, asOf: source.asOf, copiedAt: source.copiedAt ?? state.copiedAt }
  const { gap } = state
  if (gap === null) return { ...base, gap: null }
  if (source.asOf < gap.from) return { ...base, gap }
  const start: ConfigState = { ...base, gap: null }
  return gap.pending.reduce((current, record) => applyRecord(current, record).state, start)
}

/** Whether a copy should be written now, so that the retained part of the stream always contains one. */
export function isCopyDue (state: ConfigState, now: types.EpochMs): boolean {
  if (state.version === 0 || state.gap !== null) return false
  return state.copiedAt === null || now - state.copiedAt >= state.config.limits.retentionMs / 2
}

/** Creates a copy of the version in force. The state must have no gap. */
export function makeCopy (state: ConfigState, author: { readonly id: change.ChangeId, readonly by: string, readonly at: types.EpochMs }): change.ConfigChange {
  const { version, asOf } = state
  const puts = config.toDocument(state.config)
  return { format: change.configFormat, basedOn: version, puts, deletes: {}, ...author, republishes: { version, asOf } }
}
