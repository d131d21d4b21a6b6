/** Stores a completed turn at the current owner of its program. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'

/** Dependencies for reaching the owner of a program. */
export interface SettlePorts extends peerCalls.PeerCallPorts {
  readonly shards: ownShards.ShardOwner
}

/** Retry interval while the shard has no owner, in ms. */
const retryIntervalMs = 25
/** Timeout for a peer's answer, in ms; the peer appends to the store before it answers. */
const peerTimeoutMs = 800

/** Stores the turn and returns whether that succeeded. Retries until `deadlineAt`, monotonic ms, as a shard briefly has no owner during a handover. */
export async function settleCompletedTurn (
  ports: SettlePorts,
  shard: ownShards.OwnedShard,
  request: turnLedger.TurnRequest,
  end: peerCalls.SettleCall['end'],
  deadlineAt: number
): Promise<boolean> {
  const localOutcome = await settleLocally(ports, shard, request, end)
  if (localOutcome.type === 'kept') return true
  const partition = ports.shards.getPartition(request.program)
  while (ports.timers.monotonic() < deadlineAt) {
    const outcome = await settleAtOwner(ports, ports.shards.locate(partition), request, end)
    if (outcome.type === 'kept') {
      ports.decisions.record({ event: 'turnSettledElsewhere', request: request.turn, program: request.program })
      return true
    }
    if (outcome.type === 'unknown') break
    void ports.shards.refreshOwners()
    await timerService.sleep(ports.timers, retryIntervalMs)
  }
  ports.decisions.record({ event: 'turnNotKept', request: request.turn, program: request.program, epoch: shard.epoch })
  return false
}

async function settleAtOwner (ports: SettlePorts, location: ownShards.ShardLocation, request: turnLedger.TurnRequest, end: peerCalls.SettleCall['end']): Promise<peerCalls.SettleAnswer> {
  switch (location.type) {
    case 'unknown': return { type: 'notOwner' }
    case 'here': return settleLocally(ports, location.shard, request, end)
    case 'member': {
      const answer = await peerCalls.callPeer<peerCalls.SettleAnswer>(ports, memberName.parsePeerAddress(location.member), { type: 'settle', request, end }, peerTimeoutMs)
      return answer ?? { type: 'notOwner' }
    }
  }
}

/** Stores a turn in a shard of this process. */
export async function settleLocally (
  ports: Pick<SettlePorts, 'timers' | 'decisions'>,
  shard: ownShards.OwnedShard,
  request: turnLedger.TurnRequest,
  end: peerCalls.SettleCall['end']
): Promise<peerCalls.SettleAnswer> {
  if (shard.state !== 'serving') return { type: 'notOwner' }
  const now = ports.timers.now() as types.EpochMs
  const settled = shard.ledger.settleTurn(request, end, now)
  const outcome = settled.type === 'unknown' ? shard.ledger.adoptTurn(request, end, now) : settled
  if (outcome.type === 'unknown') return { type: 'unknown' }
  if (outcome.type === 'chainIncomplete') {
    ports.decisions.record({ event: 'chainIncomplete', request: request.turn, program: request.program, previous: request.previous, epoch: shard.epoch })
    return { type: 'unknown' }
  }
  const commit = await shard.commit(outcome.type === 'settled' ? outcome.writes : [])
  return commit.type === 'committed' ? { type: 'kept' } : { type: 'notOwner' }
}
