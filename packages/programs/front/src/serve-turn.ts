/** Serves a retained turn at the owner of its program: checks the turn chain and the budget, assembles the prompt, and stores input and output. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as answerStream from './answer-stream.js'
import * as confirmRefusal from './confirm-refusal.js'
import * as detachableListener from './detachable-listener.js'
import type * as dispatch from './dispatch.js'
import type * as dialects from './dialect.js'
import * as findChain from './find-chain.js'
import type * as inbound from './inbound.js'
import * as keptTurns from './kept-turns.js'
import type * as lateOwner from './late-owner.js'
import type * as peerCalls from './peer-calls.js'
import type * as programAdmission from './program-admission.js'
import type * as promptLocations from './prompt-locations.js'
import * as settleTurn from './settle-turn.js'
import * as storeOutage from './store-outage.js'

/** Dependencies for serving turns as the owner of their programs. */
export interface TurnPorts extends dispatch.DispatchPorts, peerCalls.PeerCallPorts, lateOwner.LateOwnerPorts {
  readonly shards: ownShards.ShardOwner
  readonly promptLocations: promptLocations.PromptLocations
  readonly deferredTurns: storeOutage.DeferredTurns
  /** Memory that writes without an answer of the store may take, in bytes. */
  readonly maxUnstoredBytes: number
  /** Memory that kept turns may take, in bytes. */
  readonly maxKeptBytes: number
  readonly admission: Pick<programAdmission.ProgramAdmission, 'tryAdmit' | 'observePromptSize'>
}

/** Retry-after during a change of the shard's owner, in ms: about the time in which a lease expires or a handover completes. */
export const shardRetryMs = 400

/** Timeout for the store to confirm a refusal, in ms. */
const confirmTimeoutMs = 500

/** Serves one turn on a shard that this process owns and that is in state `serving`. */
export async function serveTurn (ports: TurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, shard: ownShards.OwnedShard): Promise<void> {
  const request: turnLedger.TurnRequest = {
    turn: req.attempt.id,
    program: turn.program,
    account: identifyClient.getAccount(req.caller),
    previous: turn.previous,
    maxTokens: turn.maxTokens,
    budgetTokens: turn.budgetTokens,
    keeps: true,
    retainMs: req.route.retain?.retainMs ?? 0
  }
  if (storeOutage.isBacklogFull(ports, shard)) {
    ports.decisions.record({ event: 'turnRefused', reason: 'too many writes wait for the store', request: req.attempt.id, program: turn.program, epoch: shard.epoch, detail: { unstoredBytes: ports.shards.unstoredBytes, unansweredMs: Math.round(shard.unansweredMs) } })
    req.reply.refuse({ type: 'storeAway', retryAfterMs: storeOutage.outageRetryMs })
    return
  }
  if (storeOutage.isStoreUnresponsive(shard) && !ports.deferredTurns.shouldRunNow(request.program, request.previous, ports.timers.monotonic())) {
    ports.decisions.record({ event: 'turnRefused', reason: 'the store does not answer', request: req.attempt.id, program: turn.program, epoch: shard.epoch, detail: { unansweredMs: Math.round(shard.unansweredMs) } })
    req.reply.refuse({ type: 'storeAway', retryAfterMs: storeOutage.outageRetryMs })
    return
  }
  if (isBeyondKeptTurns(ports, request, shard)) {
    ports.decisions.record({ event: 'turnRefused', reason: 'the kept turns take too much memory for a new program', request: req.attempt.id, program: turn.program, epoch: shard.epoch, detail: { keptBytes: ports.shards.keptBytes, maxKeptBytes: ports.maxKeptBytes } })
    req.reply.refuse({ type: 'turnsFull', retryAfterMs: keptTurns.turnsFullRetryMs })
    return
  }
  if (shard.ledger.isNewProgram(request.program) && !ports.admission.tryAdmit(request, req.service)) {
    req.reply.refuse({ type: 'upstreamsFull', retryAfterMs: admitProgram.loadRetryMs })
    return
  }
  ports.admission.observePromptSize(req.service, turn.promptTokens)
  const now = ports.timers.now() as types.EpochMs
  const admission = shard.ledger.admitTurn(request, now)
  switch (admission.type) {
    case 'admitted':
      new TurnRun(ports, req, turn, request, shard, admission).start()
      return
    case 'overBudget':
      await refuseOverBudget(ports, req, request, shard, admission)
      return
    case 'unknownPrevious':
      await continueFromOtherShard(ports, req, turn, request, shard)
  }
}

/** A program that continues an earlier turn, its own or another's, goes on. */
function isBeyondKeptTurns (ports: TurnPorts, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard): boolean {
  return request.previous === undefined && shard.ledger.isNewProgram(request.program) && ports.shards.keptBytes >= ports.maxKeptBytes
}

async function refuseOverBudget (ports: TurnPorts, req: inbound.InboundRequest, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard, admission: confirmRefusal.OverBudgetAdmission): Promise<void> {
  if (await confirmRefusal.confirmOverBudget(ports, shard, request, admission, confirmTimeoutMs)) req.reply.refuse({ type: 'overBudget' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** Handles a previous turn that this shard doesn't have: copies its chain from another program's shard, or refuses the turn. */
async function continueFromOtherShard (ports: TurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard): Promise<void> {
  const previous = request.previous
  const found = previous === undefined ? undefined : await findChain.findChainAtOwners(ports, { turn: previous, account: request.account }, findChain.getSearchTimeoutMs(ports.shards, req.deadlineAt - ports.timers.monotonic()))
  // The client may have left meanwhile, or this process may be about to end.
  if (req.reply.over) return
  if (found?.type === 'found' && shard.state === 'serving') {
    const admission = shard.ledger.admitTurn(request, ports.timers.now() as types.EpochMs, found.chain)
    if (admission.type === 'admitted') {
      new TurnRun(ports, req, turn, request, shard, admission).start()
      return
    }
  }
  const search = found?.type === 'found' ? { type: found.type, turns: found.chain.length } : found
  ports.decisions.record({ event: 'turnRefused', reason: 'the turn to continue from was not found', request: request.turn, program: request.program, previous, epoch: shard.epoch, detail: { search, shard: shard.state } })
  if (found?.type === 'absent') req.reply.refuse({ type: 'unknownTurn' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** One turn in progress. */
class TurnRun {
  private readonly answer: answerStream.AnswerStream
  /** The store may be away for long: a commit that stays pending must not hold a turn that has ended. */
  private readonly reservationListener = new detachableListener.DetachableListener<ownShards.CommitOutcome>((commit) => { this.onReservationCommitted(commit) })
  /** The turn was stored before any of its answer was relayed. */
  private isStored = false

  constructor (
    private readonly ports: TurnPorts,
    private readonly req: inbound.InboundRequest,
    private readonly turn: dialects.TurnFields,
    private readonly request: turnLedger.TurnRequest,
    private readonly shard: ownShards.OwnedShard,
    private readonly admission: Extract<turnLedger.Admission, { type: 'admitted' }>
  ) {
    const body = admission.chain.length === 0 ? req.body : Buffer.concat([...admission.chain, req.body])
    const affinity = ports.promptLocations.findAffinity(turn)
    this.answer = new answerStream.AnswerStream(ports, req, { body, affinity }, admission.isCovered, {
      onHead: (upstream) => { ports.promptLocations.recordLocation(req.attempt.id, turn, upstream) },
      onComplete: () => { this.onComplete() },
      onErrorAnswer: () => { this.settleInMemory({ type: 'broken' }) },
      // Before the head is sent, the client has received no output: none arrived, or it was held back until the reservation is stored.
      onFailed: () => { this.settleInMemory({ type: req.reply.headSent ? 'broken' : 'notRun' }) }
    })
    ports.decisions.record({ event: 'turnAdmitted', request: req.attempt.id, program: turn.program, previous: turn.previous, epoch: shard.epoch, promptBytes: body.length, covered: admission.isCovered, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens })
  }

  start (): void {
    const { writes } = this.admission
    if (writes.length > 0) void this.shard.commit(writes).then(this.reservationListener.notify)
    this.answer.start()
  }

  /** Output covered by a reservation that was already stored may be relayed even if another process has since taken over the shard. */
  private onReservationCommitted (commit: ownShards.CommitOutcome): void {
    if (commit.type === 'committed') {
      this.answer.startRelaying()
      return
    }
    if (this.admission.isCovered) return
    if (this.answer.mayHaveRun) this.answer.holdToEnd(() => { void this.storeBeforeRelaying() })
    else this.answer.abort({ type: 'shardMoving', retryAfterMs: shardRetryMs })
  }

  /** The reservation was lost with the shard, so no token may be handed out before the next owner has stored the complete turn. */
  private async storeBeforeRelaying (): Promise<void> {
    this.isStored = !this.answer.isWhole || await settleTurn.settleCompletedTurn(this.ports, this.shard, { type: 'settleUnreserved', request: this.request, end: this.createEnd() }, this.req.deadlineAt)
    if (this.isStored) this.answer.startRelaying()
    else this.answer.abort({ type: 'answerLost', detail: 'another process took over the shard' })
  }

  /** The engine's answer is complete and relayed; the response ends once the turn is stored. */
  private onComplete (): void {
    const { reply } = this.req
    this.reservationListener.detach()
    if (this.isStored) {
      reply.end()
      return
    }
    const settledListener = new detachableListener.DetachableListener<boolean>((isStored) => {
      if (isStored) reply.end()
      else reply.abort()
    })
    reply.onEnd(settledListener.detach)
    void settleTurn.settleCompletedTurn(this.ports, this.shard, { type: 'settle', request: this.request, end: this.createEnd() }, this.req.deadlineAt).then(settledListener.notify)
  }

  private createEnd (): Extract<turnLedger.TurnEnd, { type: 'whole' }> {
    return { type: 'whole', input: this.req.body, output: this.answer.concatOutput(), tokens: this.answer.countTokens(this.request.maxTokens) }
  }

  private settleInMemory (end: turnLedger.TurnEnd): void {
    this.reservationListener.detach()
    // Not written to the store: the stored reservation covers it, and the program's next write includes it.
    this.shard.ledger.settleTurn(this.request, end, this.ports.timers.now() as types.EpochMs)
  }
}
