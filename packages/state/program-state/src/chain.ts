/**
 * Decides which records of a program take effect, by their sequence number and term alone.
 *
 * A record takes effect only if its `n` is the next sequence number and its `term` the current term. A begin,
 * a claim and a snapshot make their own position the new term. So a record with a given term proves that its
 * writer had read the record at that position and seen it take effect. A reader that starts in the middle of a
 * stream therefore trusts a begin or a snapshot as soon as a later record has its position as the term.
 */
import type * as types from '@eelgrasswind/types'
import * as effects from './effect.js'

/** Any record except the begin, which is a program's first. */
export type LaterRecord = Exclude<types.JournalRecord, types.BeginRecord>

/** When a program id may be used again, by the log's clock. Must be the same in every process. */
export interface FoldRules {
  /** A program with no record for this long counts as abandoned, in milliseconds. Homes write a snapshot well before that. */
  readonly idleTimeoutMs: number
  /** How long after its finish a program's id may be begun again, in milliseconds; at most `idleTimeoutMs`. */
  readonly reuseDelayMs: number
}

/** The circumstances in which a record was read. */
export interface ReadContext {
  /** When the log appended the record, by the log's clock. */
  readonly at: types.EpochMs
  /** Log time of the oldest record of the stream that this reader has read; undefined if it has read the stream from its first record. */
  readonly coveredSince: types.EpochMs | undefined
  readonly rules: FoldRules
}

/** Context of a reader that reads the stream from its first record, with no time limits. */
export const wholeStream: ReadContext = {
  at: 0 as types.EpochMs,
  coveredSince: undefined,
  rules: { idleTimeoutMs: Infinity, reuseDelayMs: Infinity }
}

/** A begin is valid only if the log appended it within this share of `reuseDelayMs`, so that a delayed duplicate can't restart a finished program. */
const maxBeginDelayRatio = 0.25
/** Most unconfirmed begins and snapshots kept for each program. */
const maxCandidates = 16
/** Shared by all programs without candidates, which are most, to save memory. */
const noCandidates: readonly never[] = []

/** The current end of a program's chain of records. Owned by the fold, which mutates it. */
export interface ChainHead {
  /** Fencing token of the home. */
  term: types.Term
  /** Sequence number of the last record that took effect. */
  n: number
  /** The process that owns the program. */
  home: types.ProcessRef
  finished: types.FinishResult | null
  /** Log time of the last record that took effect. */
  lastAppliedAt: types.EpochMs
  /** Whether this is known to equal the result of folding all records from the program's begin. */
  isComplete: boolean
}

/** What a reader knows about one program. Owned by the fold, which mutates it. */
export interface ChainView<P extends ChainHead> {
  readonly program: types.ProgramId
  /** The current head; undefined while the reader can't know it. */
  current: P | undefined
  /** Heads from begins and snapshots that no later record has confirmed, oldest first; empty once `current` is known. */
  candidates: readonly P[]
  /** Log time of the last record read of the program, with or without effect; undefined before the first. */
  lastSeenAt: types.EpochMs | undefined
}

/** Creates and updates heads that carry more data than `ChainHead`: the state of a program, or an index entry. */
export interface HeadHandlers<P extends ChainHead> {
  readonly createFromBegin: (record: types.BeginRecord, position: types.Term, at: types.EpochMs) => P
  readonly createFromSnapshot: (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs) => P
  /** Applies the content of a record that is next in the chain. The head has advanced to the record, whatever effect this returns. */
  readonly applyContent: (head: P, record: LaterRecord, position: types.Term) => effects.Effect
}

/** The result of applying a record to a chain. */
export interface ChainResult<P extends ChainHead> {
  /** Undefined while nothing is known about the program. */
  readonly chain: ChainView<P> | undefined
  readonly effect: effects.Effect
}

/** Creates the chain fields from a program's first record. */
export function createHeadFromBegin (record: types.BeginRecord, position: types.Term, at: types.EpochMs): ChainHead {
  return { term: position, n: 1, home: record.home, finished: null, lastAppliedAt: at, isComplete: false }
}

/** Creates the chain fields from a snapshot. */
export function createHeadFromSnapshot (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs): ChainHead {
  const { home, finished } = record.state
  return { term: position, n: record.n, home, finished, lastAppliedAt: at, isComplete: false }
}

/** Applies one record to what is known about its program. Mutates `chain`; throws if it belongs to another program. */
export function applyToChain<P extends ChainHead> (
  chain: ChainView<P> | undefined, record: types.JournalRecord, position: types.Term, context: ReadContext, handlers: HeadHandlers<P>
): ChainResult<P> {
  if (chain === undefined && record.type !== 'begin' && context.coveredSince === undefined) {
    return { chain, effect: effects.createVoidEffect('unknownProgram') }
  }
  const view = chain ?? { program: record.program, current: undefined, candidates: noCandidates, lastSeenAt: undefined }
  if (view.program !== record.program) throw new Error(`record of program ${record.program} applied to the chain of program ${view.program}`)
  const effect = record.type === 'begin'
    ? applyBegin(view, record, position, context, handlers)
    : applyLater(view, record, position, context, handlers)
  if (chain === undefined && effect.type === 'void') return { chain, effect }
  view.lastSeenAt = context.at
  return { chain: view, effect }
}

function applyBegin<P extends ChainHead> (
  chain: ChainView<P>, record: types.BeginRecord, position: types.Term, context: ReadContext, handlers: HeadHandlers<P>
): effects.Effect {
  if (isStaleBegin(record, context)) return effects.createVoidEffect('staleBegin')
  const { current } = chain
  if (current !== undefined && !canBeginAgain(current, context)) return effects.createVoidEffect(getBeginVoidReason(current, record))
  const head = handlers.createFromBegin(record, position, context.at)
  if (current === undefined && !hasNoEarlierRecords(chain, context)) {
    addCandidate(chain, head)
    return effects.incomplete
  }
  confirmHead(chain, head)
  return effects.applied
}

function isStaleBegin (record: types.BeginRecord, context: ReadContext): boolean {
  return Math.abs(context.at - record.at) > context.rules.reuseDelayMs * maxBeginDelayRatio
}

/** Whether a program finished or had its last record so long ago that its id may be used again; readers may then drop it. */
export function canBeginAgain (head: ChainHead, context: Pick<ReadContext, 'at' | 'rules'>): boolean {
  const { idleTimeoutMs, reuseDelayMs } = context.rules
  const silentMs = context.at - head.lastAppliedAt
  return silentMs >= (head.finished === null ? idleTimeoutMs : reuseDelayMs)
}

/** Whether a program has had no record for the idle timeout. */
function isAbandoned (head: ChainHead, context: ReadContext): boolean {
  return context.at - head.lastAppliedAt >= context.rules.idleTimeoutMs
}

function getBeginVoidReason (head: ChainHead, record: types.BeginRecord): effects.VoidReason {
  if (head.finished !== null) return 'finished'
  return isSameProcess(head.home, record.home) ? 'duplicate' : 'lostRace'
}

/** Whether no earlier record of the program, read or unread, is recent enough to matter. */
function hasNoEarlierRecords<P extends ChainHead> (chain: ChainView<P>, context: ReadContext): boolean {
  const unreadBefore = chain.lastSeenAt ?? context.coveredSince
  return unreadBefore === undefined || context.at - unreadBefore >= context.rules.idleTimeoutMs
}

function applyLater<P extends ChainHead> (
  chain: ChainView<P>, record: LaterRecord, position: types.Term, context: ReadContext, handlers: HeadHandlers<P>
): effects.Effect {
  // Once a program is abandoned, a later begin may have replaced it, so its candidates can't be confirmed.
  const confirmed = chain.candidates.find((head) => head.term === record.term && !isAbandoned(head, context))
  if (confirmed !== undefined) confirmHead(chain, confirmed)
  if (chain.current !== undefined) return advanceHead(chain.current, record, position, context, handlers)
  if (record.type === 'snapshot') addCandidate(chain, handlers.createFromSnapshot(record, position, context.at))
  return effects.incomplete
}

function confirmHead<P extends ChainHead> (chain: ChainView<P>, head: P): void {
  head.isComplete = true
  chain.current = head
  chain.candidates = noCandidates
}

function addCandidate<P extends ChainHead> (chain: ChainView<P>, head: P): void {
  chain.candidates = [...chain.candidates, head].slice(-maxCandidates)
}

function advanceHead<P extends ChainHead> (
  head: P, record: LaterRecord, position: types.Term, context: ReadContext, handlers: HeadHandlers<P>
): effects.Effect {
  const reason = isAbandoned(head, context) ? 'unknownProgram' : getVoidReason(head, record)
  if (reason !== undefined) return effects.createVoidEffect(reason)
  head.n = record.n
  head.lastAppliedAt = context.at
  if (record.type === 'claim') head.home = record.home
  if (record.type === 'claim' || record.type === 'snapshot') head.term = position
  if (record.type === 'finish') head.finished = record.result
  return handlers.applyContent(head, record, position)
}

/** Returns why a record can't be the next one of the chain; undefined if it can. */
export function getVoidReason (head: ChainHead, record: LaterRecord): effects.VoidReason | undefined {
  if (record.term > head.term) return 'unknownTerm'
  if (record.term < head.term || record.n <= head.n) return getTakenVoidReason(head, record)
  if (record.n > head.n + 1) return 'outOfOrder'
  return head.finished === null ? undefined : 'finished'
}

/** Returns why a record is void whose term is older or whose sequence number is taken. */
function getTakenVoidReason (head: ChainHead, record: LaterRecord): effects.VoidReason {
  if (record.type === 'claim') return isSameProcess(head.home, record.home) ? 'duplicate' : 'lostRace'
  return record.term < head.term ? 'olderTerm' : 'duplicate'
}

/** Whether two references name the same incarnation of the same process. */
export function isSameProcess (a: types.ProcessRef, b: types.ProcessRef): boolean {
  return a.host === b.host && a.incarnation === b.incarnation
}
