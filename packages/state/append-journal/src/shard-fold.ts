/** One journal stream as this process has read it: the index, local programs and the fate of own records. */
import type * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'
import type * as counters from './counters.js'
import * as heads from './heads.js'
import * as pendings from './pending-record.js'

export interface ShardFoldOptions {
  readonly rules: programState.FoldRules
  readonly counters: counters.JournalCounters
  readonly logger: logger.Logger
  /** Another process has become the home of a local program, or its state can't be known any more. */
  readonly onSuperseded: (program: types.ProgramId) => void
}

export class ShardFold {
  readonly heads = new heads.Heads()
  /** Programs whose whole state is kept here. */
  readonly locals = new Map<types.ProgramId, programState.ProgramView>()
  /** Offset of the next log record to fold. */
  next = 0 as types.LogOffset
  /** Log time of the newest record. */
  newestAt = 0 as types.EpochMs
  /** No record that this process has not read is younger, by the log's clock; undefined where it has read all there ever were. */
  private coveredSince: types.EpochMs | undefined
  /** Own records that may land, or have landed, and whose writers don't know it. */
  private readonly expected = new Map<types.ProgramId, pendings.PendingRecord[]>()

  constructor (private readonly options: ShardFoldOptions) {}

  /** Folds the records of the log record at `next`. */
  fold (at: types.EpochMs, records: readonly types.JournalRecord[]): void {
    const offset = this.next
    if (this.coveredSince !== undefined && at < this.coveredSince) this.coveredSince = at
    const context = { at, coveredSince: this.coveredSince, rules: this.options.rules }
    for (const [index, record] of records.entries()) this.foldRecord(record, types.positionOf(offset, index), context)
    this.newestAt = at
    this.next = offset + 1 as types.LogOffset
    this.options.counters.recordsFolded += records.length
  }

  /**
   * Goes on at a later offset, as the records before it have expired unread: nothing known so far can be trusted.
   * They were all older than `expiredBefore`.
   */
  restartAt (offset: types.LogOffset, expiredBefore: types.EpochMs): void {
    this.heads.clear()
    const lost = [...this.locals.keys()]
    this.locals.clear()
    this.next = offset
    this.coveredSince = expiredBefore
    for (const program of lost) this.options.onSuperseded(program)
  }

  /** Keeps the state of a program up to date from now on. */
  keep (program: types.ProgramId, view: programState.ProgramView): void {
    this.locals.set(program, view)
  }

  /** The copies of a record that are read from now on decide its fate. */
  expect (pending: pendings.PendingRecord): void {
    const { program } = pending.record
    this.expected.set(program, [...this.expected.get(program) ?? [], pending])
  }

  /** The fate of a record is known, or it can't land. */
  forget (pending: pendings.PendingRecord): void {
    const { program } = pending.record
    const rest = this.expected.get(program)?.filter((other) => other !== pending) ?? []
    if (rest.length > 0) this.expected.set(program, rest)
    else this.expected.delete(program)
  }

  /** Forgets the records of a program that were given up. */
  forgetGivenUp (program: types.ProgramId): void {
    for (const pending of this.expected.get(program) ?? []) {
      if (!pending.open) this.forget(pending)
    }
  }

  /** The same own record, where its writer has not heard of its fate. */
  findCopy (record: types.JournalRecord, text: string): pendings.PendingRecord | undefined {
    return this.expected.get(record.program)?.find((pending) => pendings.samePlace(pending.record, record) && pending.text === text)
  }

  /** Another own record that may hold the place of this one in the chain. */
  findRival (record: types.JournalRecord, text: string): pendings.PendingRecord | undefined {
    return this.expected.get(record.program)?.find((pending) => pendings.samePlace(pending.record, record) && pending.text !== text && pendings.mayHoldPlace(pending))
  }

  private foldRecord (record: types.JournalRecord, position: types.Term, context: programState.ReadContext): void {
    const chainEffect = this.heads.apply(record, position, context)
    const own = this.matchExpected(record)
    const isLocal = this.locals.has(record.program)
    const effect = isLocal ? this.foldLocal(record, position, context, own !== undefined) : chainEffect
    if (own !== undefined && !isLocal && effect.type === 'applied') this.keepBegun(record, position, context.at)
    if (own !== undefined) pendings.noteCopy(own, position, effect)
  }

  private matchExpected (record: types.JournalRecord): pendings.PendingRecord | undefined {
    const expected = this.expected.get(record.program)
    return expected?.find((pending) => pending.record === record) ?? (expected && this.findCopy(record, programState.encodeRecord(record)))
  }

  /** The effect on a local program, which judges the content too. */
  private foldLocal (record: types.JournalRecord, position: types.Term, context: programState.ReadContext, own: boolean): programState.Effect {
    const { program } = record
    const known = this.locals.get(program)
    const { effect } = programState.applyRecord(known, record, position, context)
    if (effect.type === 'incomplete') this.options.logger.error({ program, position }, 'a record contradicts the state of its program')
    const taken = effect.type === 'applied' && (record.type === 'claim' || record.type === 'begin') && !own
    if (taken || effect.type === 'incomplete') this.drop(program)
    return effect
  }

  private keepBegun (record: types.JournalRecord, position: types.Term, at: types.EpochMs): void {
    const view = record.type === 'begin' ? programState.createViewFromBase(record, position, at) : undefined
    if (view !== undefined) this.keep(record.program, view)
  }

  private drop (program: types.ProgramId): void {
    this.locals.delete(program)
    this.options.onSuperseded(program)
  }
}
