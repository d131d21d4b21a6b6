/** Fold of one journal stream: the index, the states of local programs and the outcomes of the records that this process appends. */
import type * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'
import type * as counters from './counters.js'
import * as heads from './heads.js'
import * as pendingRecords from './pending-record.js'

export interface ShardFoldOptions {
  readonly rules: programState.FoldRules
  readonly counters: counters.JournalCounters
  readonly logger: logger.Logger
  /** Called when a local program is dropped, because another process has become its home or its state can't be known any more. */
  readonly onSuperseded: (program: types.ProgramId) => void
}

/** Folds the records of one shard in log order. Nothing here does I/O. */
export class ShardFold {
  readonly heads = new heads.HeadIndex()
  /** Views of the local programs, whose whole state is kept in this process. */
  readonly localViews = new Map<types.ProgramId, programState.ProgramView>()
  /** Offset of the next log record to fold. */
  nextOffset = 0 as types.LogOffset
  /** Log time of the last folded record. */
  newestAt = 0 as types.EpochMs
  /** Log time up to which records may exist that this process has not read; undefined if it has read the stream from its first record. */
  private coveredSince: types.EpochMs | undefined
  /** Records of this process that are or may be appended, and whose writers don't know the outcome. */
  private readonly tracked = new Map<types.ProgramId, pendingRecords.PendingRecord[]>()

  constructor (private readonly options: ShardFoldOptions) {}

  /** Folds the batch at `nextOffset` and advances. `at` is its log time. */
  foldNext (at: types.EpochMs, records: readonly types.JournalRecord[]): void {
    const offset = this.nextOffset
    if (this.coveredSince !== undefined && at < this.coveredSince) this.coveredSince = at
    const context = { at, coveredSince: this.coveredSince, rules: this.options.rules }
    for (const [index, record] of records.entries()) this.foldRecord(record, types.toPosition(offset, index), context)
    this.newestAt = at
    this.nextOffset = offset + 1 as types.LogOffset
    this.options.counters.recordsFolded += records.length
  }

  /**
   * Continues at a later offset after records were skipped or expired unread. Drops the index and all local
   * programs, because they may be out of date. All unread records are older than `expiredBefore`, a log time.
   */
  restartAt (offset: types.LogOffset, expiredBefore: types.EpochMs): void {
    this.heads.clear()
    const lostPrograms = [...this.localViews.keys()]
    this.localViews.clear()
    this.nextOffset = offset
    this.coveredSince = expiredBefore
    for (const program of lostPrograms) this.options.onSuperseded(program)
  }

  /** Makes a program local: its state is kept up to date from now on. */
  keepLocal (program: types.ProgramId, view: programState.ProgramView): void {
    this.localViews.set(program, view)
  }

  /** Starts to track a record, so that copies of it that are read determine its outcome. */
  track (pending: pendingRecords.PendingRecord): void {
    const { program } = pending.record
    this.tracked.set(program, [...this.tracked.get(program) ?? [], pending])
  }

  /** Stops tracking a record whose outcome is known or that can't be appended any more. */
  untrack (pending: pendingRecords.PendingRecord): void {
    const { program } = pending.record
    const remaining = this.tracked.get(program)?.filter((other) => other !== pending) ?? []
    if (remaining.length > 0) this.tracked.set(program, remaining)
    else this.tracked.delete(program)
  }

  /** Stops tracking the records of a program whose writers no longer wait for them. */
  untrackFailed (program: types.ProgramId): void {
    for (const pending of this.tracked.get(program) ?? []) {
      if (!pending.isAwaited) this.untrack(pending)
    }
  }

  /** Finds a tracked record that is the same as this one. */
  findDuplicate (record: types.JournalRecord, text: string): pendingRecords.PendingRecord | undefined {
    return this.tracked.get(record.program)?.find((pending) => pendingRecords.hasSameSequenceNumber(pending.record, record) && pending.text === text)
  }

  /** Finds another tracked record that holds, or may hold, the sequence number of this one. */
  findConflict (record: types.JournalRecord, text: string): pendingRecords.PendingRecord | undefined {
    return this.tracked.get(record.program)?.find((pending) => pendingRecords.hasSameSequenceNumber(pending.record, record) && pending.text !== text && pendingRecords.canHoldSequenceNumber(pending))
  }

  private foldRecord (record: types.JournalRecord, position: types.Term, context: programState.ReadContext): void {
    const chainEffect = this.heads.apply(record, position, context)
    const own = this.matchTracked(record)
    const isLocal = this.localViews.has(record.program)
    const effect = isLocal ? this.foldLocal(record, position, context, own !== undefined) : chainEffect
    if (own !== undefined && !isLocal && effect.type === 'applied') this.keepBegunLocal(record, position, context.at)
    if (own !== undefined) pendingRecords.addCopy(own, position, effect)
  }

  private matchTracked (record: types.JournalRecord): pendingRecords.PendingRecord | undefined {
    const candidates = this.tracked.get(record.program)
    return candidates?.find((pending) => pending.record === record) ?? (candidates && this.findDuplicate(record, programState.encodeRecord(record)))
  }

  /** Applies a record to a local program and returns the effect, which unlike that of the index depends on the content too. */
  private foldLocal (record: types.JournalRecord, position: types.Term, context: programState.ReadContext, isOwn: boolean): programState.Effect {
    const { program } = record
    const known = this.localViews.get(program)
    const { effect } = programState.applyRecord(known, record, position, context)
    if (effect.type === 'incomplete') this.options.logger.error({ program, position }, 'journal record contradicts the state of its program; the program is released')
    const isTakenOver = effect.type === 'applied' && (record.type === 'claim' || record.type === 'begin') && !isOwn
    if (isTakenOver || effect.type === 'incomplete') this.dropLocal(program)
    return effect
  }

  private keepBegunLocal (record: types.JournalRecord, position: types.Term, at: types.EpochMs): void {
    const view = record.type === 'begin' ? programState.createViewFromBase(record, position, at) : undefined
    if (view !== undefined) this.keepLocal(record.program, view)
  }

  private dropLocal (program: types.ProgramId): void {
    this.localViews.delete(program)
    this.options.onSuperseded(program)
  }
}
