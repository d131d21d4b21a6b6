/** Finds a turn of any program: a program may continue from a turn of another one, which lies in another shard. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'

/** What it takes to ask every owner. */
export interface FindPorts extends peerCalls.PeerCallPorts {
  readonly shards: ownShards.ShardOwner
}

/** A turn to continue from, and the client account that asks for it. */
export interface WantedTurn {
  readonly turn: turnLedger.TurnId
  readonly account: types.AccountId | undefined
}

/** What all owners together know of a turn. */
export type Found =
  | { readonly type: 'found', readonly chain: readonly turnLedger.StoredTurn[] }
  /** No shard holds it, and the store has confirmed every owner that says so. */
  | { readonly type: 'absent' }
  /** Some shards have no owner that could be asked. */
  | { readonly type: 'unsure', readonly asked: number }

/** Time for a peer's answer, in ms: it asks the store once. */
const peerTimeoutMs = 250

/** Asks once more where shards have changed hands since this process looked who owns them. */
export async function findEverywhere (ports: FindPorts, wanted: WantedTurn): Promise<Found> {
  const found = await askOwners(ports, wanted)
  if (found.type !== 'unsure') return found
  await ports.shards.refreshOwners()
  return askOwners(ports, wanted)
}

async function askOwners (ports: FindPorts, wanted: WantedTurn): Promise<Found> {
  const { shards } = ports
  const others = shards.listMembers().filter((member) => !shards.isSelf(member))
  const asked = others.map((member) => peerCalls.callPeer<peerCalls.FindChainAnswer>(ports, memberName.parsePeerAddress(member), { type: 'findChain', ...wanted }, peerTimeoutMs))
  asked.push(findChainLocally(shards, wanted))
  const absent = new Set<shardLog.PartitionName>()
  for (const answer of await Promise.all(asked)) {
    if (answer === undefined) continue
    if (answer.type === 'found') return answer
    for (const partition of answer.partitions) absent.add(partition)
  }
  return absent.size >= shards.shardCount ? { type: 'absent' } : { type: 'unsure', asked: absent.size }
}

/** Looks in the shards of this process. */
export async function findChainLocally (shards: ownShards.ShardOwner, { turn, account }: WantedTurn): Promise<peerCalls.FindChainAnswer> {
  const serving = shards.listServingShards()
  for (const shard of serving) {
    const chain = shard.ledger.exportChain(turn, account)
    if (chain !== undefined) return { type: 'found', chain }
  }
  const confirmed = await Promise.all(serving.map(async (shard) => {
    const commit = await shard.confirmOwnership()
    return commit.type === 'committed' ? [shardLog.partitionName(shard.partition)] : []
  }))
  return { type: 'absent', partitions: confirmed.flat() }
}
