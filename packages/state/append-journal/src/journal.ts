/** The journal of programs: appends records in batches, says whether each took effect, and loads programs. */
import xxhash from 'xxhash-wasm'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as counters from './counters.js'
import * as failures from './failures.js'
import * as loads from './load-program.js'
import type * as pendings from './pending-record.js'
import * as shardFold from './shard-fold.js'
import * as shardReader from './shard-reader.js'
import * as shardWriter from './shard-writer.js'
import * as tokenBucket from './token-bucket.js'

export interface JournalOptions {
  readonly log: logClient.LogClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** Streams that programs are spread over; the same in every process, for ever. */
  readonly shards: number
  /** Appends of this process to the log, each second. */
  readonly maxAppendsPerSecond: number
  /** Bytes of records that one append gathers at most, and so of one record. */
  readonly maxBatchBytes: number
  /** How long a record is tried before its writer is told, in milliseconds. */
  readonly patienceMs: number
  /** How long the log keeps records, or less, in milliseconds; the same in every process. */
  readonly retentionMs?: number
  /** Age of a program's oldest record at which it needs a snapshot, in milliseconds; at most half of the retention. */
  readonly snapshotMs?: number
  /** How long a finished program's id stays taken, in milliseconds; the same in every process. */
  readonly finishedMs?: number
  /** Another process has become the home of a local program, or its state can't be known any more: it is released. */
  readonly onSuperseded: (program: types.ProgramId) => void
  /** From 0 to 1; spreads retries. */
  readonly random?: () => number
}

/** Where a program's chain stands. */
export type Head = Readonly<Pick<programState.ChainHead, 'term' | 'n' | 'home' | 'finished'>>

export interface Journal {
  shardOf: (program: types.ProgramId) => number
  streamOf: (shard: number) => types.StreamName
  /**
   * Ok once the record is in the log; `applied` says whether it took effect. Records of one program keep their
   * order: where one fails, those appended behind it fail as well and are not sent. A failure with the verdict
   * `mayHaveRun` is settled by appending the same record again. Any other record at its place is refused until its
   * fate is known, and has it sent again.
   */
  append: (record: types.JournalRecord) => Promise<errors.Result<pendings.Appended>>
  /** Reads a shard up to its end. */
  catchUp: (shard: number) => Promise<errors.Result<void>>
  /** After catching up; undefined where the program never began, historyIncomplete where this can't be known. */
  readHead: (program: types.ProgramId) => Promise<errors.Result<Head | undefined>>
  /** The whole state, kept up to date until release. Only the fold changes it. */
  load: (program: types.ProgramId) => Promise<errors.Result<programState.ProgramState | undefined>>
  /** Drops the state of a local program. */
  release: (program: types.ProgramId) => void
  /** Local programs that need a snapshot before half of the retention has passed, most urgent first. `now` is wall time. */
  planSnapshots: (now: types.EpochMs) => types.ProgramId[]
  /** Whether the log has answered lately. */
  isAvailable: () => boolean
  getCounters: () => Readonly<counters.JournalCounters> & counters.JournalSizes
  /** Sends what is queued, within a bound; then appends fail. */
  close: () => Promise<void>
}

interface Shard {
  readonly fold: shardFold.ShardFold
  readonly reader: shardReader.ShardReader
  readonly writer: shardWriter.ShardWriter
}

const hourMs = 3_600_000
export const defaultRetentionMs = 24 * hourMs
export const defaultFinishedMs = hourMs
/** Share of the retention after which a program without any record counts as gone. */
const idleShare = 0.75
/** Share of the retention after which a program gets a snapshot. */
const snapshotShare = 0.4
/** Appends that may go at once after a quiet time. */
const appendBurst = 4
const pageRecords = 256
const unavailableAfterMs = 1000
const closeWithinMs = 3000

export async function createJournal (options: JournalOptions): Promise<Journal> {
  const { h64 } = await xxhash()
  return new LogJournal(options, (text) => h64(text))
}

/** When an id may be begun again, from the times of the options. */
export function foldRulesOf (retentionMs: number, finishedMs: number): programState.FoldRules {
  const idleTimeoutMs = retentionMs * idleShare
  return { idleTimeoutMs, reuseDelayMs: Math.min(finishedMs, idleTimeoutMs) }
}

class LogJournal implements Journal {
  private readonly shards: readonly Shard[]
  private readonly bucket: tokenBucket.TokenBucket
  private readonly counted = counters.createCounters()
  private readonly loading = new Map<types.ProgramId, Promise<errors.Result<programState.ProgramState | undefined>>>()
  private readonly retentionMs: number
  private closed = false

  constructor (private readonly options: JournalOptions, private readonly hash: (text: string) => bigint) {
    const { timers, maxAppendsPerSecond } = options
    this.retentionMs = options.retentionMs ?? defaultRetentionMs
    this.bucket = new tokenBucket.TokenBucket(timers, maxAppendsPerSecond, Math.min(appendBurst, Math.max(1, maxAppendsPerSecond)))
    this.shards = Array.from({ length: options.shards }, (_, index) => this.createShard(index))
  }

  shardOf (program: types.ProgramId): number {
    return Number(this.hash(program) % BigInt(this.options.shards))
  }

  streamOf (shard: number): types.StreamName {
    return `journal-${shard}` as types.StreamName
  }

  async append (record: types.JournalRecord): Promise<errors.Result<pendings.Appended>> {
    if (this.closed) return errors.fail(failures.shuttingDown('notRun'))
    const checked = programState.checkRecord(record)
    if (!checked.ok) return errors.fail(failures.wrongRecord(checked.failure.field, checked.failure.message))
    const text = programState.encodeRecord(record)
    const bytes = Buffer.byteLength(text)
    if (bytes > this.options.maxBatchBytes) return errors.fail(failures.recordTooLarge(bytes, this.options.maxBatchBytes))
    return await this.shardFor(record.program).writer.append(record, text)
  }

  async catchUp (shard: number): Promise<errors.Result<void>> {
    return await this.shards[shard]!.reader.catchUp()
  }

  async readHead (program: types.ProgramId): Promise<errors.Result<Head | undefined>> {
    const { fold, reader } = this.shardFor(program)
    const read = await reader.catchUp()
    if (!read.ok) return read
    const chain = fold.heads.chainOf(program)
    if (chain === undefined) return errors.ok(undefined)
    if (chain.current === undefined) return errors.fail(failures.historyIncomplete(program))
    const { term, n, home, finished } = chain.current
    return errors.ok({ term, n, home, finished })
  }

  async load (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const loading = this.loading.get(program) ?? this.startLoad(program)
    return await loading
  }

  release (program: types.ProgramId): void {
    const { fold } = this.shardFor(program)
    fold.locals.delete(program)
    fold.forgetGivenUp(program)
  }

  planSnapshots (now: types.EpochMs): types.ProgramId[] {
    const dueBefore = now - (this.options.snapshotMs ?? this.retentionMs * snapshotShare)
    return this.shards
      .flatMap(({ fold }) => [...fold.locals.keys()].map((program) => ({ program, head: fold.heads.chainOf(program)?.current })))
      .filter(({ head }) => head !== undefined && head.finished === null && head.baseAt <= dueBefore)
      .sort((a, b) => a.head!.baseAt - b.head!.baseAt)
      .map(({ program }) => program)
  }

  isAvailable (): boolean {
    return this.shards.every(({ writer }) => writer.failingMs() < unavailableAfterMs)
  }

  getCounters (): Readonly<counters.JournalCounters> & counters.JournalSizes {
    const folds = this.shards.map(({ fold }) => fold)
    return {
      ...this.counted,
      heads: folds.reduce((sum, { heads }) => sum + heads.size, 0),
      localPrograms: folds.reduce((sum, { locals }) => sum + locals.size, 0)
    }
  }

  async close (): Promise<void> {
    this.closed = true
    await Promise.all(this.shards.map(({ writer }) => writer.close(closeWithinMs)))
    this.bucket.close()
  }

  private startLoad (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const loading = this.loadNow(program).finally(() => { this.loading.delete(program) })
    this.loading.set(program, loading)
    return loading
  }

  private async loadNow (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const { fold, reader } = this.shardFor(program)
    const read = await reader.catchUp()
    if (!read.ok) return read
    const local = programState.getCompleteState(fold.locals.get(program))
    if (local !== undefined) return errors.ok(local)
    return await loads.loadProgram(fold, reader, program)
  }

  private shardFor (program: types.ProgramId): Shard {
    return this.shards[this.shardOf(program)]!
  }

  private createShard (index: number): Shard {
    const { log, timers, logger, onSuperseded, maxBatchBytes, patienceMs, finishedMs = defaultFinishedMs, random = Math.random } = this.options
    const { bucket, counted } = this
    const stream = this.streamOf(index)
    const fold = new shardFold.ShardFold({ rules: foldRulesOf(this.retentionMs, finishedMs), counters: counted, logger, onSuperseded })
    const reader = new shardReader.ShardReader({ log, stream, fold, counters: counted, logger, timers, retentionMs: this.retentionMs, pageRecords })
    const writer = new shardWriter.ShardWriter({ log, stream, fold, reader, bucket, timers, counters: counted, maxBatchBytes, patienceMs, random })
    return { fold, reader, writer }
  }
}
