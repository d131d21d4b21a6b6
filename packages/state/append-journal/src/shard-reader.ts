/** Reads one journal stream and folds it. Reads run one at a time, so that every record is folded once and in order. */
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
  /** Records older than this are not needed, in milliseconds; the log keeps records at least this long. */
  readonly retentionMs: number
  /** Most log records in a page. */
  readonly pageRecords: number
}

/** A batch that this process has appended to the log. */
export interface AppendedBatch {
  readonly offset: types.LogOffset
  readonly at: types.EpochMs
  readonly records: readonly types.JournalRecord[]
}

/** Reads a stream up to its end, or up to a batch that this process has appended. */
export class ShardReader {
  /** Set once the stream holds a batch that this process can't parse, because the effects of later records are then unknown. */
  private blockingFailure: errors.Failure | undefined
  /** The last queued read; the next one starts after it. */
  private lastRead: Promise<unknown> = Promise.resolve()
  private isReading = false
  private hasStarted = false
  /** A catch-up that has not started to read yet; later callers share it. */
  private queuedCatchUp: Promise<errors.Result<void>> | undefined

  constructor (private readonly options: ShardReaderOptions) {}

  /** Folds at least every record that the log holds when this is called. */
  catchUp (): Promise<errors.Result<void>> {
    this.queuedCatchUp ??= this.enqueueRead(() => {
      this.queuedCatchUp = undefined
      return this.readToEnd()
    })
    return this.queuedCatchUp
  }

  /** Folds a batch that this process appended, after reading what other processes appended before it. */
  async foldAppended (appended: AppendedBatch): Promise<errors.Result<void>> {
    const { fold } = this.options
    if (this.blockingFailure === undefined && !this.isReading && fold.nextOffset === appended.offset) {
      fold.foldNext(appended.at, appended.records)
      return errors.ok(undefined)
    }
    return await this.enqueueRead(() => this.readUpToAppended(appended))
  }

  /** Returns the failure that blocks the stream, if any. */
  getBlockingFailure (): errors.Failure | undefined {
    return this.blockingFailure
  }

  /** Reads a page of the stream and updates the counters. */
  async readPage (from: types.LogOffset, limit: number): Promise<errors.Result<logClient.LogPage>> {
    const { log, stream, counters } = this.options
    counters.reads += 1
    const page = await log.read(stream, from, { limit })
    if (!page.ok) counters.failedReads += 1
    else for (const { data } of page.value.records) counters.bytesRead += Buffer.byteLength(data)
    return page
  }

  private enqueueRead<T> (read: () => Promise<T>): Promise<T> {
    const result = this.lastRead.then(async () => {
      this.isReading = true
      try {
        return await read()
      } finally {
        this.isReading = false
      }
    })
    this.lastRead = result.catch(() => undefined)
    return result
  }

  private async readToEnd (): Promise<errors.Result<void>> {
    const { fold, pageRecords } = this.options
    for (;;) {
      const page = await this.readNextPage(pageRecords)
      if (!page.ok) return page
      if (fold.nextOffset >= page.value.next) return errors.ok(undefined)
    }
  }

  private async readUpToAppended (appended: AppendedBatch): Promise<errors.Result<void>> {
    const { fold, pageRecords } = this.options
    while (fold.nextOffset < appended.offset) {
      const page = await this.readNextPage(Math.min(pageRecords, appended.offset - fold.nextOffset))
      if (!page.ok) return page
    }
    // A catch-up may have read past the batch in the meantime.
    if (fold.nextOffset === appended.offset) fold.foldNext(appended.at, appended.records)
    return errors.ok(undefined)
  }

  /** Skips records older than the retention; does nothing after the first successful run. */
  private async skipOldRecords (): Promise<errors.Result<void>> {
    const { fold } = this.options
    if (this.hasStarted || fold.nextOffset > 0) return errors.ok(undefined)
    const oldestAt = this.getOldestRelevantAt()
    const found = await startFinder.findStartOffset((from, limit) => this.readPage(from, limit), oldestAt)
    if (!found.ok) return found
    if (found.value > 0) fold.restartAt(found.value, oldestAt)
    this.hasStarted = true
    return errors.ok(undefined)
  }

  /** Returns the log time before which records count as expired. */
  private getOldestRelevantAt (): types.EpochMs {
    const { timers, retentionMs } = this.options
    return timers.now() - retentionMs as types.EpochMs
  }

  /** Reads and folds one page from the next offset. */
  private async readNextPage (limit: number): Promise<errors.Result<logClient.LogPage>> {
    if (this.blockingFailure !== undefined) return errors.fail(this.blockingFailure)
    const started = await this.skipOldRecords()
    if (!started.ok) return started
    const { fold, logger, stream } = this.options
    const page = await this.readPage(fold.nextOffset, limit)
    if (!page.ok) return page
    const { first, records, next } = page.value
    if (first > fold.nextOffset) {
      logger.error({ stream, from: fold.nextOffset, first }, 'journal records expired before they were read')
      fold.restartAt(first, this.getOldestRelevantAt())
    }
    for (const record of records) {
      const folded = this.foldLogRecord(record)
      if (!folded.ok) return folded
    }
    if (records.length === 0 && fold.nextOffset < next) return errors.fail(createPageOrderFailure(stream))
    return page
  }

  private foldLogRecord (record: logClient.LogRecord): errors.Result<void> {
    const { fold, counters, logger, stream } = this.options
    if (record.offset !== fold.nextOffset) return errors.fail(createPageOrderFailure(stream))
    const batch = programState.parseBatch(record.data)
    if (batch.ok) {
      fold.foldNext(record.at, batch.value.records)
      return errors.ok(undefined)
    }
    const { tag, field, message } = batch.failure
    logger.error({ stream, offset: record.offset, tag, field }, message)
    if (tag !== 'notABatch') return errors.fail(this.block(record.offset, message))
    counters.foreignTexts += 1
    fold.foldNext(record.at, [])
    return errors.ok(undefined)
  }

  /** Blocks the stream. Another version of this software may apply the batch, so folding later records could give a wrong state. */
  private block (offset: types.LogOffset, message: string): errors.Failure {
    this.blockingFailure = { tag: 'internal', verdict: 'notRun', message: `cannot parse the batch in ${this.options.stream} at offset ${offset}: ${message}` }
    return this.blockingFailure
  }
}

function createPageOrderFailure (stream: types.StreamName): errors.Failure {
  return { tag: 'answerBroken', verdict: 'notRun', message: `the log returned a page of ${stream} that does not start at the next offset`, detail: 'page out of order' }
}
