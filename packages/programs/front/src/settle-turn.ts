/** Makes the end of a turn durable with whoever owns its program now. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'

/** What it takes to reach the owner of a program. */
export interface SettlePorts extends peerCalls.PeerCallPorts {
  readonly shards: ownShards.ShardOwner
}

/** Pause between two tries while the shard changes hands, in ms. */
const againMs = 25
/** Time for a peer's answer, in ms: it appends before it answers. */
const peerTimeoutMs = 800

/** Whether the turn is kept. Tries until the time given: a shard that changes hands has no owner for a moment. */
export async function settleWhole (
  ports: SettlePorts,
  shard: ownShards.OwnedShard,
  request: turnLedger.TurnRequest,
  end: peerCalls.SettleCall['end'],
  deadlineAt: number
): Promise<boolean> {
  const first = await settleLocally(ports, shard, request, end)
  if (first.type === 'kept') return true
  const partition = ports.shards.getPartition(request.program)
  while (ports.timers.monotonic() < deadlineAt) {
    const outcome = await tryOwner(ports, ports.shards.locate(partition), request, end)
    if (outcome.type === 'kept') {
      ports.decisions.note({ event: 'turnSettledElsewhere', request: request.turn, program: request.program })
      return true
    }
    if (outcome.type === 'unknown') break
    void ports.shards.refreshOwners()
    await timerService.sleep(ports.timers, againMs)
  }
  ports.decisions.note({ event: 'turnNotKept', request: request.turn, program: request.program, epoch: shard.epoch })
  return false
}

async function tryOwner (ports: SettlePorts, place: ownShards.ShardLocation, request: turnLedger.TurnRequest, end: peerCalls.SettleCall['end']): Promise<peerCalls.SettleAnswer> {
  switch (place.type) {
    case 'unknown': return { type: 'notOwner' }
    case 'here': return settleLocally(ports, place.shard, request, end)
    case 'member': {
      const answer = await peerCalls.callPeer<peerCalls.SettleAnswer>(ports, memberName.parsePeerAddress(place.member), { type: 'settle', request, end }, peerTimeoutMs)
      return answer ?? { type: 'notOwner' }
    }
  }
}

/** Keeps a turn at a shard of this process. */
export async function settleLocally (
  ports: Pick<SettlePorts, 'timers'>,
  shard: ownShards.OwnedShard,
  request: turnLedger.TurnRequest,
  end: peerCalls.SettleCall['end']
): Promise<peerCalls.SettleAnswer> {
  if (shard.state !== 'serving') return { type: 'notOwner' }
  const now = ports.timers.now() as types.EpochMs
  const ended = shard.ledger.settleTurn(request, end, now)
  const outcome = ended.type === 'unknown' ? shard.ledger.adoptTurn(request, end, now) : ended
  if (outcome.type === 'unknown') return { type: 'unknown' }
  const commit = await shard.commit(outcome.type === 'settled' ? outcome.writes : [])
  return commit.type === 'committed' ? { type: 'kept' } : { type: 'notOwner' }
}
