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

/** Delay before a shard with a record that can't be decoded is read again, in ms: each read costs the store as much as an opening. */
const reloadDelayMs = 5_000

/** A shard from its assignment to this process until it is lost or handed over. */
export class OwnedShard {
  /** Empty until the shard serves. */
  private currentLedger = new turnLedger.TurnLedger()
  private hasUnreadableRecords = false
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

  get ledger (): turnLedger.TurnLedger {
    return this.currentLedger
  }

  get state (): ShardState {
    return this.currentState
  }

  /** Whether the shard is not served because a stored record can't be decoded. */
  get isUnreadable (): boolean {
    return this.currentState === 'opening' && this.hasUnreadableRecords
  }

  /** Resolves when the shard serves or is lost; while a record can't be decoded, the shard is read again. */
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

  /** Memory of the writes that the store has not answered, in bytes. */
  get unstoredBytes (): number {
    return this.writer.unstoredBytes
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
   * Loads all records and returns their number; `undefined` if the shard is not wanted any more. Reads again while one
   * can't be decoded: serving without it could deny an acknowledged turn, or hand out tokens that are spent.
   */
  private async loadLedger (): Promise<number | undefined> {
    while (this.currentState === 'opening') {
      const load = await this.tryLoadLedger()
      this.hasUnreadableRecords = load.type === 'unreadable'
      switch (load.type) {
        case 'whole': return load.recordCount
        case 'abandoned': return undefined
        case 'unreadable':
          this.ports.decisions.record({ event: 'shardUnreadable', partition: this.partition, epoch: this.epoch, key: load.key, unreadable: load.count, err: load.err })
          await timerService.sleep(this.ports.timers, reloadDelayMs)
      }
    }
    return undefined
  }

  private async tryLoadLedger (): Promise<LedgerLoad> {
    const ledger = new turnLedger.TurnLedger()
    let recordCount = 0
    const unreadable: { readonly key: string, readonly err: unknown }[] = []
    try {
      const isWhole = await newestRecords.readNewestRecords(this.partition, { ...this.ports, isWanted: () => this.currentState === 'opening' }, ({ key, value }) => {
        try {
          ledger.loadRecord(key, value)
          recordCount += 1
        } catch (err) {
          unreadable.push({ key, err })
        }
      })
      if (!isWhole) return { type: 'abandoned' }
      if (unreadable.length > 0) return { type: 'unreadable', ...unreadable[0]!, count: unreadable.length }
      const incomplete = ledger.extendLoadedChains()
      if (incomplete.length > 0) this.ports.decisions.record({ event: 'chainsIncomplete', partition: this.partition, epoch: this.epoch, turns: incomplete.length, first: incomplete[0]! })
    } catch (err) {
      return { type: 'unreadable', key: undefined, err, count: 0 }
    }
    this.currentLedger = ledger
    return { type: 'whole', recordCount }
  }
}

/** Outcome of one read of a shard. */
type LedgerLoad =
  | { readonly type: 'whole', readonly recordCount: number }
  /** The shard is not wanted any more. */
  | { readonly type: 'abandoned' }
  /** `key`: of the first record that can't be decoded, `count`: number of such records; `undefined` and 0 if the read itself failed. */
  | { readonly type: 'unreadable', readonly key: string | undefined, readonly err: unknown, readonly count: number }
