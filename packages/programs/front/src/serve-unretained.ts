/** Runs a turn that is not retained, after the owner of its program has reserved its tokens. */
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as answerStream from './answer-stream.js'
import type * as dialects from './dialect.js'
import type * as dispatch from './dispatch.js'
import type * as inbound from './inbound.js'
import * as lateOwner from './late-owner.js'
import * as peerCalls from './peer-calls.js'
import * as reserveTurn from './reserve-turn.js'

/** Dependencies for running such turns. */
export interface UnretainedPorts extends dispatch.DispatchPorts, peerCalls.PeerCallPorts, reserveTurn.ReservePorts, lateOwner.LateOwnerPorts {}

/** The owner that reserves the tokens of a turn: this process or a peer. */
export type ReservationOwner =
  | { readonly type: 'here', readonly shard: ownShards.OwnedShard }
  | { readonly type: 'peer', readonly owner: lateOwner.OwnerTarget }

/** Outcome of reserving tokens. */
export type ReserveOutcome =
  | peerCalls.CallOutcome<peerCalls.ReserveAnswer>
  /** The shard has another owner now. */
  | { readonly type: 'moved' }
  /** The owner is alive and has not answered in time. */
  | { readonly type: 'late' }

/** A call ends this much later than its answer is waited for, in ms, so that a connection that failed is told from an answer that is late. */
const callMarginMs = 100
/** Timeout for a peer's answer to a release, in ms. */
const releaseTimeoutMs = 400

/** Creates the reservation call for a turn. */
export function createReserveCall (req: inbound.InboundRequest, turn: dialects.TurnFields): peerCalls.ReserveCall {
  const request: turnLedger.TurnRequest = {
    turn: req.attempt.id,
    program: turn.program,
    account: identifyClient.getAccount(req.caller),
    previous: undefined,
    maxTokens: turn.maxTokens,
    budgetTokens: turn.budgetTokens,
    keeps: false,
    retainMs: req.route.retain?.retainMs ?? 0
  }
  return { type: 'reserve', request, service: req.service, promptTokens: turn.promptTokens, promptParts: turn.promptParts }
}

/**
 * Reserves tokens at the owner of the program. Don't retry the same turn at a peer that did not answer: the release of
 * the first reservation could undo the second.
 */
export async function reserveTokens (ports: UnretainedPorts, holder: ReservationOwner, call: peerCalls.ReserveCall): Promise<ReserveOutcome> {
  if (holder.type === 'here') return { type: 'answer', answer: await reserveTurn.reserveLocally(ports, holder.shard, call) }
  const outcome = await callOwner(ports, holder.owner, call)
  // If only the answer was lost, the tokens are reserved but will not be used; release them for other turns of the program.
  if (outcome.type !== 'answer' && !(outcome.type === 'none' && outcome.ended)) releaseReservation(ports, holder, { ...call, type: 'release', tokens: 0 })
  return outcome
}

/** Waits for an owner that is late while it is alive and owns the shard. */
function callOwner (ports: UnretainedPorts, owner: lateOwner.OwnerTarget, call: peerCalls.ReserveCall): Promise<ReserveOutcome> {
  return new Promise((resolve, reject) => {
    const finish = (outcome: ReserveOutcome): void => {
      watch.cancel()
      lateTimer.cancel()
      resolve(outcome)
    }
    const watch = lateOwner.watchOwner(ports, call.request.turn, owner, (reason) => {
      finish(reason === 'moved' ? { type: 'moved' } : { type: 'none', ended: false })
    })
    const lateTimer = ports.timers.after(owner.answerTimeoutMs, () => { finish({ type: 'late' }) })
    peerCalls.tryCallPeer<peerCalls.ReserveAnswer>(ports, owner.address, call, owner.answerTimeoutMs + callMarginMs).then(finish, reject)
  })
}

/** Runs the turn and reports its actual token count to the owner. If the report is lost, the turn counts with its maximum. */
export function runReservedTurn (ports: UnretainedPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, owner: ReservationOwner, call: peerCalls.ReserveCall, holder: types.UpstreamId | undefined): void {
  let upstream: types.UpstreamId | undefined
  const releaseUnused = (): void => {
    releaseReservation(ports, owner, { ...call, type: 'release', tokens: answer.countTokens(turn.maxTokens), upstream })
  }
  const localAffinity = ports.promptLocations.findAffinity(turn)
  const affinity = { ...localAffinity, holder: holder ?? localAffinity.holder }
  const answer = new answerStream.AnswerStream(ports, req, { body: req.body, affinity }, true, {
    onHead: (chosenUpstream) => {
      upstream = chosenUpstream
      ports.promptLocations.recordLocation(req.attempt.id, turn, chosenUpstream)
    },
    onComplete: () => {
      req.reply.end()
      releaseUnused()
    },
    onErrorAnswer: releaseUnused,
    onFailed: releaseUnused
  })
  answer.start()
}

/** Releases a reservation, except for the tokens that the call reports as used. */
export function releaseReservation (ports: UnretainedPorts, holder: ReservationOwner, call: peerCalls.ReleaseCall): void {
  if (holder.type === 'here') reserveTurn.releaseLocally(ports, holder.shard, call)
  else void peerCalls.callPeer(ports, holder.owner.address, call, releaseTimeoutMs)
}
