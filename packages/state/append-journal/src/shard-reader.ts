/** Reads one journal stream forward into its fold. One read at a time, so that every record is folded once and in order. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as counters from './counters.js'
import * as startFinder from './find-start.js'
import type * as shardFold from './shard-fold.js'

export interface ShardReaderOptions {
  readonly log: logClient.LogClient
  readonly stream: types.StreamName
  readonly fold: shardFold.ShardFold
  readonly counters: counters.JournalCounters
  readonly logger: logger.Logger
  readonly timers: timerService.TimerService
  /** The log keeps records for so long at least, in milliseconds. */
  readonly retentionMs: number
  /** Most log records of a page. */
  readonly pageRecords: number
}

/** An own append that landed. */
export interface Landed {
  readonly offset: types.LogOffset
  readonly at: types.EpochMs
  readonly records: readonly types.JournalRecord[]
}

export class ShardReader {
  /** Set once the stream holds a batch that this process can't read: nothing after it can be judged. */
  private blocked: errors.Failure | undefined
  /** The last of the reads that follow one another. */
  private reading: Promise<unknown> = Promise.resolve()
  private isReading = false
  private started = false
  /** A catch-up that has not begun to read yet, which later callers share. */
  private queued: Promise<errors.Result<void>> | undefined

  constructor (private readonly options: ShardReaderOptions) {}

  /** Folds every record that the log held when this was called. */
  catchUp (): Promise<errors.Result<void>> {
    this.queued ??= this.inTurn(() => {
      this.queued = undefined
      return this.readToEnd()
    })
    return this.queued
  }

  /** Folds an own append, and before it whatever others wrote since the last read. */
  async land (landed: Landed): Promise<errors.Result<void>> {
    const { fold } = this.options
    if (this.blocked === undefined && !this.isReading && fold.next === landed.offset) {
      fold.fold(landed.at, landed.records)
      return errors.ok(undefined)
    }
    return await this.inTurn(() => this.readUpTo(landed))
  }

  /** Why nothing can be read any more, if so. */
  failure (): errors.Failure | undefined {
    return this.blocked
  }

  /** Reads a page of the stream; counts it. */
  async readPage (from: types.LogOffset, limit: number): Promise<errors.Result<logClient.LogPage>> {
    const { log, stream, counters } = this.options
    counters.reads += 1
    const page = await log.read(stream, from, { limit })
    if (!page.ok) counters.failedReads += 1
    else for (const { data } of page.value.records) counters.bytesRead += Buffer.byteLength(data)
    return page
  }

  private inTurn<T> (read: () => Promise<T>): Promise<T> {
    const turn = this.reading.then(async () => {
      this.isReading = true
      try {
        return await read()
      } finally {
        this.isReading = false
      }
    })
    this.reading = turn.catch(() => undefined)
    return turn
  }

  private async readToEnd (): Promise<errors.Result<void>> {
    const { fold, pageRecords } = this.options
    for (;;) {
      const page = await this.readOn(pageRecords)
      if (!page.ok) return page
      if (fold.next >= page.value.next) return errors.ok(undefined)
    }
  }

  private async readUpTo (landed: Landed): Promise<errors.Result<void>> {
    const { fold, pageRecords } = this.options
    while (fold.next < landed.offset) {
      const page = await this.readOn(Math.min(pageRecords, landed.offset - fold.next))
      if (!page.ok) return page
    }
    // A catch-up may have read past it meanwhile.
    if (fold.next === landed.offset) fold.fold(landed.at, landed.records)
    return errors.ok(undefined)
  }

  /** Skips the records that are too old to matter, once. */
  private async start (): Promise<errors.Result<void>> {
    const { fold } = this.options
    if (this.started || fold.next > 0) return errors.ok(undefined)
    const oldest = this.oldest()
    const found = await startFinder.findStart((from, limit) => this.readPage(from, limit), oldest)
    if (!found.ok) return found
    if (found.value > 0) fold.restartAt(found.value, oldest)
    this.started = true
    return errors.ok(undefined)
  }

  /** Log time before which records may have expired, or are as good as that. */
  private oldest (): types.EpochMs {
    const { timers, retentionMs } = this.options
    return timers.now() - retentionMs as types.EpochMs
  }

  /** Reads and folds one page from the next offset on. */
  private async readOn (limit: number): Promise<errors.Result<logClient.LogPage>> {
    if (this.blocked !== undefined) return errors.fail(this.blocked)
    const started = await this.start()
    if (!started.ok) return started
    const { fold, logger, stream } = this.options
    const page = await this.readPage(fold.next, limit)
    if (!page.ok) return page
    const { first, records, next } = page.value
    if (first > fold.next) {
      logger.error({ stream, from: fold.next, first }, 'records expired before they were read')
      fold.restartAt(first, this.oldest())
    }
    for (const record of records) {
      const folded = this.foldText(record)
      if (!folded.ok) return folded
    }
    if (records.length === 0 && fold.next < next) return errors.fail(emptyPage(stream))
    return page
  }

  private foldText (record: logClient.LogRecord): errors.Result<void> {
    const { fold, counters, logger, stream } = this.options
    if (record.offset !== fold.next) return errors.fail(emptyPage(stream))
    const batch = programState.parseBatch(record.data)
    if (batch.ok) {
      fold.fold(record.at, batch.value.records)
      return errors.ok(undefined)
    }
    const { tag, field, message } = batch.failure
    logger.error({ stream, offset: record.offset, tag, field }, message)
    if (tag !== 'notABatch') return errors.fail(this.block(record.offset, message))
    counters.foreignTexts += 1
    fold.fold(record.at, [])
    return errors.ok(undefined)
  }

  /** Another version of this software may give the batch an effect, so to go on would be to guess. */
  private block (offset: types.LogOffset, message: string): errors.Failure {
    this.blocked = { tag: 'internal', verdict: 'notRun', message: `${this.options.stream} at offset ${offset} can't be read: ${message}` }
    return this.blocked
  }
}

function emptyPage (stream: types.StreamName): errors.Failure {
  return { tag: 'answerBroken', verdict: 'notRun', message: `the log answered with a page that does not go on where ${stream} was read to`, detail: 'page out of order' }
}
