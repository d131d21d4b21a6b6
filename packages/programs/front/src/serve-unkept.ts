/** Runs a turn of which nothing is kept, once the owner of its program has reserved its tokens. */
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

/** What it takes to run such turns. */
export interface UnkeptPorts extends dispatch.DispatchPorts, reserveTurn.ReservePorts {}

/** Where the tokens of a turn were reserved. */
export type Owner =
  | { readonly type: 'here', readonly shard: ownShards.OwnedShard }
  | { readonly type: 'peer', readonly address: string }

/** Time for a peer's answer, in ms: it may ask the store once. */
const reserveTimeoutMs = 300
const releaseTimeoutMs = 400

/** What the owner is asked. */
export function reserveCall (req: inbound.InboundRequest, turn: dialects.TurnFields): peerCalls.ReserveCall {
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
 * Asks the owner of the program, here or at a peer. A peer that did not answer must not be asked again for the same
 * turn: the release of the first reservation could undo the second.
 */
export async function reserve (ports: UnkeptPorts, owner: Owner, call: peerCalls.ReserveCall): Promise<peerCalls.CallOutcome<peerCalls.ReserveAnswer>> {
  if (owner.type === 'here') return { type: 'answer', answer: await reserveTurn.reserveLocally(ports, owner.shard, call) }
  const outcome = await peerCalls.tryCallPeer<peerCalls.ReserveAnswer>(ports, owner.address, call, reserveTimeoutMs)
  // If only the answer was lost, the tokens are reserved: nothing is run on them, and the program may need them.
  if (outcome.type === 'none' && !outcome.ended) release(ports, owner, { ...call, type: 'release', tokens: 0 })
  return outcome
}

/** Runs the turn and tells the owner what it made; where that does not arrive, the turn counts at its most. */
export function run (ports: UnkeptPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, owner: Owner, call: peerCalls.ReserveCall, holder: types.UpstreamId | undefined): void {
  let upstream: types.UpstreamId | undefined
  const end = (): void => {
    release(ports, owner, { ...call, type: 'release', tokens: answer.countTokens(turn.maxTokens), upstream })
  }
  const known = ports.promptLocations.find(turn)
  const affinity = { ...known, holder: holder ?? known.holder }
  const answer = new answerStream.AnswerStream(ports, req, { body: req.body, affinity }, true, {
    onHead: (chosen) => {
      upstream = chosen
      ports.promptLocations.note(req.attempt.id, turn, chosen)
    },
    onComplete: () => {
      req.reply.end()
      end()
    },
    onErrorAnswer: end,
    onFailed: end
  })
  answer.start()
}

/** Gives back what was reserved for a turn that is not run. */
export function release (ports: UnkeptPorts, owner: Owner, call: peerCalls.ReleaseCall): void {
  if (owner.type === 'here') reserveTurn.releaseLocally(ports, owner.shard, call)
  else void peerCalls.callPeer(ports, owner.address, call, releaseTimeoutMs)
}
