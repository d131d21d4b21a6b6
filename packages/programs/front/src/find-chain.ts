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
  /** The owners of some shards could not be reached; `asked` counts the shards with a confirmed answer. */
  | { readonly type: 'unsure', readonly asked: number }

/** Owners that have not answered after this time, in ms, are late; the others are asked again meanwhile, as shards may have moved. */
const lateAfterMs = 250

/** Queries all owners, and once more after refreshing the owner table if some shards gave no answer. An owner that is late is waited for, for a lease. */
export function findChainAtOwners (ports: FindChainPorts, query: ChainQuery): Promise<FindChainResult> {
  return new Promise((resolve, reject) => { new ChainSearch(ports, query, resolve).run().catch(reject) })
}

/** The longest time that a search takes, in ms. */
export function getSearchTimeoutMs (shards: ownShards.ShardOwner): number {
  return lateAfterMs + shards.leaseMs
}

/** One search; its turn was stored before, so that what an owner has confirmed stays true. */
class ChainSearch {
  private readonly confirmed = new Set<shardLog.PartitionName>()
  private readonly pending = new Map<string, Promise<void>>()

  constructor (private readonly ports: FindChainPorts, private readonly query: ChainQuery, private readonly resolve: (result: FindChainResult) => void) {}

  async run (): Promise<void> {
    const { shards, timers } = this.ports
    this.askOwners()
    await timerService.withTimeout(timers, this.awaitAnswers(), lateAfterMs)
    if (!this.isComplete()) {
      await shards.refreshOwners()
      this.askOwners()
      await this.awaitAnswers()
    }
    this.resolve(this.isComplete() ? { type: 'absent' } : { type: 'unsure', asked: this.confirmed.size })
  }

  /** Asks every owner whose answer is not awaited already. */
  private askOwners (): void {
    const { shards } = this.ports
    const others = shards.listMembers().filter((member) => !shards.isSelf(member))
    for (const member of others) this.ask(member, () => this.callOwner(member))
    this.ask('self', () => findChainLocally(shards, this.query))
  }

  private callOwner (member: string): Promise<peerCalls.FindChainAnswer | undefined> {
    return peerCalls.callPeer(this.ports, memberName.parsePeerAddress(member), { type: 'findChain', ...this.query }, this.ports.shards.leaseMs)
  }

  private ask (member: string, call: () => Promise<peerCalls.FindChainAnswer | undefined>): void {
    if (this.pending.has(member)) return
    const noted = call().then((result) => {
      this.pending.delete(member)
      if (result?.type === 'found') this.resolve(result)
      if (result?.type === 'absent') for (const partition of result.partitions) this.confirmed.add(partition)
    })
    this.pending.set(member, noted)
  }

  /** Resolves once all owners have answered or all shards are confirmed. */
  private async awaitAnswers (): Promise<void> {
    while (this.pending.size > 0 && !this.isComplete()) await Promise.race(this.pending.values())
  }

  private isComplete (): boolean {
    return this.confirmed.size >= this.ports.shards.shardCount
  }
}

/** Searches the shards of this process. */
export async function findChainLocally (shards: ownShards.ShardOwner, { turn, account }: ChainQuery): Promise<peerCalls.FindChainAnswer> {
  const servingShards = shards.listServingShards()
  for (const shard of servingShards) {
    const chain = shard.ledger.exportChain(turn, account)
    if (chain !== undefined) return { type: 'found', chain }
  }
  const confirmed = await Promise.all(servingShards.map(async (shard) => {
    const commit = await shard.confirmOwnership()
    return commit.type === 'committed' ? [shardLog.formatPartitionName(shard.partition)] : []
  }))
  return { type: 'absent', partitions: confirmed.flat() }
}
