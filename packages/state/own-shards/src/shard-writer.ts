/** Appends the records of one shard: one append under way at a time, the next one collects meanwhile. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** Whether records are durable. */
export type CommitOutcome =
  | { readonly type: 'committed' }
  /** Another owner has taken the shard, or this one gave it up: the records are not stored. */
  | { readonly type: 'lost' }

/** What a writer needs from its shard. */
export interface ShardWriterPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Called once when the store says that the shard has a newer owner. */
  readonly onLost: (reason: string) => void
}

interface Waiting {
  readonly records: readonly shardLog.KeyedRecord[]
  readonly resolve: (commit: CommitOutcome) => void
}

/** Pause before a refused or unanswered append is repeated, in ms: a few store answers long, so that an outage costs few calls. */
const firstRetryMs = 20
const maxRetryMs = 300
/** Bytes of records in one append, below the smallest limit that a store is known to have. */
const maxBatchBytes = 1_000_000

/** The only way in which records of a shard are written. */
export class ShardWriter {
  private sequence = 0
  private waiting: Waiting[] = []
  private busy = false
  private closed = false
  /** When the append under way was first sent, monotonic ms. */
  private sentAt: number | undefined

  constructor (
    private readonly partition: shardLog.Partition,
    readonly epoch: number,
    private readonly ports: ShardWriterPorts
  ) {}

  /** Fences every former writer; nothing may be read or written before it is done. */
  async open (): Promise<CommitOutcome> {
    return this.commit([])
  }

  /** Resolves when the records are durable. No records: resolves when the store has confirmed this writer. */
  commit (records: readonly shardLog.KeyedRecord[]): Promise<CommitOutcome> {
    if (this.closed) return Promise.resolve({ type: 'lost' })
    return new Promise((resolve) => {
      this.waiting.push({ records, resolve })
      if (!this.busy) void this.run()
    })
  }

  /** How long the append under way has been without an answer, in ms; 0 where there is none. */
  get unansweredMs (): number {
    return this.sentAt === undefined ? 0 : this.ports.timers.monotonic() - this.sentAt
  }

  /** Gives the shard up; what waits is told that it is lost. */
  close (): void {
    this.closed = true
    this.settle(this.waiting.splice(0), { type: 'lost' })
  }

  private async run (): Promise<void> {
    this.busy = true
    while (this.waiting.length > 0 && !this.closed) {
      const batch = this.takeBatch()
      this.sentAt = this.ports.timers.monotonic()
      const commit = await this.appendBatch(batch)
      this.sentAt = undefined
      this.settle(batch, commit)
    }
    this.busy = false
  }

  private takeBatch (): Waiting[] {
    let bytes = 0
    let count = 0
    for (const { records } of this.waiting) {
      bytes += records.reduce((sum, record) => sum + record.key.length + (record.value?.length ?? 0), 0)
      if (count > 0 && bytes > maxBatchBytes) break
      count += 1
    }
    return this.waiting.splice(0, count)
  }

  /** Repeats the same append until the store has answered it: its sequence number keeps it from being stored twice. */
  private async appendBatch (batch: readonly Waiting[]): Promise<CommitOutcome> {
    const request: shardLog.FencedAppend = {
      partition: this.partition,
      epoch: this.epoch,
      sequence: this.sequence,
      records: batch.flatMap(({ records }) => records)
    }
    for (let attempt = 0; !this.closed; attempt += 1) {
      const outcome = await this.ports.log.append(request)
      switch (outcome.type) {
        case 'appended':
          // An empty append only confirms the epoch: the store does not count it.
          if (request.records.length > 0) this.sequence += 1
          return { type: 'committed' }
        case 'fenced': return this.lose('a newer owner has fenced this one')
        case 'outOfSequence': return this.lose(`the store holds another sequence: ${outcome.detail}`)
        case 'refused':
        case 'noAnswer':
          this.ports.decisions.note({ event: 'appendUnanswered', partition: this.partition, epoch: this.epoch, attempt, failure: outcome })
          await timerService.sleep(this.ports.timers, retryMs(attempt))
      }
    }
    return { type: 'lost' }
  }

  private lose (reason: string): CommitOutcome {
    this.close()
    this.ports.onLost(reason)
    return { type: 'lost' }
  }

  private settle (batch: readonly Waiting[], commit: CommitOutcome): void {
    for (const { resolve } of batch) resolve(commit)
  }
}

function retryMs (attempt: number): number {
  return Math.min(maxRetryMs, firstRetryMs * 2 ** attempt)
}
