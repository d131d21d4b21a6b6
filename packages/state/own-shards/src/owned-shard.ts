/** One shard that this process owns: fences the former owner, loads the ledger, then serves. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as types from '@eelgrasswind/types'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import * as turnLedger from '@eelgrasswind/turn-ledger'
import * as shardWriter from './shard-writer.js'

/** Where a shard is on its way through this process. */
export type ShardState =
  /** The former owner is being fenced, or the records are being read. */
  | 'opening'
  | 'serving'
  /** Takes no new turns; waits for the store's last answers. */
  | 'closing'
  | 'lost'

/** What a shard needs from its owner. */
export interface OwnedShardPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly onLost: (shard: OwnedShard, reason: string) => void
}

/** Pause before a page that could not be read is asked for again, in ms. */
const readRetryMs = 60

/** A shard from the moment that the group gives it to this process until it is lost or handed over. */
export class OwnedShard {
  readonly ledger = new turnLedger.TurnLedger()
  private readonly writer: shardWriter.ShardWriter
  private current: ShardState = 'opening'
  /** The allowance of programs without a record may be in force in the store. */
  private begun = false

  constructor (readonly partition: shardLog.Partition, readonly epoch: number, private readonly ports: OwnedShardPorts) {
    this.writer = new shardWriter.ShardWriter(partition, epoch, {
      log: ports.log,
      timers: ports.timers,
      decisions: ports.decisions,
      onLost: (reason) => { this.lose(reason) }
    })
  }

  get state (): ShardState {
    return this.current
  }

  /** Resolves when the shard serves, or is lost. */
  async open (): Promise<void> {
    const startedAt = this.ports.timers.monotonic()
    const fenced = await this.writer.open()
    if (fenced.type === 'lost') return
    const count = await this.loadAll()
    if (this.current !== 'opening' || count === undefined) return
    this.begun = true
    const begun = await this.commit(this.ledger.activateAllowance(this.ports.timers.now() as types.EpochMs))
    if (this.current !== 'opening' || begun.type === 'lost') return
    this.current = 'serving'
    const tookMs = Math.round(this.ports.timers.monotonic() - startedAt)
    this.ports.decisions.note({ event: 'shardOpened', partition: this.partition, epoch: this.epoch, records: count, tookMs })
  }

  /** Resolves when the writes are stored, or the shard is lost. */
  async commit (writes: readonly turnLedger.LedgerWrite[]): Promise<shardWriter.CommitOutcome> {
    const commit = await this.writer.commit(writes)
    if (commit.type === 'committed') this.ledger.noteStored(writes)
    return commit
  }

  /** Asks the store whether this process still owns the shard; what the ledger doesn't hold then doesn't exist. */
  confirmOwnership (): Promise<shardWriter.CommitOutcome> {
    return this.writer.commit([])
  }

  /** How long the store has left an append of this shard unanswered, in ms. */
  get unansweredMs (): number {
    return this.writer.unansweredMs
  }

  refuseNew (): void {
    if (this.current !== 'lost') this.current = 'closing'
  }

  /**
   * Takes no new turns and gives the shard up once the store has answered what is under way, or after the time given.
   * Turns that still run are settled with the next owner.
   */
  async handOver (limitMs: number): Promise<void> {
    this.refuseNew()
    const writes = this.begun && this.current !== 'lost' ? this.ledger.finish() : []
    await timerService.within(this.ports.timers, this.commit(writes), limitMs)
    this.close()
  }

  /** Gives the shard up at once. */
  close (): void {
    this.current = 'lost'
    this.writer.close()
  }

  /** Removes what is past its retention. Not awaited: what is not removed now is removed by the next owner. */
  expire (now: types.EpochMs): void {
    if (this.current !== 'serving') return
    const writes = this.ledger.expire(now)
    if (writes.length > 0) void this.commit(writes)
  }

  private lose (reason: string): void {
    if (this.current === 'lost') return
    this.current = 'lost'
    this.ports.onLost(this, reason)
  }

  /** The number of records; `undefined` where one can't be read: to serve without it could deny what was promised. */
  private async loadAll (): Promise<number | undefined> {
    try {
      const count = await this.load()
      this.ledger.extendLoadedChains()
      return count
    } catch (err) {
      this.ports.decisions.note({ event: 'shardUnreadable', partition: this.partition, epoch: this.epoch, err })
      return undefined
    }
  }

  private async load (): Promise<number> {
    let after: string | undefined
    let count = 0
    while (this.current === 'opening') {
      const page = await this.ports.log.newest(this.partition, after)
      if (page.type !== 'page') {
        this.ports.decisions.note({ event: 'shardNotRead', partition: this.partition, failure: page })
        await timerService.sleep(this.ports.timers, readRetryMs)
        continue
      }
      for (const record of page.records) this.ledger.loadRecord(record.key, record.value)
      count += page.records.length
      if (page.after === undefined) return count
      after = page.after
    }
    return count
  }
}
