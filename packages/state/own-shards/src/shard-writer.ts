/**
 * Appends the records of one shard in batches: one append is in flight at a time, commits made meanwhile form the next
 * batch.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** Whether the records of a commit are durable. */
export type CommitOutcome =
  | { readonly type: 'committed' }
  /**
   * This process no longer owns the shard, after a takeover or because the writer was closed: the records count as not
   * stored.
   */
  | { readonly type: 'lost' }

/** Dependencies of a writer. */
export interface ShardWriterPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Called once when the store reports that the shard has a newer owner. */
  readonly onLost: (reason: string) => void
}

interface PendingCommit {
  readonly records: readonly shardLog.KeyedRecord[]
  /** Keys and values of the records. */
  readonly bytes: number
  readonly resolve: (outcome: CommitOutcome) => void
}

/**
 * Bounds of the exponential backoff before a refused or unanswered append is repeated, in ms. The shortest delay is a few
 * store round trips long, so that an outage causes few calls.
 */
const minRetryDelayMs = 20
const maxRetryDelayMs = 300
/** Maximum size of the records in one append, in bytes; below the smallest limit of any known store. */
const maxBatchBytes = 1_000_000
/** Memory of a pending commit besides its records, in bytes. */
const commitOverheadBytes = 1_024

/** The only component that writes the records of a shard. */
export class ShardWriter {
  private sequence = 0
  private pendingCommits: PendingCommit[] = []
  private isAppending = false
  private isClosed = false
  /** When the append in flight was first sent, in ms of the monotonic clock; `undefined` if none is in flight. */
  private firstSentAtMs: number | undefined
  private pendingBytes = 0

  constructor (
    private readonly partition: shardLog.Partition,
    readonly epoch: number,
    private readonly ports: ShardWriterPorts
  ) {}

  /** Fences every former writer. Nothing may be read or written before it resolves. */
  async open (): Promise<CommitOutcome> {
    return this.commit([])
  }

  /** Resolves when the records are durable. With no records, resolves when the store has confirmed this writer's epoch. */
  commit (records: readonly shardLog.KeyedRecord[]): Promise<CommitOutcome> {
    if (this.isClosed) return Promise.resolve({ type: 'lost' })
    return new Promise((resolve) => {
      const bytes = countBytes(records)
      this.pendingBytes += bytes + commitOverheadBytes
      this.pendingCommits.push({ records, bytes, resolve })
      if (!this.isAppending) void this.appendPending()
    })
  }

  /** How long the append in flight has been unanswered, in ms; 0 if none is in flight. */
  get unansweredMs (): number {
    return this.firstSentAtMs === undefined ? 0 : this.ports.timers.monotonic() - this.firstSentAtMs
  }

  /** Memory of the commits that the store has not answered, in bytes. */
  get unstoredBytes (): number {
    return this.pendingBytes
  }

  /** Stops writing; pending commits resolve as `lost`. */
  close (): void {
    this.isClosed = true
    this.resolveCommits(this.pendingCommits.splice(0), { type: 'lost' })
  }

  private async appendPending (): Promise<void> {
    this.isAppending = true
    while (this.pendingCommits.length > 0 && !this.isClosed) {
      const batch = this.takeBatch()
      this.firstSentAtMs = this.ports.timers.monotonic()
      const outcome = await this.appendBatch(batch)
      this.firstSentAtMs = undefined
      this.resolveCommits(batch, outcome)
    }
    this.isAppending = false
  }

  private takeBatch (): PendingCommit[] {
    let batchBytes = 0
    let count = 0
    for (const { bytes } of this.pendingCommits) {
      batchBytes += bytes
      if (count > 0 && batchBytes > maxBatchBytes) break
      count += 1
    }
    return this.pendingCommits.splice(0, count)
  }

  /** Repeats the same append until the store answers it; the sequence number prevents it from being stored twice. */
  private async appendBatch (batch: readonly PendingCommit[]): Promise<CommitOutcome> {
    const request: shardLog.FencedAppend = {
      partition: this.partition,
      epoch: this.epoch,
      sequence: this.sequence,
      records: batch.flatMap(({ records }) => records)
    }
    for (let attempt = 0; !this.isClosed; attempt += 1) {
      const outcome = await this.ports.log.append(request)
      switch (outcome.type) {
        case 'appended':
          // An empty append only confirms the epoch and does not use up a sequence number.
          if (request.records.length > 0) this.sequence += 1
          return { type: 'committed' }
        case 'fenced': return this.closeAsLost('fenced by a newer owner')
        case 'outOfSequence': return this.closeAsLost(`the store expected another sequence number: ${outcome.detail}`)
        case 'refused':
        case 'noAnswer':
          this.ports.decisions.record({ event: 'appendUnanswered', partition: this.partition, epoch: this.epoch, attempt, failure: outcome })
          await timerService.sleep(this.ports.timers, getRetryDelayMs(attempt))
      }
    }
    return { type: 'lost' }
  }

  private closeAsLost (reason: string): CommitOutcome {
    this.close()
    this.ports.onLost(reason)
    return { type: 'lost' }
  }

  private resolveCommits (batch: readonly PendingCommit[], outcome: CommitOutcome): void {
    for (const { bytes, resolve } of batch) {
      this.pendingBytes -= bytes + commitOverheadBytes
      resolve(outcome)
    }
  }
}

function countBytes (records: readonly shardLog.KeyedRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
}

function getRetryDelayMs (attempt: number): number {
  return Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** attempt)
}
