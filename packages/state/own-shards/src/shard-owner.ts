/** This process's part in the group that shares the shards: its lease, what it owns, and who owns the rest. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as types from '@eelgrasswind/types'
import * as shardLog from '@eelgrasswind/shard-log'
import * as hashText from '@eelgrasswind/hash-text'
import * as timerService from '@eelgrasswind/timer-service'
import * as ownedShard from './owned-shard.js'

/** The group, this process in it, and its times. */
export interface ShardOwnerSettings {
  readonly group: string
  /** Name in the group: stable over restarts, so that a process that comes back soon keeps its shards. */
  readonly member: string
  readonly topics: readonly string[]
  /** Partitions of each topic. */
  readonly partitionsPerTopic: number
  /** Lease of a member that falls silent, in ms. */
  readonly leaseMs: number
  /** Time between two renewals of the lease, in ms. */
  readonly heartbeatMs: number
  /** Time between two looks at who owns what, in ms. */
  readonly ownersPollMs: number
  /** The longest that a handover waits for the store's last answers, in ms. */
  readonly handoverTimeoutMs: number
}

/** What the owner needs from its process. */
export interface ShardOwnerPorts {
  /** Tells the other members that shards have become free, so that they need not wait for their next heartbeat. */
  readonly onShardsReleased: () => void
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Where the programs of a shard are served. */
export type ShardLocation =
  | { readonly type: 'here', readonly shard: ownedShard.OwnedShard }
  | { readonly type: 'member', readonly member: string }
  /** Nobody is known to own it now. */
  | { readonly type: 'unknown' }

/** Two looks on demand are at least this far apart, in ms: a burst of failures costs one call. */
const ownersOnDemandMs = 120
/** Time between two removals of records past their retention, in ms. */
const expireMs = 5_000
/** Room below each generation for epochs that are taken within it. */
const epochsPerGeneration = 1e9
/** Resolution of the epochs within a generation, in ms. */
const epochStepMs = 100
/** How far an epoch goes ahead after it was fenced at once: more than clocks differ. */
const fencedEpochSteps = 600

/** Keeps the lease, opens and hands over shards as the group says, and knows who owns the others. */
export class ShardOwner {
  private readonly owned = new Map<shardLog.PartitionName, ownedShard.OwnedShard>()
  private owners = new Map<shardLog.PartitionName, string>()
  private readonly evictedAt = new Map<string, number>()
  private generation = 0
  private epochBump = 0
  private ownersAt = -Infinity
  private ownersReadAt = -Infinity
  private askingOwners: Promise<void> | undefined
  private stopped = false
  private away = false
  private subscriptions: readonly timerService.Subscription[] = []
  private joining = false
  /** The next join gives shards up for others. */
  private announceAfterJoin = false

  constructor (private readonly settings: ShardOwnerSettings, private readonly ports: ShardOwnerPorts) {}

  /** Joins the group and keeps the lease until `leave`. */
  start (): void {
    const { timers } = this.ports
    void this.join()
    this.subscriptions = [
      timers.every(this.settings.heartbeatMs, () => { void this.join() }),
      timers.every(this.settings.ownersPollMs, () => { void this.refreshOwners() }),
      timers.every(expireMs, () => { this.expire() })
    ]
    void this.refreshOwners()
  }

  /** Stops at once and hands nothing over: the lease lapses. */
  close (): void {
    this.stopped = true
    for (const subscription of this.subscriptions) subscription.cancel()
    for (const shard of this.owned.values()) shard.close()
  }

  /** The shard that a program belongs to. */
  getPartition (program: types.ProgramId): shardLog.Partition {
    const { topics, partitionsPerTopic: parts } = this.settings
    const index = hashText.hashText(program) % (topics.length * parts)
    return { topic: topics[Math.floor(index / parts)]!, part: index % parts }
  }

  locate (partition: shardLog.Partition): ShardLocation {
    const name = shardLog.partitionName(partition)
    const shard = this.owned.get(name)
    if (shard !== undefined && shard.state !== 'lost') return { type: 'here', shard }
    const member = this.owners.get(name)
    if (member === undefined || member === this.settings.member) return { type: 'unknown' }
    return { type: 'member', member }
  }

  /** The shards that this process serves now. */
  listServingShards (): ownedShard.OwnedShard[] {
    return [...this.owned.values()].filter((shard) => shard.state === 'serving')
  }

  isSelf (member: string): boolean {
    return member === this.settings.member
  }

  get leaseMs (): number {
    return this.settings.leaseMs
  }

  get shardCount (): number {
    return this.settings.topics.length * this.settings.partitionsPerTopic
  }

  /** Every member that is known to own a shard. */
  listMembers (): string[] {
    return [...new Set(this.owners.values())]
  }

  /** Age of what is known of the owners, in ms. */
  get ownersAgeMs (): number {
    return this.ports.timers.monotonic() - this.ownersReadAt
  }

  /** Looks again at who owns what, unless it was done just now. */
  async refreshOwners (): Promise<void> {
    const { timers, log, decisions } = this.ports
    if (this.askingOwners !== undefined) return this.askingOwners
    if (timers.monotonic() - this.ownersAt < ownersOnDemandMs) return
    this.ownersAt = timers.monotonic()
    this.askingOwners = log.owners(this.settings.group).then((answer) => {
      this.askingOwners = undefined
      if (answer.type === 'owners') this.takeOwners(answer.owners)
      else decisions.note({ event: 'ownersNotRead', failure: answer })
    })
    return this.askingOwners
  }

  /** Shards have become free: asks for them now. */
  joinNow (): void {
    void this.join()
    this.ownersAt = -Infinity
    void this.refreshOwners()
  }

  /**
   * Gives the lease of a member back whose process has ended, as its host has said by refusing a connection, or which
   * is silent: its shards move at once instead of after the lease. Fencing keeps this safe if it was wrong.
   */
  async evict (member: string, why: 'ended' | 'silent'): Promise<void> {
    const { timers, log, decisions, onShardsReleased: announce } = this.ports
    if (this.hasRecentlyEvicted(member)) return
    this.evictedAt.set(member, timers.monotonic())
    const left = await log.leave(this.settings.group, member)
    decisions.note({ event: 'memberEvicted', member, why, outcome: left.type })
    announce()
    this.joinNow()
  }

  /** Whether the lease of a member was given back just now, so that its shards are about to move. */
  hasRecentlyEvicted (member: string): boolean {
    return this.ports.timers.monotonic() < (this.evictedAt.get(member) ?? -Infinity) + this.settings.leaseMs
  }

  private takeOwners (owners: readonly shardLog.Owner[]): void {
    this.ownersReadAt = this.ports.timers.monotonic()
    this.owners = new Map(owners.map(({ partition, member }) => [shardLog.partitionName(partition), member]))
  }

  /** Leaves for good. */
  async leave (): Promise<void> {
    this.stopped = true
    await this.handAllOver()
  }

  /** Gives every shard up until `standUp`: this process can't be reached by the others. Turns under way get the time given, in ms. */
  async suspend (graceMs: number): Promise<void> {
    this.away = true
    for (const shard of this.owned.values()) shard.refuseNew()
    await timerService.sleep(this.ports.timers, graceMs)
    // Also where it can be reached again: the shards take no turns until they are opened anew.
    if (!this.stopped) await this.handAllOver()
  }

  resume (): void {
    this.away = false
    void this.join()
  }

  /** New turns go elsewhere, those under way end here and are settled with the next owners. */
  private async handAllOver (): Promise<void> {
    await Promise.all([...this.owned.values()].map((shard) => shard.handOver(this.settings.handoverTimeoutMs)))
    this.owned.clear()
    const left = await this.ports.log.leave(this.settings.group, this.settings.member)
    this.ports.decisions.note({ event: 'groupLeft', outcome: left.type })
    this.ports.onShardsReleased()
    this.ownersAt = -Infinity
    await this.refreshOwners()
  }

  private async join (): Promise<void> {
    if (this.stopped || this.away || this.joining) return
    this.joining = true
    const { group, member, topics, leaseMs } = this.settings
    const answer = await this.ports.log.join({ group, member, topics, ttlMs: leaseMs, generation: this.generation })
    this.joining = false
    if (this.stopped || this.away) return
    if (answer.type === 'assigned' && this.announceAfterJoin) {
      this.announceAfterJoin = false
      this.ports.onShardsReleased()
    }
    if (answer.type !== 'assigned') {
      this.ports.decisions.note({ event: 'leaseNotRenewed', failure: answer })
      return
    }
    await this.follow(answer)
  }

  /** Opens what is new, hands over what is gone; the next join tells the group that it is done. */
  private async follow (assignment: shardLog.Assignment): Promise<void> {
    const listed = new Map(assignment.partitions.map((partition) => [shardLog.partitionName(partition), partition]))
    const gone = [...this.owned].filter(([name]) => !listed.has(name))
    for (const [name, partition] of listed) {
      if (!this.owned.has(name)) this.open(partition, assignment.generation)
    }
    const changed = assignment.generation !== this.generation
    if (gone.length > 0) await this.handOver(gone)
    this.generation = assignment.generation
    if (!changed) return
    if (gone.length > 0) this.announceAfterJoin = true
    this.ports.decisions.note({ event: 'assignment', generation: assignment.generation, owned: listed.size, handedOver: gone.length })
    void this.refreshOwners()
    void this.join()
  }

  private async handOver (gone: readonly (readonly [shardLog.PartitionName, ownedShard.OwnedShard])[]): Promise<void> {
    this.joining = true
    await Promise.all(gone.map(async ([name, shard]) => {
      await shard.handOver(this.settings.handoverTimeoutMs)
      if (this.owned.get(name) === shard) this.owned.delete(name)
    }))
    this.joining = false
  }

  private open (partition: shardLog.Partition, generation: number): void {
    const shard = new ownedShard.OwnedShard(partition, this.epochFor(generation), {
      ...this.ports,
      onLost: (lost, reason) => { this.onLost(lost, reason) }
    })
    this.owned.set(shardLog.partitionName(partition), shard)
    void shard.open()
  }

  /** Rises with the generation, and within it with time: a process that came back fences its own former life. */
  private epochFor (generation: number): number {
    const step = Math.floor(this.ports.timers.now() / epochStepMs) + this.epochBump
    return generation * epochsPerGeneration + step % epochsPerGeneration
  }

  private onLost (shard: ownedShard.OwnedShard, reason: string): void {
    const name = shardLog.partitionName(shard.partition)
    this.ports.decisions.note({ event: 'shardLost', partition: shard.partition, epoch: shard.epoch, reason })
    if (this.owned.get(name) === shard) this.owned.delete(name)
    this.epochBump += fencedEpochSteps
    void this.refreshOwners()
    void this.join()
  }

  private expire (): void {
    const now = this.ports.timers.now() as types.EpochMs
    for (const shard of this.owned.values()) shard.expire(now)
  }
}
