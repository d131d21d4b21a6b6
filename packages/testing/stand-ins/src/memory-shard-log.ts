/** The store of the shards in memory: fenced appends, newest records, a group with leases, and faults to switch on. */
import * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** What goes wrong with the next calls, by the member or client that makes them. */
export interface ShardLogFaults {
  /** Calls fail at once, nothing is done. */
  refuse: boolean
  /** Calls are done, their answers never come. */
  loseAnswers: boolean
  /** Calls are neither done nor answered. */
  silent: boolean
  /** Calls are done a while after they were made, if they may still be done then, and not answered. */
  late: boolean
}

interface StoredPartition {
  readonly records: shardLog.KeyedRecord[]
  epoch: number
  sequence: number
}

interface StoredMember {
  generation: number
  expiresAt: number
}

/** How long a caller waits for an answer that never comes, in ms. */
const patienceMs = 200
/** How late a call is done whose caller has long given up, in ms. */
const lateMs = 1_500
/** Time of a call that nothing disturbs, in ms. */
const callMs = 2

export class MemoryShardLog {
  private readonly partitions = new Map<shardLog.PartitionName, StoredPartition>()
  private readonly members = new Map<string, StoredMember>()
  private readonly held = new Map<shardLog.PartitionName, string>()
  private generation = 0
  /** Position of the member that gets the first partition; changes when all are assigned anew. */
  private rotation = 0
  /** Since when leases stand still, and for how long they have stood still before, in ms. */
  private pausedSince: number | undefined
  private pausedMs = 0
  private topics: readonly string[] = []

  constructor (private readonly timers: timerService.TimerService, private readonly parts: number) {}

  /** The store as one client sees it, with faults of its own. */
  client (faults: ShardLogFaults = noFaults()): shardLog.ShardLog {
    return shardLog.createShardLog(async (call) => {
      await timerService.sleep(this.timers, callMs)
      if (faults.refuse) return { type: 'refused', status: 503 }
      if (faults.silent) return this.noAnswer()
      if (faults.late) {
        this.timers.after(lateMs, () => { this.answer(call) })
        return this.noAnswer()
      }
      const answer = this.answer(call)
      return faults.loseAnswers ? this.noAnswer() : answer
    })
  }

  /** Every record of a partition, oldest first. */
  recordsOf (partition: shardLog.Partition): readonly shardLog.KeyedRecord[] {
    return this.stored(partition).records
  }

  /** Takes the lease of a member away without a word. */
  revoke (member: string): void {
    this.members.delete(member)
    this.deal()
  }

  /** Assigns all partitions anew without any request. */
  reassignAll (): void {
    this.rotation += 1
    this.generation += 1
  }

  /** Leases stand still until `resumeLeases`. */
  pauseLeases (): void {
    this.pausedSince ??= this.timers.monotonic()
  }

  resumeLeases (): void {
    this.pausedMs = this.timers.monotonic() - this.leaseNow()
    this.pausedSince = undefined
  }

  /** Time by which leases expire, in ms. */
  private leaseNow (): number {
    return (this.pausedSince ?? this.timers.monotonic()) - this.pausedMs
  }

  private async noAnswer (): Promise<shardLog.StoreFailure> {
    await timerService.sleep(this.timers, patienceMs)
    return { type: 'noAnswer', detail: 'stand-in' }
  }

  private answer (call: shardLog.StoreCall): shardLog.StoreAnswer {
    switch (call.type) {
      case 'append': return this.append(call.request)
      case 'put':
        this.stored(call.partition).records.push(...call.records)
        return { type: 'appended' }
      case 'newest': return this.newest(call.partition)
      case 'read': {
        const records = this.stored(call.request.partition).records
        return { type: 'records', records: records.slice(call.request.from), next: records.length }
      }
      case 'join': return this.join(call.request)
      case 'leave':
        this.members.delete(call.member)
        this.deal()
        return { type: 'left' }
      case 'owners': return { type: 'owners', owners: this.owners() }
    }
  }

  private append (request: shardLog.FencedAppend): shardLog.AppendOutcome {
    const stored = this.stored(request.partition)
    if (request.epoch < stored.epoch) return { type: 'fenced' }
    if (request.epoch > stored.epoch) {
      stored.epoch = request.epoch
      stored.sequence = request.sequence - 1
    }
    if (request.records.length === 0) return { type: 'appended' }
    // A repeat is answered as the first was.
    if (request.sequence === stored.sequence) return { type: 'appended' }
    if (request.sequence !== stored.sequence + 1) return { type: 'outOfSequence', detail: `expected ${stored.sequence + 1}` }
    stored.sequence = request.sequence
    stored.records.push(...request.records)
    return { type: 'appended' }
  }

  private newest (partition: shardLog.Partition): shardLog.NewestPage {
    const { records } = this.stored(partition)
    const newest = new Map<string, Uint8Array>()
    for (const { key, value } of records) {
      if (value === undefined) newest.delete(key)
      else newest.set(key, value)
    }
    return { type: 'page', records: [...newest].map(([key, value]) => ({ key, value })), after: undefined, end: records.length }
  }

  private join (request: shardLog.JoinRequest): shardLog.Assignment {
    this.topics = request.topics
    const now = this.leaseNow()
    for (const [member, { expiresAt }] of this.members) {
      if (expiresAt < now) this.members.delete(member)
    }
    this.members.set(request.member, { generation: request.generation, expiresAt: now + request.ttlMs })
    this.deal()
    const partitions = this.dealt().filter(([partition, member]) => member === request.member && this.isFree(partition, member)).map(([partition]) => partition)
    for (const partition of partitions) this.held.set(shardLog.formatPartitionName(partition), request.member)
    return { type: 'assigned', generation: this.generation, partitions }
  }

  private dealtTo = ''

  private deal (): void {
    const dealtTo = [...this.members.keys()].sort().join()
    if (dealtTo === this.dealtTo) return
    this.dealtTo = dealtTo
    this.generation += 1
  }

  /** Every partition with the member it belongs to. */
  private dealt (): [shardLog.Partition, string][] {
    const members = [...this.members.keys()].sort()
    const all = this.topics.flatMap((topic) => Array.from({ length: this.parts }, (_, part): shardLog.Partition => ({ topic, part })))
    return members.length === 0 ? [] : all.map((partition, index) => [partition, members[(index + this.rotation) % members.length]!])
  }

  /** A former holder has joined with this generation, or is gone. */
  private isFree (partition: shardLog.Partition, member: string): boolean {
    const holder = this.held.get(shardLog.formatPartitionName(partition))
    if (holder === undefined || holder === member) return true
    const former = this.members.get(holder)
    return former === undefined || former.generation >= this.generation
  }

  private owners (): shardLog.Owner[] {
    return this.dealt().flatMap(([partition]) => {
      const member = this.held.get(shardLog.formatPartitionName(partition))
      return member === undefined ? [] : [{ partition, member }]
    })
  }

  private stored (partition: shardLog.Partition): StoredPartition {
    const name = shardLog.formatPartitionName(partition)
    const known = this.partitions.get(name)
    if (known !== undefined) return known
    const fresh: StoredPartition = { records: [], epoch: -1, sequence: -1 }
    this.partitions.set(name, fresh)
    return fresh
  }
}

export function noFaults (): ShardLogFaults {
  return { refuse: false, loseAnswers: false, silent: false, late: false }
}
