/** Runs a turn that is not retained, after the owner of its program has reserved its tokens. */
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as answerStream from './answer-stream.js'
import type * as dialects from './dialect.js'
import type * as dispatch from './dispatch.js'
import type * as inbound from './inbound.js'
import * as peerCalls from './peer-calls.js'
import * as reserveTurn from './reserve-turn.js'

/** Dependencies for running such turns. */
export interface UnretainedPorts extends dispatch.DispatchPorts, reserveTurn.ReservePorts {}

/** The owner that reserves the tokens of a turn: this process or a peer, by its address IP:PORT. */
export type ReservationOwner =
  | { readonly type: 'here', readonly shard: ownShards.OwnedShard }
  | { readonly type: 'peer', readonly address: string }

/** Timeouts for a peer's answer, in ms. A reservation may need one call to the store. */
const reserveTimeoutMs = 300
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
export async function reserveTokens (ports: UnretainedPorts, owner: ReservationOwner, call: peerCalls.ReserveCall): Promise<peerCalls.CallOutcome<peerCalls.ReserveAnswer>> {
  if (owner.type === 'here') return { type: 'answer', answer: await reserveTurn.reserveLocally(ports, owner.shard, call) }
  const outcome = await peerCalls.tryCallPeer<peerCalls.ReserveAnswer>(ports, owner.address, call, reserveTimeoutMs)
  // If only the answer was lost, the tokens are reserved but will not be used; release them for other turns of the program.
  if (outcome.type === 'none' && !outcome.ended) releaseReservation(ports, owner, { ...call, type: 'release', tokens: 0 })
  return outcome
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
export function releaseReservation (ports: UnretainedPorts, owner: ReservationOwner, call: peerCalls.ReleaseCall): void {
  if (owner.type === 'here') reserveTurn.releaseLocally(ports, owner.shard, call)
  else void peerCalls.callPeer(ports, owner.address, call, releaseTimeoutMs)
}
