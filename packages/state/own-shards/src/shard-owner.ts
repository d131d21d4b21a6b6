/**
 * Membership of this process in the group that shares the shards: its lease, its own shards, and the owners of the
 * others.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as types from '@eelgrasswind/types'
import * as shardLog from '@eelgrasswind/shard-log'
import * as hashText from '@eelgrasswind/hash-text'
import * as timerService from '@eelgrasswind/timer-service'
import * as ownedShard from './owned-shard.js'

/** The group, this process's name in it, and its timing. */
export interface ShardOwnerSettings {
  readonly group: string
  /**
   * Name of this process in the group; stable over restarts, so that a process that restarts within its lease keeps its
   * shards.
   */
  readonly member: string
  readonly topics: readonly string[]
  /** Number of partitions of each topic. */
  readonly partitionsPerTopic: number
  /** Time after its last heartbeat at which a member's lease expires, in ms. */
  readonly leaseMs: number
  /** Interval between two lease renewals, in ms. */
  readonly heartbeatMs: number
  /** Poll interval for the owners of all shards, in ms. */
  readonly ownersPollMs: number
  /** Longest time that a handover waits for pending appends, in ms. */
  readonly handoverTimeoutMs: number
}

/** Dependencies of a shard owner. */
export interface ShardOwnerPorts {
  /**
   * Called when shards have become free; the other members should be notified, so that they don't wait for their next
   * heartbeat.
   */
  readonly onShardsReleased: () => void
  /** Called when a shard is handed over; the shard is released once it resolves. */
  readonly onHandOver?: (partition: shardLog.Partition) => Promise<void>
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Where a shard is served. */
export type ShardLocation =
  /** By this process. */
  | { readonly type: 'here', readonly shard: ownedShard.OwnedShard }
  | { readonly type: 'member', readonly member: string }
  /** No current owner is known. */
  | { readonly type: 'unknown' }

/** Minimum interval between two reads of the owners, in ms: a burst of failures causes one call. */
const minOwnersRefreshMs = 120
/** Interval between two removals of expired records, in ms. */
const expireIntervalMs = 5_000
/** Number of epochs reserved for each generation of the group. */
const epochsPerGeneration = 1e9
/** Time step of the epochs within a generation, in ms. */
const epochStepMs = 100
/** Steps by which later epochs are raised after a shard was lost: together longer than the clocks of two hosts differ. */
const epochBumpSteps = 600

/** Renews the lease, opens and hands over shards as the group assigns them, and tracks the owners of the others. */
export class ShardOwner {
  private readonly ownedShards = new Map<shardLog.PartitionName, ownedShard.OwnedShard>()
  private ownersByPartition = new Map<shardLog.PartitionName, string>()
  /** Time of the last eviction of each member, in ms of the monotonic clock. */
  private readonly evictedAtMs = new Map<string, number>()
  private generation = 0
  /** Steps added to every new epoch; raised whenever a shard is lost. */
  private epochOffset = 0
  /** The generation in which each shard was last lost. */
  private readonly lostInGeneration = new Map<shardLog.PartitionName, number>()
  /** When the owners were last requested and last received, in ms of the monotonic clock. */
  private ownersRequestedAtMs = -Infinity
  private ownersReadAtMs = -Infinity
  private pendingRefresh: Promise<void> | undefined
  private isStarted = false
  private isStopped = false
  private isSuspended = false
  private subscriptions: readonly timerService.Subscription[] = []
  /** A join or a handover is in progress; no further join is sent meanwhile. */
  private isJoining = false
  /** When the last answered join was sent, by the monotonic clock and by the time of day: the lease, unless it is released by an eviction, lasts from then on. */
  private leaseRenewedAt = { monotonicMs: -Infinity, nowMs: -Infinity }
  /** Shards were handed over; the next successful join releases them to the group, and `onShardsReleased` is called then. */
  private hasUnannouncedRelease = false

  constructor (private readonly settings: ShardOwnerSettings, private readonly ports: ShardOwnerPorts) {}

  /** Joins the group and renews the lease until `leave` or `close`. */
  start (): void {
    const { timers } = this.ports
    this.isStarted = true
    void this.join()
    this.subscriptions = [
      timers.every(this.settings.heartbeatMs, () => { void this.join() }),
      timers.every(this.settings.ownersPollMs, () => { void this.refreshOwners() }),
      timers.every(expireIntervalMs, () => { this.removeExpiredRecords() })
    ]
    void this.refreshOwners()
  }

  /** Stops at once without a handover; the lease expires by itself. */
  close (): void {
    this.isStopped = true
    for (const subscription of this.subscriptions) subscription.cancel()
    for (const shard of this.ownedShards.values()) shard.close()
  }

  /** Stops owning all shards at once, without further records; `leave` then releases them for their next owners. */
  abandon (): void {
    this.isStopped = true
    for (const shard of this.ownedShards.values()) shard.close()
  }

  /** The shard that a program belongs to, by the hash of its id. */
  getPartition (program: types.ProgramId): shardLog.Partition {
    const { topics, partitionsPerTopic } = this.settings
    const index = hashText.hashText(program) % (topics.length * partitionsPerTopic)
    return { topic: topics[Math.floor(index / partitionsPerTopic)]!, part: index % partitionsPerTopic }
  }

  /** Where a shard is served, as far as this process knows. */
  locate (partition: shardLog.Partition): ShardLocation {
    const name = shardLog.formatPartitionName(partition)
    const shard = this.ownedShards.get(name)
    if (shard !== undefined && shard.state !== 'lost') return { type: 'here', shard }
    const member = this.ownersByPartition.get(name)
    if (member === undefined || member === this.settings.member) return { type: 'unknown' }
    return { type: 'member', member }
  }

  /** The shards that this process serves at present. */
  listServingShards (): ownedShard.OwnedShard[] {
    return [...this.ownedShards.values()].filter((shard) => shard.state === 'serving')
  }

  /** The shards that are assigned to this process and being loaded. */
  listOpeningShards (): ownedShard.OwnedShard[] {
    return [...this.ownedShards.values()].filter((shard) => shard.state === 'opening' && !shard.isUnreadable)
  }

  /** The shards that are assigned to this process, but not served, as a stored record can't be decoded. */
  listUnreadableShards (): ownedShard.OwnedShard[] {
    return [...this.ownedShards.values()].filter((shard) => shard.isUnreadable)
  }

  /** Memory of the writes of all shards that the store has not answered, in bytes. */
  get unstoredBytes (): number {
    let bytes = 0
    for (const shard of this.ownedShards.values()) bytes += shard.unstoredBytes
    return bytes
  }

  /** Memory of the turns that all shards keep, in bytes. */
  get keptBytes (): number {
    let bytes = 0
    for (const shard of this.ownedShards.values()) bytes += shard.ledger.keptBytes
    return bytes
  }

  isSelf (member: string): boolean {
    return member === this.settings.member
  }

  get leaseMs (): number {
    return this.settings.leaseMs
  }

  /**
   * Time since the lease was last renewed, in ms; from `leaseMs` on it has expired, and after an eviction earlier. Infinite
   * before the first renewal. The monotonic clock stands still while a host is suspended, so the time of day counts as well.
   */
  get leaseAgeMs (): number {
    const { timers } = this.ports
    return Math.max(timers.monotonic() - this.leaseRenewedAt.monotonicMs, timers.now() - this.leaseRenewedAt.nowMs)
  }

  get shardCount (): number {
    return this.settings.topics.length * this.settings.partitionsPerTopic
  }

  /** Every shard of the group. */
  listPartitions (): shardLog.Partition[] {
    const { topics, partitionsPerTopic } = this.settings
    return topics.flatMap((topic) => Array.from({ length: partitionsPerTopic }, (_, part) => ({ topic, part })))
  }

  /** Every member known to own a shard. */
  listMembers (): string[] {
    return [...new Set(this.ownersByPartition.values())]
  }

  /** Staleness of the known owners, in ms; infinite before the first answer. */
  get ownersAgeMs (): number {
    return this.ports.timers.monotonic() - this.ownersReadAtMs
  }

  /** Reads the owners again, unless a read is in flight or was made very recently. */
  async refreshOwners (): Promise<void> {
    const { timers, log, decisions } = this.ports
    if (this.pendingRefresh !== undefined) return this.pendingRefresh
    if (timers.monotonic() - this.ownersRequestedAtMs < minOwnersRefreshMs) return
    this.ownersRequestedAtMs = timers.monotonic()
    this.pendingRefresh = log.listOwners(this.settings.group).then((answer) => {
      this.pendingRefresh = undefined
      if (answer.type === 'owners') this.setOwners(answer.owners)
      else decisions.record({ event: 'ownersNotRead', failure: answer })
    })
    return this.pendingRefresh
  }

  /** Joins at once because shards have become free, without waiting for the next heartbeat. */
  joinNow (): void {
    void this.join()
    this.ownersRequestedAtMs = -Infinity
    void this.refreshOwners()
  }

  /**
   * Releases the lease of a member that is suspected to have failed: its process has ended, as its host showed by
   * refusing a connection, or it is silent. Its shards move at once instead of when the lease expires. Fencing keeps
   * this safe if the suspicion is wrong.
   */
  async evict (member: string, cause: 'ended' | 'silent'): Promise<void> {
    const { timers, log, decisions, onShardsReleased } = this.ports
    if (this.hasRecentlyEvicted(member)) return
    this.evictedAtMs.set(member, timers.monotonic())
    const leaveOutcome = await log.leave(this.settings.group, member)
    decisions.record({ event: 'memberEvicted', member, why: cause, outcome: leaveOutcome.type })
    onShardsReleased()
    this.joinNow()
  }

  /** Whether this process evicted a member within the last lease time, so that its shards are about to move. */
  hasRecentlyEvicted (member: string): boolean {
    return this.ports.timers.monotonic() < (this.evictedAtMs.get(member) ?? -Infinity) + this.settings.leaseMs
  }

  private setOwners (owners: readonly shardLog.Owner[]): void {
    this.ownersReadAtMs = this.ports.timers.monotonic()
    this.ownersByPartition = new Map(owners.map(({ partition, member }) => [shardLog.formatPartitionName(partition), member]))
  }

  /** Hands over every shard and leaves the group for good. */
  async leave (): Promise<void> {
    this.isStopped = true
    await this.handOverAll()
  }

  /**
   * Hands over every shard and stays out of the group until `resume`: used while the others can't reach this process.
   * Turns in flight get the grace period, in ms.
   */
  async suspend (graceMs: number): Promise<void> {
    this.isSuspended = true
    for (const shard of this.ownedShards.values()) shard.refuseNewTurns()
    await timerService.sleep(this.ports.timers, graceMs)
    // Also after `resume` was called meanwhile: the closing shards accept no turns until they are reopened.
    if (!this.isStopped) await this.handOverAll()
  }

  /** Joins the group again after `suspend`. */
  resume (): void {
    this.isSuspended = false
    void this.join()
  }

  /**
   * Refuses new turns, hands every shard over and leaves the group. Turns still in flight end here and are settled with
   * the next owners.
   */
  private async handOverAll (): Promise<void> {
    await Promise.all([...this.ownedShards.values()].map((shard) => shard.handOver(this.settings.handoverTimeoutMs)))
    this.ownedShards.clear()
    const leaveOutcome = await this.ports.log.leave(this.settings.group, this.settings.member)
    this.ports.decisions.record({ event: 'groupLeft', outcome: leaveOutcome.type })
    this.ports.onShardsReleased()
    this.ownersRequestedAtMs = -Infinity
    await this.refreshOwners()
  }

  private async join (): Promise<void> {
    if (!this.isStarted || this.isStopped || this.isSuspended || this.isJoining) return
    this.isJoining = true
    const { group, member, topics, leaseMs } = this.settings
    const sentAt = { monotonicMs: this.ports.timers.monotonic(), nowMs: this.ports.timers.now() }
    const answer = await this.ports.log.join({ group, member, topics, ttlMs: leaseMs, generation: this.generation })
    this.isJoining = false
    if (this.isStopped || this.isSuspended) return
    if (answer.type === 'assigned' && this.hasUnannouncedRelease) {
      this.hasUnannouncedRelease = false
      this.ports.onShardsReleased()
    }
    if (answer.type !== 'assigned') {
      this.ports.decisions.record({ event: 'leaseNotRenewed', failure: answer })
      return
    }
    this.leaseRenewedAt = sentAt
    await this.applyAssignment(answer)
  }

  /**
   * Opens newly assigned shards and hands over revoked ones; the next join reports this generation to the group as
   * applied.
   */
  private async applyAssignment (assignment: shardLog.Assignment): Promise<void> {
    const assigned = new Map(assignment.partitions.map((partition) => [shardLog.formatPartitionName(partition), partition]))
    const revoked = [...this.ownedShards].filter(([name]) => !assigned.has(name))
    for (const [name, partition] of assigned) {
      if (!this.ownedShards.has(name)) this.openShard(partition, assignment.generation)
    }
    const isNewGeneration = assignment.generation !== this.generation
    if (revoked.length > 0) await this.handOverShards(revoked)
    this.generation = assignment.generation
    if (!isNewGeneration) return
    if (revoked.length > 0) this.hasUnannouncedRelease = true
    this.ports.decisions.record({ event: 'assignment', generation: assignment.generation, owned: assigned.size, handedOver: revoked.length })
    void this.refreshOwners()
    void this.join()
  }

  private async handOverShards (shards: readonly (readonly [shardLog.PartitionName, ownedShard.OwnedShard])[]): Promise<void> {
    this.isJoining = true
    await Promise.all(shards.map(async ([name, shard]) => {
      await shard.handOver(this.settings.handoverTimeoutMs)
      if (this.ownedShards.get(name) === shard) this.ownedShards.delete(name)
    }))
    this.isJoining = false
  }

  private openShard (partition: shardLog.Partition, generation: number): void {
    const shard = new ownedShard.OwnedShard(partition, this.computeEpoch(generation), {
      ...this.ports,
      onHandOver: () => this.ports.onHandOver?.(partition) ?? Promise.resolve(),
      onLost: (lostShard, reason) => { this.handleLostShard(lostShard, reason) }
    })
    this.ownedShards.set(shardLog.formatPartitionName(partition), shard)
    void shard.open()
  }

  /**
   * Epochs increase with the generation and, within one, with time, so that a restarted process fences its own former
   * instance.
   */
  private computeEpoch (generation: number): number {
    const step = Math.floor(this.ports.timers.now() / epochStepMs) + this.epochOffset
    return generation * epochsPerGeneration + step % epochsPerGeneration
  }

  private handleLostShard (shard: ownedShard.OwnedShard, reason: string): void {
    const name = shardLog.formatPartitionName(shard.partition)
    this.ports.decisions.record({ event: 'shardLost', partition: shard.partition, epoch: shard.epoch, reason })
    if (this.ownedShards.get(name) === shard) this.ownedShards.delete(name)
    this.epochOffset += epochBumpSteps
    const isLostAgain = this.lostInGeneration.get(name) === this.generation
    this.lostInGeneration.set(name, this.generation)
    void this.refreshOwners()
    if (isLostAgain) void this.startGeneration()
    else void this.join()
  }

  /** Leaves the group and joins again: epochs of the new generation are higher, whatever the clock or the wrap of their time part. */
  private async startGeneration (): Promise<void> {
    if (this.isStopped || this.isSuspended) return
    this.lostInGeneration.clear()
    const leaveOutcome = await this.ports.log.leave(this.settings.group, this.settings.member)
    this.ports.decisions.record({ event: 'groupLeft', outcome: leaveOutcome.type })
    await this.join()
  }

  private removeExpiredRecords (): void {
    const now = this.ports.timers.now() as types.EpochMs
    for (const shard of this.ownedShards.values()) shard.removeExpired(now)
  }
}
