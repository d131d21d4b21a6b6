/** Stores a completed turn at the current owner of its program. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as findChain from './find-chain.js'
import * as lateOwner from './late-owner.js'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'

/** Dependencies for reaching the owner of a program. */
export interface SettlePorts extends peerCalls.PeerCallPorts, lateOwner.LateOwnerPorts {
  readonly shards: ownShards.ShardOwner
}

/** A completed turn to be stored. */
export type SettleCall = peerCalls.SettleCall | peerCalls.SettleUnreservedCall

/** Retry interval while the shard has no owner, in ms. */
const retryIntervalMs = 25
/** Retry interval while the owner does not know the chain, in ms: the turn that is missing may be on its way to it. */
const unknownChainRetryMs = 250
/** Timeout for the search of a chain at the other owners, in ms. */
const findChainTimeoutMs = 500

/** Stores the turn and returns whether that succeeded. Retries until `deadlineAt`, monotonic ms, as a shard briefly has no owner during a handover. */
export async function settleCompletedTurn (ports: SettlePorts, shard: ownShards.OwnedShard, call: SettleCall, deadlineAt: number): Promise<boolean> {
  const { request } = call
  const localOutcome = await settleLocally(ports, shard, call)
  if (localOutcome.type === 'kept') return true
  const partition = ports.shards.getPartition(request.program)
  const late = new LateAnswers()
  while (ports.timers.monotonic() < deadlineAt) {
    const outcome = await Promise.race([settleAtOwner(ports, partition, call, deadlineAt, late), late.kept])
    if (outcome.type === 'kept') {
      ports.decisions.record({ event: 'turnSettledElsewhere', request: request.turn, program: request.program })
      return true
    }
    if (outcome.type === 'overBudget') break
    void ports.shards.refreshOwners()
    await timerService.sleep(ports.timers, outcome.type === 'unknown' ? unknownChainRetryMs : retryIntervalMs)
  }
  ports.decisions.record({ event: 'turnNotKept', request: request.turn, program: request.program, epoch: shard.epoch })
  return false
}

/** Answers of owners that were no longer waited for: a turn that one of them has stored is stored. */
class LateAnswers {
  private settleKept = (_answer: peerCalls.SettleAnswer): void => {}
  /** Resolves once one of them has stored the turn. */
  readonly kept = new Promise<peerCalls.SettleAnswer>((resolve) => { this.settleKept = resolve })

  add (answer: peerCalls.SettleAnswer | null | undefined): void {
    if (answer?.type === 'kept') this.settleKept(answer)
  }
}

async function settleAtOwner (ports: SettlePorts, partition: shardLog.Partition, call: SettleCall, deadlineAt: number, late: LateAnswers): Promise<peerCalls.SettleAnswer> {
  const location = ports.shards.locate(partition)
  switch (location.type) {
    case 'unknown': return { type: 'notOwner' }
    case 'here': return settleLocally(ports, location.shard, call)
    case 'member': {
      const answer = await callOwner(ports, partition, location.member, call, deadlineAt, late)
      // An earlier release does not know a turn without a reservation, and answers null.
      if (answer === null) return { type: 'unknown' }
      return answer ?? { type: 'notOwner' }
    }
  }
}

/** Waits for an owner that is late while it can be reached and owns the shard; it appends to the store before it answers. */
function callOwner (ports: SettlePorts, partition: shardLog.Partition, member: string, call: SettleCall, deadlineAt: number, late: LateAnswers): Promise<peerCalls.SettleAnswer | null | undefined> {
  const { shards, timers } = ports
  const address = memberName.parsePeerAddress(member)
  const answerTimeoutMs = Math.max(0, deadlineAt - timers.monotonic())
  const isOwner = (): boolean => {
    const location = shards.locate(partition)
    return location.type === 'member' && location.member === member
  }
  return new Promise((resolve, reject) => {
    const watch = lateOwner.watchOwner(ports, call.request.turn, { address, isOwner, refreshOwners: () => { void shards.refreshOwners() }, answerTimeoutMs }, () => { resolve(undefined) })
    peerCalls.callPeer<peerCalls.SettleAnswer | null>(ports, address, call, answerTimeoutMs).then((answer) => {
      watch.cancel()
      late.add(answer)
      resolve(answer)
    }, reject)
  })
}

/** Stores a turn in a shard of this process. */
export async function settleLocally (ports: SettlePorts, shard: ownShards.OwnedShard, call: SettleCall): Promise<peerCalls.SettleAnswer> {
  if (shard.state !== 'serving') return { type: 'notOwner' }
  const { request } = call
  const outcome = await settleInLedger(ports, shard, call)
  switch (outcome.type) {
    case 'settled':
    case 'alreadyKept': {
      const commit = await shard.commit(outcome.type === 'settled' ? outcome.writes : [])
      return commit.type === 'committed' ? { type: 'kept' } : { type: 'notOwner' }
    }
    case 'chainIncomplete':
      ports.decisions.record({ event: 'chainIncomplete', request: request.turn, program: request.program, previous: request.previous, epoch: shard.epoch })
      return confirmRefusal(shard, { type: 'unknown' })
    case 'unknown':
    case 'overBudget': return confirmRefusal(shard, outcome)
  }
}

/** The turn's reservation, or the copy of the chain that it continues, may have been lost with its former owner. */
async function settleInLedger (ports: SettlePorts, shard: ownShards.OwnedShard, { type, request, end }: SettleCall): Promise<turnLedger.SettleOutcome> {
  const now = (): types.EpochMs => ports.timers.now() as types.EpochMs
  const settled = shard.ledger.settleTurn(request, end, now())
  if (settled.type !== 'unknown') return settled
  const isReserved = type === 'settle'
  const adopted = shard.ledger.adoptTurn(request, end, now(), { isReserved })
  if (adopted.type !== 'unknown' || request.previous === undefined) return adopted
  const found = await findChain.findChainAtOwners(ports, { turn: request.previous, account: request.account }, findChainTimeoutMs)
  return found?.type === 'found' ? shard.ledger.adoptTurn(request, end, now(), { isReserved, copies: found.chain }) : adopted
}

/** A process that has lost the shard without knowing it lacks the turns since: only the owner may refuse a turn. */
async function confirmRefusal (shard: ownShards.OwnedShard, refusal: peerCalls.SettleAnswer): Promise<peerCalls.SettleAnswer> {
  const confirmed = await shard.confirmOwnership()
  return confirmed.type === 'committed' ? refusal : { type: 'notOwner' }
}
