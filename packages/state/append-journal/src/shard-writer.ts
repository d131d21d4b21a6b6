/** Appends to one journal stream, with one batch in flight. Records that arrive meanwhile form the next batch. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as backoff from './backoff.js'
import type * as counters from './counters.js'
import * as failures from './failures.js'
import * as pendingRecords from './pending-record.js'
import type * as shardFold from './shard-fold.js'
import type * as shardReader from './shard-reader.js'
import type * as tokenBucket from './token-bucket.js'

export interface ShardWriterOptions {
  readonly log: logClient.LogClient
  readonly stream: types.StreamName
  readonly fold: shardFold.ShardFold
  readonly reader: shardReader.ShardReader
  readonly bucket: tokenBucket.TokenBucket
  readonly timers: timerService.TimerService
  readonly counters: counters.JournalCounters
  readonly maxBatchBytes: number
  /** Timeout after which the append of a record fails, in milliseconds. */
  readonly appendTimeoutMs: number
  readonly random: () => number
}

type Batch = readonly pendingRecords.PendingRecord[]
type AppendResult = errors.Result<pendingRecords.AppendOutcome>

/** Ok if the batch was appended and folded; otherwise the failure for its records that have no outcome. */
type SendResult = errors.Result<void>

/** Failures of an append that are not retried, because another attempt would fail too. */
const permanentTags: ReadonlySet<errors.FailureTag> = new Set(['bodyTooLarge', 'invalidRequest', 'unauthorized'])

/** Interval between probes of a log that failed, in milliseconds. */
const probeIntervalMs = 500

/** Batches, sends and retries the records of one shard, and reports the outcome of each. */
export class ShardWriter {
  private queue: pendingRecords.PendingRecord[] = []
  private inFlightBatch: Batch = []
  private isWaitingForToken = false
  private isClosing = false
  private probe: timerService.Subscription | undefined
  private expiry: timerService.Subscription | undefined
  /** Monotonic time of the first request in the current run of failed requests; undefined if the last one succeeded. */
  private failingSince: number | undefined

  constructor (private readonly options: ShardWriterOptions) {}

  /** Returns for how long all requests to the log have failed, in milliseconds; 0 if the last one succeeded. */
  getFailingMs (): number {
    return this.failingSince === undefined ? 0 : this.options.timers.monotonic() - this.failingSince
  }

  append (record: types.JournalRecord, text: string): Promise<AppendResult> {
    const { fold, timers, appendTimeoutMs } = this.options
    const duplicate = fold.findDuplicate(record, text)
    if (duplicate?.isAwaited === true) return duplicate.result
    const conflict = duplicate === undefined ? fold.findConflict(record, text) : undefined
    if (conflict !== undefined) return this.rejectConflicting(conflict, record)
    const pending = pendingRecords.createPendingRecord(record, text, timers.monotonic() + appendTimeoutMs)
    if (duplicate !== undefined) {
      // A copy of the earlier, failed append may be in the log or may still be appended; either copy determines the outcome.
      fold.untrack(duplicate)
      pending.mayBeAppended = true
      pending.outcome = duplicate.outcome
      duplicate.isReplaced = true
    }
    fold.track(pending)
    this.enqueue(pending)
    return pending.result
  }

  /**
   * Refuses a record whose sequence number another one holds or may hold. Sends the other one again if its outcome is
   * unknown, because its own writer may never retry it.
   */
  private rejectConflicting (conflict: pendingRecords.PendingRecord, record: types.JournalRecord): Promise<AppendResult> {
    if (!conflict.isAwaited && !conflict.isResending && conflict.outcome === undefined) this.resend(conflict)
    return Promise.resolve(errors.fail(failures.sequenceNumberTaken(record)))
  }

  /** Sends a failed record again to determine its outcome; the copy that is appended first takes effect. */
  private resend (pending: pendingRecords.PendingRecord): void {
    const { timers, appendTimeoutMs } = this.options
    pending.isResending = true
    pending.deadline = timers.monotonic() + appendTimeoutMs
    this.enqueue(pending)
  }

  private enqueue (pending: pendingRecords.PendingRecord): void {
    this.queue.push(pending)
    this.scheduleExpiry()
    this.startNextBatch()
  }

  /** Waits up to `timeoutMs` milliseconds for the pending records; then fails those that have no result. */
  async close (timeoutMs: number): Promise<void> {
    const results = [...this.inFlightBatch, ...this.queue].map(({ result }) => result)
    await Promise.race([Promise.all(results), timerService.sleep(this.options.timers, timeoutMs)])
    this.isClosing = true
    this.expiry?.cancel()
    this.probe?.cancel()
    for (const pending of [...this.inFlightBatch, ...this.queue.splice(0)]) {
      this.failRecord(pending, failures.shuttingDown(this.inFlightBatch.includes(pending) ? 'mayHaveRun' : pendingRecords.getVerdict(pending)))
    }
  }

  private startNextBatch (): void {
    if (this.isWaitingForToken || this.inFlightBatch.length > 0 || this.queue.length === 0 || this.isClosing) return
    this.isWaitingForToken = true
    this.options.bucket.take(() => {
      this.isWaitingForToken = false
      void this.sendNext()
    })
  }

  private async sendNext (): Promise<void> {
    this.inFlightBatch = this.takeBatch()
    const sent = this.inFlightBatch.length > 0 ? await this.send(this.inFlightBatch) : errors.ok(undefined)
    const { inFlightBatch: batch } = this
    this.inFlightBatch = []
    this.settleBatch(batch, sent)
    this.startNextBatch()
  }

  /** Takes the next batch from the queue. Settles records whose copy is already in the log and skips replaced ones. */
  private takeBatch (): Batch {
    const batch: pendingRecords.PendingRecord[] = []
    let bytes = 0
    for (let pending = this.queue[0]; pending !== undefined; pending = this.queue[0]) {
      bytes += pending.bytes
      const isFull = bytes > this.options.maxBatchBytes || batch.length === types.maxBatchRecords
      if (isFull && batch.length > 0) break
      this.queue.shift()
      if (pending.isReplaced) continue
      if (pending.outcome === undefined) batch.push(pending)
      else this.settleRecord(pending, errors.ok(undefined))
    }
    return batch
  }

  private async send (batch: Batch): Promise<SendResult> {
    const text = programState.joinRecords(batch.map((pending) => pending.text))
    const deadline = Math.max(...batch.map((pending) => pending.deadline))
    this.options.counters.records += batch.length
    for (let attempt = 0; ; attempt += 1) {
      const sent = await this.tryAppend(batch, text, deadline)
      if (sent !== undefined) return sent
      if (this.mustStop(deadline)) return errors.fail(failures.logUnavailable('notRun'))
      await this.backOff(attempt, deadline)
      if (await this.isInLog(batch)) return errors.ok(undefined)
      await new Promise<void>((resolve) => { this.options.bucket.take(resolve) })
    }
  }

  /** Sends one append request for the batch; undefined if a retry may succeed. */
  private async tryAppend (batch: Batch, text: string, deadline: number): Promise<SendResult | undefined> {
    const { log, stream, reader, counters } = this.options
    const blockingFailure = reader.getBlockingFailure()
    if (blockingFailure !== undefined) return errors.fail(blockingFailure)
    counters.appends += 1
    counters.bytesWritten += Buffer.byteLength(text)
    const appended = await log.append(stream, text)
    this.trackAvailability(appended.ok)
    if (appended.ok) return await this.foldAppended(batch, appended.value, deadline)
    counters.failedAppends += 1
    if (appended.failure.verdict !== 'notRun') markMayBeAppended(batch)
    return permanentTags.has(appended.failure.tag) ? errors.fail(appended.failure) : undefined
  }

  /** Folds a batch that was appended, and retries while the records before it can't be read. */
  private async foldAppended (batch: Batch, { offset, at }: logClient.AppendResult, deadline: number): Promise<SendResult> {
    const { reader } = this.options
    const records = batch.map(({ record }) => record)
    markMayBeAppended(batch)
    for (let attempt = 0; ; attempt += 1) {
      const folded = await reader.foldAppended({ offset, at, records })
      this.trackAvailability(folded.ok)
      if (folded.ok || reader.getBlockingFailure() !== undefined) return folded
      if (this.mustStop(deadline)) return errors.fail(failures.logUnavailable('mayHaveRun'))
      await this.backOff(attempt, deadline)
    }
  }

  /** Reads forward to find out whether an earlier attempt has appended the batch although it returned a failure. */
  private async isInLog (batch: Batch): Promise<boolean> {
    if (!batch[0]!.mayBeAppended) return false
    const read = await this.options.reader.catchUp()
    this.trackAvailability(read.ok)
    return batch.every(({ outcome, isReplaced }) => outcome !== undefined || isReplaced)
  }

  private settleBatch (batch: Batch, sent: SendResult): void {
    for (const pending of batch) this.settleRecord(pending, sent)
    if (!sent.ok) this.failQueuedBehind(batch)
  }

  private settleRecord (pending: pendingRecords.PendingRecord, sent: SendResult): void {
    const { outcome } = pending
    if (outcome === undefined) return this.failRecord(pending, sent.ok ? failures.recordsExpired(pending.record) : sent.failure)
    // A failed record stays tracked after it is sent again, because its writer may still retry it.
    if (pending.isAwaited) this.options.fold.untrack(pending)
    pending.isResending = false
    pending.settle(errors.ok(outcome))
  }

  /** Fails a record. One that may be appended stays tracked, so that appending it again returns its outcome. */
  private failRecord (pending: pendingRecords.PendingRecord, failure: errors.Failure): void {
    if (!pending.mayBeAppended) this.options.fold.untrack(pending)
    pending.isResending = false
    pending.settle(errors.fail({ ...failure, verdict: pendingRecords.getVerdict(pending) }))
  }

  /** Fails the queued records of the same programs without sending them, because the sequence number before theirs may stay unused. */
  private failQueuedBehind (batch: Batch): void {
    const failedPrograms = new Set(batch.map(({ record }) => record.program))
    this.failQueued((pending) => failedPrograms.has(pending.record.program))
  }

  private failQueued (isFailed: (pending: pendingRecords.PendingRecord) => boolean): void {
    const failed = this.queue.filter(isFailed)
    this.queue = this.queue.filter((pending) => !isFailed(pending))
    for (const pending of failed) this.settleRecord(pending, errors.fail(failures.logUnavailable('notRun')))
  }

  private scheduleExpiry (): void {
    const oldest = this.queue[0]
    if (this.expiry !== undefined || oldest === undefined) return
    const { timers } = this.options
    this.expiry = timers.after(oldest.deadline - timers.monotonic(), () => {
      this.expiry = undefined
      this.failExpired()
      this.scheduleExpiry()
    })
  }

  /** Fails queued records that are past their deadline, and all queued records of the same programs. */
  private failExpired (): void {
    const now = this.options.timers.monotonic()
    const expiredPrograms = new Set(this.queue.filter(({ deadline }) => deadline <= now).map(({ record }) => record.program))
    if (expiredPrograms.size > 0) this.failQueued(({ record }) => expiredPrograms.has(record.program))
  }

  private mustStop (deadline: number): boolean {
    return this.isClosing || this.options.timers.monotonic() >= deadline
  }

  private trackAvailability (isOk: boolean): void {
    if (isOk) this.failingSince = undefined
    else this.failingSince ??= this.options.timers.monotonic()
    if (!isOk) this.scheduleProbe()
  }

  /** Probes a failing log while no batch is in flight, to notice when an outage has ended. */
  private scheduleProbe (): void {
    if (this.probe !== undefined || this.isClosing) return
    this.probe = this.options.timers.after(probeIntervalMs, () => {
      this.probe = undefined
      if (this.failingSince === undefined) return
      if (this.inFlightBatch.length > 0) this.scheduleProbe()
      else void this.options.reader.catchUp().then((read) => this.trackAvailability(read.ok))
    })
  }

  /** Waits before the next attempt, at most until the deadline. */
  private async backOff (attempt: number, deadline: number): Promise<void> {
    const { timers, random } = this.options
    const remainingMs = Math.max(0, deadline - timers.monotonic())
    await timerService.sleep(timers, Math.min(remainingMs, backoff.computeBackoffMs(attempt, random)))
  }
}

function markMayBeAppended (batch: Batch): void {
  for (const pending of batch) pending.mayBeAppended = true
}
