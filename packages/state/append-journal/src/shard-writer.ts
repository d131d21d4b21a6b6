/** Appends to one journal stream: one batch in flight, the next one gathers meanwhile. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as backoff from './backoff.js'
import type * as counters from './counters.js'
import * as failures from './failures.js'
import * as pendings from './pending-record.js'
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
  /** How long a record is tried before its writer is told, in milliseconds. */
  readonly patienceMs: number
  readonly random: () => number
}

type Batch = readonly pendings.PendingRecord[]
type Answer = errors.Result<pendings.Appended>

/** A batch landed and was folded, or was given up. */
type Sent = errors.Result<void>

/** Failures of an append that another attempt can't mend. */
const permanentTags: ReadonlySet<errors.FailureTag> = new Set(['bodyTooLarge', 'invalidRequest', 'unauthorized'])

/** Time between questions to a log that failed, in milliseconds. */
const probeMs = 500

export class ShardWriter {
  private queue: pendings.PendingRecord[] = []
  private batch: Batch = []
  private waiting = false
  private closing = false
  private probe: timerService.Subscription | undefined
  private expiry: timerService.Subscription | undefined
  /** Monotonic time of the first of the attempts that have failed in a row. */
  private failingSince: number | undefined

  constructor (private readonly options: ShardWriterOptions) {}

  /** How long every attempt has failed, in milliseconds. */
  failingMs (): number {
    return this.failingSince === undefined ? 0 : this.options.timers.monotonic() - this.failingSince
  }

  append (record: types.JournalRecord, text: string): Promise<Answer> {
    const { fold, timers, patienceMs } = this.options
    const earlier = fold.findCopy(record, text)
    if (earlier?.open === true) return earlier.done
    const rival = earlier === undefined ? fold.findRival(record, text) : undefined
    if (rival !== undefined) return this.refusePlace(rival, record)
    const pending = pendings.createPending(record, text, timers.monotonic() + patienceMs)
    if (earlier !== undefined) {
      // A copy of the record given up may still land, or has: either copy decides.
      fold.forget(earlier)
      pending.mayLand = true
      pending.seen = earlier.seen
      earlier.replaced = true
    }
    fold.expect(pending)
    this.enqueue(pending)
    return pending.done
  }

  /** Refuses a record whose place another one may hold, and has that one decided: its own writer may never ask again. */
  private refusePlace (rival: pendings.PendingRecord, record: types.JournalRecord): Promise<Answer> {
    if (!rival.open && !rival.resending && rival.seen === undefined) this.resend(rival)
    return Promise.resolve(errors.fail(failures.placeTaken(record)))
  }

  /** Sends a record that was given up once more; whichever copy lands first takes effect. */
  private resend (pending: pendings.PendingRecord): void {
    const { timers, patienceMs } = this.options
    pending.resending = true
    pending.deadline = timers.monotonic() + patienceMs
    this.enqueue(pending)
  }

  private enqueue (pending: pendings.PendingRecord): void {
    this.queue.push(pending)
    this.expireLater()
    this.kick()
  }

  /** Sends what is queued, for so long at most; then whatever is left fails. */
  async close (withinMs: number): Promise<void> {
    const all = [...this.batch, ...this.queue].map(({ done }) => done)
    await Promise.race([Promise.all(all), timerService.sleep(this.options.timers, withinMs)])
    this.closing = true
    this.expiry?.cancel()
    this.probe?.cancel()
    for (const pending of [...this.batch, ...this.queue.splice(0)]) {
      this.giveUp(pending, failures.shuttingDown(this.batch.includes(pending) ? 'mayHaveRun' : pendings.verdictOf(pending)))
    }
  }

  private kick (): void {
    if (this.waiting || this.batch.length > 0 || this.queue.length === 0 || this.closing) return
    this.waiting = true
    this.options.bucket.take(() => {
      this.waiting = false
      void this.sendNext()
    })
  }

  private async sendNext (): Promise<void> {
    this.batch = this.takeBatch()
    const sent = this.batch.length > 0 ? await this.send(this.batch) : errors.ok(undefined)
    const { batch } = this
    this.batch = []
    this.settle(batch, sent)
    this.kick()
  }

  /** The front of the queue, without the records that an earlier copy has settled. */
  private takeBatch (): Batch {
    const batch: pendings.PendingRecord[] = []
    let bytes = 0
    for (let pending = this.queue[0]; pending !== undefined; pending = this.queue[0]) {
      bytes += pending.bytes
      const isFull = bytes > this.options.maxBatchBytes || batch.length === types.maxBatchRecords
      if (isFull && batch.length > 0) break
      this.queue.shift()
      if (pending.replaced) continue
      if (pending.seen === undefined) batch.push(pending)
      else this.settleOne(pending, errors.ok(undefined))
    }
    return batch
  }

  private async send (batch: Batch): Promise<Sent> {
    const text = programState.joinRecords(batch.map((pending) => pending.text))
    const deadline = Math.max(...batch.map((pending) => pending.deadline))
    this.options.counters.records += batch.length
    for (let attempt = 0; ; attempt += 1) {
      const sent = await this.attempt(batch, text, deadline)
      if (sent !== undefined) return sent
      if (this.isOver(deadline)) return errors.fail(failures.logUnavailable('notRun'))
      await this.pause(attempt, deadline)
      if (await this.hasLanded(batch)) return errors.ok(undefined)
      await new Promise<void>((resolve) => { this.options.bucket.take(resolve) })
    }
  }

  /** One append of the batch; undefined where another attempt may help. */
  private async attempt (batch: Batch, text: string, deadline: number): Promise<Sent | undefined> {
    const { log, stream, reader, counters } = this.options
    const blocked = reader.failure()
    if (blocked !== undefined) return errors.fail(blocked)
    counters.appends += 1
    counters.bytesWritten += Buffer.byteLength(text)
    const appended = await log.append(stream, text)
    this.noteAttempt(appended.ok)
    if (appended.ok) return await this.land(batch, appended.value, deadline)
    counters.failedAppends += 1
    if (appended.failure.verdict !== 'notRun') markMayLand(batch)
    return permanentTags.has(appended.failure.tag) ? errors.fail(appended.failure) : undefined
  }

  /** Folds a batch that landed; what others wrote before it is read first. */
  private async land (batch: Batch, { offset, at }: logClient.LogAppended, deadline: number): Promise<Sent> {
    const { reader } = this.options
    const records = batch.map(({ record }) => record)
    markMayLand(batch)
    for (let attempt = 0; ; attempt += 1) {
      const landed = await reader.land({ offset, at, records })
      this.noteAttempt(landed.ok)
      if (landed.ok || reader.failure() !== undefined) return landed
      if (this.isOver(deadline)) return errors.fail(failures.logUnavailable('mayHaveRun'))
      await this.pause(attempt, deadline)
    }
  }

  /** Whether a copy whose answer was lost is in the log by now. */
  private async hasLanded (batch: Batch): Promise<boolean> {
    if (!batch[0]!.mayLand) return false
    const read = await this.options.reader.catchUp()
    this.noteAttempt(read.ok)
    return batch.every(({ seen, replaced }) => seen !== undefined || replaced)
  }

  private settle (batch: Batch, sent: Sent): void {
    for (const pending of batch) this.settleOne(pending, sent)
    if (!sent.ok) this.failBehind(batch)
  }

  private settleOne (pending: pendings.PendingRecord, sent: Sent): void {
    const { seen } = pending
    if (seen === undefined) return this.giveUp(pending, sent.ok ? failures.expiredUnread(pending.record) : sent.failure)
    // The writer of a record that was given up may still ask for its fate.
    if (pending.open) this.options.fold.forget(pending)
    pending.resending = false
    pending.settle(errors.ok(seen))
  }

  /** Tells the writer; a record that may land is still expected, so that a later append of it finds out. */
  private giveUp (pending: pendings.PendingRecord, failure: errors.Failure): void {
    if (!pending.mayLand) this.options.fold.forget(pending)
    pending.resending = false
    pending.settle(errors.fail({ ...failure, verdict: pendings.verdictOf(pending) }))
  }

  /** Records queued behind one that failed name a place that may stay empty, so they are not sent. */
  private failBehind (batch: Batch): void {
    const failed = new Set(batch.map(({ record }) => record.program))
    this.failQueued((pending) => failed.has(pending.record.program))
  }

  private failQueued (isFailed: (pending: pendings.PendingRecord) => boolean): void {
    const failed = this.queue.filter(isFailed)
    this.queue = this.queue.filter((pending) => !isFailed(pending))
    for (const pending of failed) this.settleOne(pending, errors.fail(failures.logUnavailable('notRun')))
  }

  private expireLater (): void {
    const oldest = this.queue[0]
    if (this.expiry !== undefined || oldest === undefined) return
    const { timers } = this.options
    this.expiry = timers.after(oldest.deadline - timers.monotonic(), () => {
      this.expiry = undefined
      this.expire()
      this.expireLater()
    })
  }

  /** Gives up queued records whose time is over, and those of the same programs behind them. */
  private expire (): void {
    const now = this.options.timers.monotonic()
    const late = new Set(this.queue.filter(({ deadline }) => deadline <= now).map(({ record }) => record.program))
    if (late.size > 0) this.failQueued(({ record }) => late.has(record.program))
  }

  private isOver (deadline: number): boolean {
    return this.closing || this.options.timers.monotonic() >= deadline
  }

  private noteAttempt (ok: boolean): void {
    if (ok) this.failingSince = undefined
    else this.failingSince ??= this.options.timers.monotonic()
    if (!ok) this.probeLater()
  }

  /** Asks the log from time to time while nothing is sent, so that an outage is not remembered for longer than it lasts. */
  private probeLater (): void {
    if (this.probe !== undefined || this.closing) return
    this.probe = this.options.timers.after(probeMs, () => {
      this.probe = undefined
      if (this.failingSince === undefined) return
      if (this.batch.length > 0) this.probeLater()
      else void this.options.reader.catchUp().then((read) => this.noteAttempt(read.ok))
    })
  }

  /** Waits before the next attempt; the last one comes when the time is over. */
  private async pause (attempt: number, deadline: number): Promise<void> {
    const { timers, random } = this.options
    const leftMs = Math.max(0, deadline - timers.monotonic())
    await timerService.sleep(timers, Math.min(leftMs, backoff.backoffMs(attempt, random)))
  }
}

function markMayLand (batch: Batch): void {
  for (const pending of batch) pending.mayLand = true
}
