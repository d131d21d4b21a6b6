/** Finds a turn in any shard: a program may continue from a turn of another program, whose shard may have another owner. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as shardLog from '@eelgrasswind/shard-log'
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

/** Timeout for a peer's answer, in ms; the peer makes one call to the store. */
const peerTimeoutMs = 250

/** Queries all owners, and once more after refreshing the owner table if some shards gave no answer: they may have new owners. */
export async function findChainAtOwners (ports: FindChainPorts, query: ChainQuery): Promise<FindChainResult> {
  const found = await askOwners(ports, query)
  if (found.type !== 'unsure') return found
  await ports.shards.refreshOwners()
  return askOwners(ports, query)
}

async function askOwners (ports: FindChainPorts, query: ChainQuery): Promise<FindChainResult> {
  const { shards } = ports
  const otherMembers = shards.listMembers().filter((member) => !shards.isSelf(member))
  const pendingAnswers = otherMembers.map((member) => peerCalls.callPeer<peerCalls.FindChainAnswer>(ports, memberName.parsePeerAddress(member), { type: 'findChain', ...query }, peerTimeoutMs))
  pendingAnswers.push(findChainLocally(shards, query))
  return new Promise((resolve, reject) => {
    for (const pending of pendingAnswers) pending.then((answer) => { if (answer?.type === 'found') resolve(answer) }, reject)
    Promise.all(pendingAnswers).then((answers) => { resolve(summarizeAbsence(shards, answers)) }, reject)
  })
}

function summarizeAbsence (shards: ownShards.ShardOwner, answers: readonly (peerCalls.FindChainAnswer | undefined)[]): FindChainResult {
  const confirmed = new Set(answers.flatMap((answer) => answer?.type === 'absent' ? answer.partitions : []))
  return confirmed.size >= shards.shardCount ? { type: 'absent' } : { type: 'unsure', asked: confirmed.size }
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
