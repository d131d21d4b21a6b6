/** The journal of programs: appends records in batches, reports whether each took effect, and loads programs. */
import xxhash from 'xxhash-wasm'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as counters from './counters.js'
import * as failures from './failures.js'
import * as programLoader from './load-program.js'
import type * as pendingRecords from './pending-record.js'
import * as shardFold from './shard-fold.js'
import * as shardReader from './shard-reader.js'
import * as shardWriter from './shard-writer.js'
import * as tokenBucket from './token-bucket.js'

export interface JournalOptions {
  readonly log: logClient.LogClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** Number of streams that programs are partitioned into. Must be the same in every process and never change. */
  readonly shards: number
  /** Limit on the appends of this process to the log, per second. */
  readonly maxAppendsPerSecond: number
  /** Most bytes of records in one append, and therefore in one record. */
  readonly maxBatchBytes: number
  /** Timeout after which the append of a record fails, in milliseconds. */
  readonly patienceMs: number
  /** How long records are used, in milliseconds: at most as long as the log keeps them. Must be the same in every process. */
  readonly retentionMs?: number
  /** Age of the record that a program's state starts from at which it needs a snapshot, in milliseconds; at most half of the retention. */
  readonly snapshotMs?: number
  /** How long after its finish a program's id can't be begun again, in milliseconds. Must be the same in every process. */
  readonly idReuseDelayMs?: number
  /** Called when a local program is dropped, because another process has become its home or its state can't be known any more. */
  readonly onSuperseded: (program: types.ProgramId) => void
  /** Returns a number from 0 to 1 for the jitter of retries. */
  readonly random?: () => number
}

/** The current head of a program's chain. */
export type Head = Readonly<Pick<programState.ChainHead, 'term' | 'n' | 'home' | 'finished'>>

/** Journal of the programs of all shards. A program is local if its whole state is kept in this process. */
export interface Journal {
  /** Returns the shard of a program, from 0; the same in every process. */
  getShardIndex: (program: types.ProgramId) => number
  /** Returns the name of the journal stream of a shard. */
  getStreamName: (shard: number) => types.StreamName
  /**
   * Appends a record. Succeeds once the record is in the log; `applied` tells whether it took effect. Records of one
   * program keep their order: if one fails, those queued behind it fail too and are not sent. After a failure
   * with the verdict `mayHaveRun`, appending the same record again returns its outcome. Until that outcome is known,
   * any other record with the same sequence number is refused and causes the first one to be sent again.
   */
  append: (record: types.JournalRecord) => Promise<errors.Result<pendingRecords.AppendOutcome>>
  /** Reads and folds a shard up to its end. */
  catchUp: (shard: number) => Promise<errors.Result<void>>
  /** Catches up and returns the head of a program; undefined if it never began. Fails with historyIncomplete if that can't be known. */
  readHead: (program: types.ProgramId) => Promise<errors.Result<Head | undefined>>
  /**
   * Catches up and returns the whole state of a program, which stays up to date until `release`; undefined if the
   * program never began. Fails with historyIncomplete if the state can't be known. Callers must not change the state.
   */
  load: (program: types.ProgramId) => Promise<errors.Result<programState.ProgramState | undefined>>
  /** Drops the state of a local program. */
  release: (program: types.ProgramId) => void
  /** Returns the local programs whose snapshot is due, oldest base first. `now` is wall-clock time. */
  planSnapshots: (now: types.EpochMs) => types.ProgramId[]
  /** False once all log requests of some shard have failed for a second. */
  isAvailable: () => boolean
  /** Returns counters since the journal was created, and its current sizes. */
  getCounters: () => Readonly<counters.JournalCounters> & counters.JournalSizes
  /** Rejects further appends, sends the queued ones until a timeout, and fails the rest. */
  close: () => Promise<void>
}

/** The parts of one shard, which has one journal stream. */
interface Shard {
  readonly fold: shardFold.ShardFold
  readonly reader: shardReader.ShardReader
  readonly writer: shardWriter.ShardWriter
}

const hourMs = 3_600_000
/** Default of `retentionMs`, in milliseconds. */
export const defaultRetentionMs = 24 * hourMs
/** Default of `idReuseDelayMs`, in milliseconds. */
export const defaultIdReuseDelayMs = hourMs
/** Share of the retention after which a program without any record counts as abandoned. */
const idleTimeoutRatio = 0.75
/** Default age of a program's base, as a share of the retention, at which a snapshot is due. */
const snapshotAgeRatio = 0.4
/** Burst size of the token bucket for appends. */
const appendBurst = 4
/** Most log records in a page. */
const pageRecords = 256
/** How long all log requests of a shard must have failed before the journal counts as unavailable, in milliseconds. */
const unavailableAfterMs = 1000
/** How long `close` waits for the queued records, in milliseconds. */
const closeTimeoutMs = 3000

/** Creates a journal. It reads nothing until it is first used. */
export async function createJournal (options: JournalOptions): Promise<Journal> {
  const { h64 } = await xxhash()
  return new LogJournal(options, (text) => h64(text))
}

/** Computes when program ids may be begun again, from the options of the journal; all times in milliseconds. */
export function createFoldRules (retentionMs: number, idReuseDelayMs: number): programState.FoldRules {
  const idleTimeoutMs = retentionMs * idleTimeoutRatio
  return { idleTimeoutMs, reuseDelayMs: Math.min(idReuseDelayMs, idleTimeoutMs) }
}

class LogJournal implements Journal {
  private readonly shards: readonly Shard[]
  private readonly bucket: tokenBucket.TokenBucket
  private readonly journalCounters = counters.createCounters()
  private readonly runningLoads = new Map<types.ProgramId, Promise<errors.Result<programState.ProgramState | undefined>>>()
  private readonly retentionMs: number
  private isClosed = false

  constructor (private readonly options: JournalOptions, private readonly hash: (text: string) => bigint) {
    const { timers, maxAppendsPerSecond } = options
    this.retentionMs = options.retentionMs ?? defaultRetentionMs
    this.bucket = new tokenBucket.TokenBucket(timers, maxAppendsPerSecond, Math.min(appendBurst, Math.max(1, maxAppendsPerSecond)))
    this.shards = Array.from({ length: options.shards }, (_, index) => this.createShard(index))
  }

  getShardIndex (program: types.ProgramId): number {
    return Number(this.hash(program) % BigInt(this.options.shards))
  }

  getStreamName (shard: number): types.StreamName {
    return `journal-${shard}` as types.StreamName
  }

  async append (record: types.JournalRecord): Promise<errors.Result<pendingRecords.AppendOutcome>> {
    if (this.isClosed) return errors.fail(failures.shuttingDown('notRun'))
    const checked = programState.checkRecord(record)
    if (!checked.ok) return errors.fail(failures.invalidRecord(checked.failure.field, checked.failure.message))
    const text = programState.encodeRecord(record)
    const bytes = Buffer.byteLength(text)
    if (bytes > this.options.maxBatchBytes) return errors.fail(failures.recordTooLarge(bytes, this.options.maxBatchBytes))
    return await this.getShard(record.program).writer.append(record, text)
  }

  async catchUp (shard: number): Promise<errors.Result<void>> {
    return await this.shards[shard]!.reader.catchUp()
  }

  async readHead (program: types.ProgramId): Promise<errors.Result<Head | undefined>> {
    const { fold, reader } = this.getShard(program)
    const read = await reader.catchUp()
    if (!read.ok) return read
    const chain = fold.heads.getChain(program)
    if (chain === undefined) return errors.ok(undefined)
    if (chain.current === undefined) return errors.fail(failures.historyIncomplete(program))
    const { term, n, home, finished } = chain.current
    return errors.ok({ term, n, home, finished })
  }

  async load (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const loading = this.runningLoads.get(program) ?? this.startLoad(program)
    return await loading
  }

  release (program: types.ProgramId): void {
    const { fold } = this.getShard(program)
    fold.localViews.delete(program)
    fold.untrackFailed(program)
  }

  planSnapshots (now: types.EpochMs): types.ProgramId[] {
    const dueBefore = now - (this.options.snapshotMs ?? this.retentionMs * snapshotAgeRatio)
    return this.shards
      .flatMap(({ fold }) => [...fold.localViews.keys()].map((program) => ({ program, head: fold.heads.getChain(program)?.current })))
      .filter(({ head }) => head !== undefined && head.finished === null && head.baseAt <= dueBefore)
      .sort((a, b) => a.head!.baseAt - b.head!.baseAt)
      .map(({ program }) => program)
  }

  isAvailable (): boolean {
    return this.shards.every(({ writer }) => writer.getFailingMs() < unavailableAfterMs)
  }

  getCounters (): Readonly<counters.JournalCounters> & counters.JournalSizes {
    const folds = this.shards.map(({ fold }) => fold)
    return {
      ...this.journalCounters,
      heads: folds.reduce((sum, { heads }) => sum + heads.size, 0),
      localPrograms: folds.reduce((sum, { localViews }) => sum + localViews.size, 0)
    }
  }

  async close (): Promise<void> {
    this.isClosed = true
    await Promise.all(this.shards.map(({ writer }) => writer.close(closeTimeoutMs)))
    this.bucket.close()
  }

  private startLoad (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const loading = this.catchUpAndLoad(program).finally(() => { this.runningLoads.delete(program) })
    this.runningLoads.set(program, loading)
    return loading
  }

  private async catchUpAndLoad (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    const { fold, reader } = this.getShard(program)
    const read = await reader.catchUp()
    if (!read.ok) return read
    const local = programState.getCompleteState(fold.localViews.get(program))
    if (local !== undefined) return errors.ok(local)
    return await programLoader.loadProgram(fold, reader, program)
  }

  private getShard (program: types.ProgramId): Shard {
    return this.shards[this.getShardIndex(program)]!
  }

  private createShard (index: number): Shard {
    const { log, timers, logger, onSuperseded, maxBatchBytes, patienceMs, idReuseDelayMs = defaultIdReuseDelayMs, random = Math.random } = this.options
    const { bucket, journalCounters } = this
    const stream = this.getStreamName(index)
    const fold = new shardFold.ShardFold({ rules: createFoldRules(this.retentionMs, idReuseDelayMs), counters: journalCounters, logger, onSuperseded })
    const reader = new shardReader.ShardReader({ log, stream, fold, counters: journalCounters, logger, timers, retentionMs: this.retentionMs, pageRecords })
    const writer = new shardWriter.ShardWriter({ log, stream, fold, reader, bucket, timers, counters: journalCounters, maxBatchBytes, appendTimeoutMs: patienceMs, random })
    return { fold, reader, writer }
  }
}
