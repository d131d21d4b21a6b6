/**
 * The chain rule: which records of a program take effect, whatever they contain.
 *
 * A record takes effect only if its `n` is the next one and its `term` the current one. A begin, a claim
 * and a snapshot make their own position the new term. So a record that bears a term proves that its writer
 * knew that position and had seen it take effect, and a reader that starts in the middle of a stream trusts
 * a begin or a snapshot as soon as a later record bears its position as the term.
 */
import type * as types from '@eelgrasswind/types'
import * as effects from './effect.js'

/** Every record but a program's first. */
export type LaterRecord = Exclude<types.JournalRecord, types.BeginRecord>

/** Times after which an id may be begun again; the same in every process. */
export interface FoldRules {
  /** A program without any record for so long is gone, in milliseconds of log time. Homes write a snapshot well before that. */
  readonly idleMs: number
  /** A finished program's id may be begun again after so long, in milliseconds of log time; at most idleMs. */
  readonly reuseMs: number
}

/** Where and how a record was read. */
export interface Reading {
  /** When the log took the record, by the log's clock. */
  readonly at: types.EpochMs
  /** Log time of the oldest record that this reader has read of the stream; undefined if it began with the first one ever. */
  readonly since: types.EpochMs | undefined
  readonly rules: FoldRules
}

/** A reader of a whole stream, without a rule on time. */
export const wholeStream: Reading = {
  at: 0 as types.EpochMs,
  since: undefined,
  rules: { idleMs: Infinity, reuseMs: Infinity }
}

/** A begin counts only if the log took it within this part of reuseMs, so that no late copy restarts a finished program. */
const beginDelayShare = 0.25
/** Unconfirmed begins and snapshots kept for each program. */
const maxCandidates = 16
/** Shared by all programs that have no candidates, as most. */
const none: readonly never[] = []

/** A place in a program's chain. Owned by the fold, which changes it in place. */
export interface ChainPoint {
  /** Fencing number of the home. */
  term: types.Term
  /** Place of the last record that took effect. */
  n: number
  home: types.ProcessRef
  finished: types.FinishResult | null
  /** Log time of the last record that took effect. */
  lastAt: types.EpochMs
  /** Whether this is known to equal the fold from the program's begin. */
  isComplete: boolean
}

/** What a reader knows of one program. Owned by the fold, which changes it in place. */
export interface Chain<P extends ChainPoint> {
  readonly program: types.ProgramId
  /** The current place; undefined while the reader can't know it. */
  current: P | undefined
  /** Begins and snapshots that no later record has confirmed, oldest first; empty once there is a current place. */
  candidates: readonly P[]
  /** Log time of the last record seen of the program, with or without effect; undefined before the first. */
  seenAt: types.EpochMs | undefined
}

/** What a place carries besides the chain; one kind for the state of a program, another for an index. */
export interface PointRules<P extends ChainPoint> {
  readonly begin: (record: types.BeginRecord, position: types.Term, at: types.EpochMs) => P
  readonly restore: (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs) => P
  /** Applies the content of a record that the chain has taken; its place stays taken whatever this answers. */
  readonly apply: (point: P, record: LaterRecord, position: types.Term) => effects.Effect
}

export interface ChainStep<P extends ChainPoint> {
  /** Undefined while nothing is known of the program. */
  readonly chain: Chain<P> | undefined
  readonly effect: effects.Effect
}

/** The chain fields of a program's first record. */
export function firstPoint (record: types.BeginRecord, position: types.Term, at: types.EpochMs): ChainPoint {
  return { term: position, n: 1, home: record.home, finished: null, lastAt: at, isComplete: false }
}

/** The chain fields of a snapshot. */
export function restoredPoint (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs): ChainPoint {
  const { home, finished } = record.state
  return { term: position, n: record.n, home, finished, lastAt: at, isComplete: false }
}

/** Applies one record to what is known of its program. Changes `chain` in place. */
export function applyToChain<P extends ChainPoint> (
  chain: Chain<P> | undefined, record: types.JournalRecord, position: types.Term, reading: Reading, rules: PointRules<P>
): ChainStep<P> {
  if (chain === undefined && record.type !== 'begin' && reading.since === undefined) {
    return { chain, effect: effects.voided('unknownProgram') }
  }
  const seen = chain ?? { program: record.program, current: undefined, candidates: none, seenAt: undefined }
  if (seen.program !== record.program) throw new Error(`a record of ${record.program} came to ${seen.program}`)
  const effect = record.type === 'begin'
    ? begin(seen, record, position, reading, rules)
    : follow(seen, record, position, reading, rules)
  if (chain === undefined && effect.type === 'void') return { chain, effect }
  seen.seenAt = reading.at
  return { chain: seen, effect }
}

function begin<P extends ChainPoint> (
  chain: Chain<P>, record: types.BeginRecord, position: types.Term, reading: Reading, rules: PointRules<P>
): effects.Effect {
  if (isStale(record, reading)) return effects.voided('staleBegin')
  const { current } = chain
  if (current !== undefined && !mayBeginAgain(current, reading)) return effects.voided(whyNoBegin(current, record))
  const point = rules.begin(record, position, reading.at)
  if (current === undefined && !nothingBefore(chain, reading)) {
    addCandidate(chain, point)
    return effects.incomplete
  }
  settleOn(chain, point)
  return effects.applied
}

function isStale (record: types.BeginRecord, reading: Reading): boolean {
  return Math.abs(reading.at - record.at) > reading.rules.reuseMs * beginDelayShare
}

/** Whether a program has been silent for so long that its id is free again; readers may forget it then. */
export function mayBeginAgain (point: ChainPoint, reading: Pick<Reading, 'at' | 'rules'>): boolean {
  const { idleMs, reuseMs } = reading.rules
  const silentMs = reading.at - point.lastAt
  return silentMs >= (point.finished === null ? idleMs : reuseMs)
}

/** Whether a program has been silent for longer than any program may be. */
function isGone (point: ChainPoint, reading: Reading): boolean {
  return reading.at - point.lastAt >= reading.rules.idleMs
}

function whyNoBegin (point: ChainPoint, record: types.BeginRecord): effects.VoidReason {
  if (point.finished !== null) return 'finished'
  return sameProcess(point.home, record.home) ? 'duplicate' : 'lostRace'
}

/** Whether no earlier record of the program can matter, seen or not. */
function nothingBefore<P extends ChainPoint> (chain: Chain<P>, reading: Reading): boolean {
  const from = chain.seenAt ?? reading.since
  return from === undefined || reading.at - from >= reading.rules.idleMs
}

function follow<P extends ChainPoint> (
  chain: Chain<P>, record: LaterRecord, position: types.Term, reading: Reading, rules: PointRules<P>
): effects.Effect {
  // A begin may have replaced one that has been silent for so long.
  const confirmed = chain.candidates.find((point) => point.term === record.term && !isGone(point, reading))
  if (confirmed !== undefined) settleOn(chain, confirmed)
  if (chain.current !== undefined) return advance(chain.current, record, position, reading, rules)
  if (record.type === 'snapshot') addCandidate(chain, rules.restore(record, position, reading.at))
  return effects.incomplete
}

function settleOn<P extends ChainPoint> (chain: Chain<P>, point: P): void {
  point.isComplete = true
  chain.current = point
  chain.candidates = none
}

function addCandidate<P extends ChainPoint> (chain: Chain<P>, point: P): void {
  chain.candidates = [...chain.candidates, point].slice(-maxCandidates)
}

function advance<P extends ChainPoint> (
  point: P, record: LaterRecord, position: types.Term, reading: Reading, rules: PointRules<P>
): effects.Effect {
  const reason = isGone(point, reading) ? 'unknownProgram' : whyVoid(point, record)
  if (reason !== undefined) return effects.voided(reason)
  point.n = record.n
  point.lastAt = reading.at
  if (record.type === 'claim') point.home = record.home
  if (record.type === 'claim' || record.type === 'snapshot') point.term = position
  if (record.type === 'finish') point.finished = record.result
  return rules.apply(point, record, position)
}

/** Why the chain has no place for a record; undefined if it is the next one. */
export function whyVoid (point: ChainPoint, record: LaterRecord): effects.VoidReason | undefined {
  if (record.term > point.term) return 'unknownTerm'
  if (record.term < point.term || record.n <= point.n) return whyTaken(point, record)
  if (record.n > point.n + 1) return 'outOfOrder'
  return point.finished === null ? undefined : 'finished'
}

/** Why a record comes too late for its place in the chain. */
function whyTaken (point: ChainPoint, record: LaterRecord): effects.VoidReason {
  if (record.type === 'claim') return sameProcess(point.home, record.home) ? 'duplicate' : 'lostRace'
  return record.term < point.term ? 'olderTerm' : 'duplicate'
}

/** Whether two references name the same run of the same process. */
export function sameProcess (a: types.ProcessRef, b: types.ProcessRef): boolean {
  return a.host === b.host && a.incarnation === b.incarnation
}
