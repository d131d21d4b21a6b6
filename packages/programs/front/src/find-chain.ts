/** Finds a turn in any shard: a program may continue from a turn of another program, whose shard may have another owner. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'

/** Dependencies for querying all owners. */
export interface FindChainPorts extends peerCalls.PeerCallPorts {
  readonly shards: ownShards.ShardOwner
}

/** The turn to continue from, and the client account that requests it. */
export interface ChainQuery {
  readonly turn: turnLedger.TurnId
  readonly account: types.AccountId | undefined
}

/** Combined result of all owners. */
export type FindChainResult =
  | { readonly type: 'found', readonly chain: readonly turnLedger.StoredTurn[] }
  /** No shard has the turn, and the store has confirmed the ownership of every owner that answered so. */
  | { readonly type: 'absent' }
  /** Some shards gave no confirmed answer in time; `first`: some of them, with where they are served. */
  | { readonly type: 'unsure', readonly unconfirmed: number, readonly first: readonly UnconfirmedShard[] }

/** A shard whose owner has not confirmed that it lacks the turn. */
export interface UnconfirmedShard {
  readonly partition: shardLog.PartitionName
  /** The owner's name, `unknown`, or the state of the shard if it is owned here. */
  readonly place: string
}

/** Owners that have not answered after this time, in ms, are late; the others are asked again meanwhile, as shards may have moved. */
const lateAfterMs = 250
/** Pause before shards without an answer are asked for again, in ms. */
const retryIntervalMs = 100
/** Number of shards that a result names. */
const maxNamedShards = 3

/**
 * Queries the owners of all shards, and those of the shards that have not answered again until the timeout, in ms: a shard
 * that is moving has no owner for a while, and a host that is busy takes no connection.
 */
export function findChainAtOwners (ports: FindChainPorts, query: ChainQuery, timeoutMs: number): Promise<FindChainResult> {
  return new Promise((resolve, reject) => { new ChainSearch(ports, query, timeoutMs, resolve).run().catch(reject) })
}

/** How long a turn waits for a search, in ms: until a dead owner's shards have moved, or longer, as long as a lease remains for the turn to run. */
export function getSearchTimeoutMs (shards: ownShards.ShardOwner, remainingMs: number): number {
  return Math.max(lateAfterMs + shards.leaseMs, remainingMs - shards.leaseMs)
}

/** One search; its turn was stored before, so that what an owner has confirmed stays true. */
class ChainSearch {
  private readonly confirmed = new Set<shardLog.PartitionName>()
  private readonly pending = new Map<string, Promise<void>>()
  private readonly endsAt: number
  private isFound = false

  constructor (private readonly ports: FindChainPorts, private readonly query: ChainQuery, timeoutMs: number, private readonly resolve: (result: FindChainResult) => void) {
    this.endsAt = ports.timers.monotonic() + timeoutMs
  }

  async run (): Promise<void> {
    const { shards, timers } = this.ports
    this.askOwners()
    await this.awaitAnswers()
    while (!this.isComplete() && !this.isFound && this.remainingMs > 0) {
      await timerService.withTimeout(timers, shards.refreshOwners(), this.remainingMs)
      this.askOwners()
      await this.awaitAnswers()
      if (!this.isComplete()) await timerService.sleep(timers, Math.min(retryIntervalMs, this.remainingMs))
    }
    this.resolve(this.isComplete() ? { type: 'absent' } : this.describeUnsure())
  }

  /** Asks the owners of the shards that are not confirmed, unless their answers are awaited already. */
  private askOwners (): void {
    const { shards } = this.ports
    for (const partition of this.listUnconfirmed()) {
      const location = shards.locate(partition)
      if (location.type === 'member') this.ask(location.member, () => this.callOwner(location.member))
      else if (location.type === 'here') this.ask('self', () => findChainLocally(this.ports, this.query))
    }
  }

  private callOwner (member: string): Promise<peerCalls.FindChainAnswer | undefined> {
    return peerCalls.callPeer(this.ports, memberName.parsePeerAddress(member), { type: 'findChain', ...this.query }, this.remainingMs)
  }

  private ask (owner: string, call: () => Promise<peerCalls.FindChainAnswer | undefined>): void {
    if (this.pending.has(owner)) return
    this.pending.set(owner, call().then((answer) => {
      this.pending.delete(owner)
      if (answer !== undefined) this.noteAnswer(answer)
    }))
  }

  private noteAnswer (answer: peerCalls.FindChainAnswer): void {
    switch (answer.type) {
      case 'found':
        this.isFound = true
        this.resolve(answer)
        return
      case 'absent':
        for (const partition of answer.partitions) this.confirmed.add(partition)
    }
  }

  /** Resolves once all owners that were asked have answered, all shards are confirmed, or those that have not answered are late. */
  private async awaitAnswers (): Promise<void> {
    await timerService.withTimeout(this.ports.timers, this.awaitAllAnswers(), Math.min(lateAfterMs, this.remainingMs))
  }

  private async awaitAllAnswers (): Promise<void> {
    while (this.pending.size > 0 && !this.isComplete() && !this.isFound) await Promise.race(this.pending.values())
  }

  private get remainingMs (): number {
    return Math.max(0, this.endsAt - this.ports.timers.monotonic())
  }

  private listUnconfirmed (): shardLog.Partition[] {
    return this.ports.shards.listPartitions().filter((partition) => !this.confirmed.has(shardLog.formatPartitionName(partition)))
  }

  private isComplete (): boolean {
    return this.confirmed.size >= this.ports.shards.shardCount
  }

  private describeUnsure (): FindChainResult {
    const unconfirmed = this.listUnconfirmed()
    const first = unconfirmed.slice(0, maxNamedShards).map((partition) => ({ partition: shardLog.formatPartitionName(partition), place: this.describePlace(partition) }))
    return { type: 'unsure', unconfirmed: unconfirmed.length, first }
  }

  private describePlace (partition: shardLog.Partition): string {
    const location = this.ports.shards.locate(partition)
    switch (location.type) {
      case 'unknown': return location.type
      case 'member': return location.member
      case 'here': return location.shard.state
    }
  }
}

/** Searches the shards of this process. Those that are being opened are waited for, for a lease, as nobody else can search them. */
export async function findChainLocally ({ shards, timers }: Pick<FindChainPorts, 'shards' | 'timers'>, { turn, account }: ChainQuery): Promise<peerCalls.FindChainAnswer> {
  const chain = exportFrom(shards.listServingShards(), turn, account)
  if (chain !== undefined) return { type: 'found', chain }
  const opening = shards.listOpeningShards()
  if (opening.length > 0) {
    await timerService.withTimeout(timers, Promise.all(opening.map((shard) => shard.opened)), shards.leaseMs)
    const openedChain = exportFrom(shards.listServingShards(), turn, account)
    if (openedChain !== undefined) return { type: 'found', chain: openedChain }
  }
  const confirmed = await Promise.all(shards.listServingShards().map(async (shard) => {
    const commit = await shard.confirmOwnership()
    return commit.type === 'committed' ? [shardLog.formatPartitionName(shard.partition)] : []
  }))
  return { type: 'absent', partitions: confirmed.flat() }
}

function exportFrom (servingShards: readonly ownShards.OwnedShard[], turn: turnLedger.TurnId, account: types.AccountId | undefined): turnLedger.StoredTurn[] | undefined {
  for (const { ledger } of servingShards) {
    const chain = ledger.exportChain(turn, account)
    if (chain !== undefined) return chain
  }
  return undefined
}
