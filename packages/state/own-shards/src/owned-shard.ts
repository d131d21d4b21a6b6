/** One shard that this process owns: fences the former owner, loads the ledger from the store, then serves. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as types from '@eelgrasswind/types'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import * as turnLedger from '@eelgrasswind/turn-ledger'
import * as newestRecords from './newest-records.js'
import * as shardWriter from './shard-writer.js'

/** Lifecycle state of a shard in this process. */
export type ShardState =
  /** The former owner is being fenced or the records are being loaded. */
  | 'opening'
  /** Accepts new turns. */
  | 'serving'
  /** Accepts no new turns; turns in flight may still end, and pending appends may still complete. */
  | 'closing'
  /** Not owned any more: fenced, handed over or closed. */
  | 'lost'

/** Dependencies of a shard. */
export interface OwnedShardPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly onLost: (shard: OwnedShard, reason: string) => void
  /** Called when the shard is handed over; it is released once this resolves. */
  readonly onHandOver?: () => Promise<void>
}

/** A shard from its assignment to this process until it is lost or handed over. */
export class OwnedShard {
  readonly ledger = new turnLedger.TurnLedger()
  private readonly writer: shardWriter.ShardWriter
  private currentState: ShardState = 'opening'
  private settleOpening = (): void => {}
  /** Resolves when the shard is no longer being opened: it serves, or it never will. */
  readonly opened = new Promise<void>((resolve) => { this.settleOpening = resolve })
  /** The write that activates the allowance of programs without a record was sent and may be stored. */
  private hasSentAllowance = false

  constructor (readonly partition: shardLog.Partition, readonly epoch: number, private readonly ports: OwnedShardPorts) {
    this.writer = new shardWriter.ShardWriter(partition, epoch, {
      log: ports.log,
      timers: ports.timers,
      decisions: ports.decisions,
      onLost: (reason) => { this.handleLost(reason) }
    })
  }

  get state (): ShardState {
    return this.currentState
  }

  /** Resolves when the shard serves, is lost or turns out to be unreadable. */
  async open (): Promise<void> {
    const startedAtMs = this.ports.timers.monotonic()
    const fencing = await this.writer.open()
    if (fencing.type === 'lost') return
    const recordCount = await this.loadLedger()
    if (this.currentState !== 'opening' || recordCount === undefined) return
    this.hasSentAllowance = true
    const activation = await this.commit(this.ledger.activateAllowance(this.ports.timers.now() as types.EpochMs))
    if (this.currentState !== 'opening' || activation.type === 'lost') return
    this.setState('serving')
    const tookMs = Math.round(this.ports.timers.monotonic() - startedAtMs)
    this.ports.decisions.record({ event: 'shardOpened', partition: this.partition, epoch: this.epoch, records: recordCount, tookMs })
  }

  /** Resolves when the writes are stored or the shard is lost. */
  async commit (writes: readonly turnLedger.LedgerWrite[]): Promise<shardWriter.CommitOutcome> {
    const outcome = await this.writer.commit(writes)
    if (outcome.type === 'committed') this.ledger.acknowledgeWrites(writes)
    return outcome
  }

  /**
   * Confirms with the store that this process still owns the shard: if it does, a turn missing from the ledger doesn't
   * exist.
   */
  confirmOwnership (): Promise<shardWriter.CommitOutcome> {
    return this.writer.commit([])
  }

  /** How long the append in flight of this shard has been unanswered, in ms; 0 if none is in flight. */
  get unansweredMs (): number {
    return this.writer.unansweredMs
  }

  refuseNewTurns (): void {
    if (this.currentState !== 'lost') this.setState('closing')
  }

  /**
   * Refuses new turns and releases the shard once the pending appends are answered, or after the timeout in ms. Turns
   * that are still running are settled with the next owner.
   */
  async handOver (timeoutMs: number): Promise<void> {
    this.refuseNewTurns()
    const writes = this.hasSentAllowance && this.currentState !== 'lost' ? this.ledger.prepareHandover() : []
    await timerService.withTimeout(this.ports.timers, Promise.all([this.commit(writes), this.ports.onHandOver?.()]), timeoutMs)
    this.close()
  }

  /** Stops owning the shard at once, without a handover. */
  close (): void {
    this.setState('lost')
    this.writer.close()
  }

  /** Removes records past their retention. Doesn't wait for the store: the next owner removes whatever is not removed now. */
  removeExpired (now: types.EpochMs): void {
    if (this.currentState !== 'serving') return
    const writes = this.ledger.removeExpired(now)
    if (writes.length > 0) void this.commit(writes)
  }

  private setState (state: Exclude<ShardState, 'opening'>): void {
    this.currentState = state
    this.settleOpening()
  }

  private handleLost (reason: string): void {
    if (this.currentState === 'lost') return
    this.setState('lost')
    this.ports.onLost(this, reason)
  }

  /**
   * Loads all records and returns their number. Returns `undefined` if the shard is not wanted any more, or if one can't be
   * decoded: serving without it could deny an acknowledged turn.
   */
  private async loadLedger (): Promise<number | undefined> {
    try {
      let recordCount = 0
      const isWhole = await newestRecords.readNewestRecords(this.partition, { ...this.ports, isWanted: () => this.currentState === 'opening' }, ({ key, value }) => {
        this.ledger.loadRecord(key, value)
        recordCount += 1
      })
      if (!isWhole) return undefined
      const incomplete = this.ledger.extendLoadedChains()
      if (incomplete.length > 0) this.ports.decisions.record({ event: 'chainsIncomplete', partition: this.partition, epoch: this.epoch, turns: incomplete.length, first: incomplete[0]! })
      return recordCount
    } catch (err) {
      this.ports.decisions.record({ event: 'shardUnreadable', partition: this.partition, epoch: this.epoch, err })
      return undefined
    }
  }
}
