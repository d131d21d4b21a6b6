/** Serves a turn that is kept at the owner of its program: checks chain and budget, puts the prompt together, keeps what was said. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as answerStream from './answer-stream.js'
import * as confirmRefusal from './confirm-refusal.js'
import type * as dispatch from './dispatch.js'
import type * as dialects from './dialect.js'
import * as findChain from './find-chain.js'
import type * as inbound from './inbound.js'
import type * as programAdmission from './program-admission.js'
import type * as promptLocations from './prompt-locations.js'
import * as settleTurn from './settle-turn.js'
import * as storeOutage from './store-outage.js'

/** What it takes to serve turns as the owner of their programs. */
export interface TurnPorts extends dispatch.DispatchPorts {
  readonly shards: ownShards.ShardOwner
  readonly promptLocations: promptLocations.PromptLocations
  readonly deferredTurns: storeOutage.DeferredTurns
  readonly admission: Pick<programAdmission.ProgramAdmission, 'admits' | 'notePrompt'>
}

/** Time to come back where the shard is changing hands, in ms: a lease lapses or a handover ends within about this. */
export const shardRetryMs = 400

/** The longest that a refusal waits for the store and the other owners to confirm it, in ms. */
const confirmMs = 500

/** Serves one turn on a shard that this process owns and that serves. */
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
  if (storeOutage.isAway(shard) && !ports.deferredTurns.mayRun(request.program, request.previous, ports.timers.monotonic())) {
    ports.decisions.note({ event: 'turnRefused', reason: 'the store does not answer', request: req.attempt.id, program: turn.program, epoch: shard.epoch, detail: { unansweredMs: Math.round(shard.unansweredMs) } })
    req.reply.refuse({ type: 'storeAway', retryAfterMs: storeOutage.retryMs })
    return
  }
  if (shard.ledger.isNewProgram(request.program) && !ports.admission.admits(request, req.service)) {
    req.reply.refuse({ type: 'upstreamsFull', retryAfterMs: admitProgram.loadRetryMs })
    return
  }
  ports.admission.notePrompt(req.service, turn.promptTokens)
  const now = ports.timers.now() as types.EpochMs
  const admission = shard.ledger.admitTurn(request, now)
  switch (admission.type) {
    case 'admitted':
      new TurnRun(ports, req, turn, request, shard, admission).start([])
      return
    case 'overBudget':
      await refuseOverBudget(ports, req, request, shard, admission)
      return
    case 'unknownPrevious':
      await continueElsewhere(ports, req, turn, request, shard)
  }
}

async function refuseOverBudget (ports: TurnPorts, req: inbound.InboundRequest, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard, admission: confirmRefusal.OverBudget): Promise<void> {
  if (await confirmRefusal.confirmOverBudget(ports, shard, request, admission, confirmMs)) req.reply.refuse({ type: 'overBudget' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** The turn before is not in this shard: it may be another program's, or not exist at all. */
async function continueElsewhere (ports: TurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard): Promise<void> {
  const previous = request.previous
  const found = previous === undefined ? undefined : await timerService.within(ports.timers, findChain.findEverywhere(ports, { turn: previous, account: request.account }), confirmMs)
  if (found?.type === 'found' && shard.state === 'serving') {
    const copied = shard.ledger.importChain(found.chain)
    const admission = shard.ledger.admitTurn(request, ports.timers.now() as types.EpochMs)
    if (admission.type === 'admitted') {
      new TurnRun(ports, req, turn, request, shard, admission).start(copied)
      return
    }
  }
  ports.decisions.note({ event: 'turnRefused', reason: 'the turn to continue from was not found', request: request.turn, program: request.program, previous, epoch: shard.epoch, detail: { found } })
  if (found?.type === 'absent') req.reply.refuse({ type: 'unknownTurn' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** One turn under way. */
class TurnRun {
  private readonly answer: answerStream.AnswerStream

  constructor (
    private readonly ports: TurnPorts,
    private readonly req: inbound.InboundRequest,
    private readonly turn: dialects.TurnFields,
    private readonly request: turnLedger.TurnRequest,
    private readonly shard: ownShards.OwnedShard,
    private readonly admission: Extract<turnLedger.Admission, { type: 'admitted' }>
  ) {
    const body = admission.chain.length === 0 ? req.body : Buffer.concat([...admission.chain, req.body])
    const affinity = ports.promptLocations.find(turn)
    this.answer = new answerStream.AnswerStream(ports, req, { body, affinity }, admission.isCovered, {
      onHead: (upstream) => { ports.promptLocations.note(req.attempt.id, turn, upstream) },
      onComplete: () => { void this.onWhole() },
      onErrorAnswer: () => { this.settle({ type: 'broken' }) },
      // Of what was held until its tokens were counted, or never made, nothing was handed out.
      onFailed: () => { this.settle({ type: req.reply.headSent ? 'broken' : 'notRun' }) }
    })
    ports.decisions.note({ event: 'turnAdmitted', request: req.attempt.id, program: turn.program, previous: turn.previous, epoch: shard.epoch, promptBytes: body.length, covered: admission.isCovered, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens })
  }

  /** Copied: records of another shard's chain that the turn continues from. */
  start (copied: readonly turnLedger.LedgerWrite[]): void {
    const writes = [...copied, ...this.admission.writes]
    if (writes.length > 0) void this.shard.commit(writes).then((commit) => { this.onReserved(commit) })
    this.answer.start()
  }

  /** Tokens that the store counted before may be handed out also where another process has taken the shard over since. */
  private onReserved (commit: ownShards.CommitOutcome): void {
    if (commit.type === 'committed') this.answer.startRelaying()
    else if (!this.admission.isCovered) this.answer.abort(this.answer.mayHaveRun ? { type: 'answerLost', detail: 'the shard changed hands' } : { type: 'shardMoving', retryAfterMs: shardRetryMs })
  }

  /** The engine's answer is complete and passed on but for its end. */
  private async onWhole (): Promise<void> {
    const end: Extract<turnLedger.TurnEnd, { type: 'whole' }> = { type: 'whole', input: this.req.body, output: this.answer.concatOutput(), tokens: this.answer.countTokens(this.request.maxTokens) }
    const kept = await settleTurn.settleWhole(this.ports, this.shard, this.request, end, this.req.deadlineAt)
    if (kept) this.req.reply.end()
    else this.req.reply.abort()
  }

  private settle (end: turnLedger.TurnEnd): void {
    // Not stored: what is reserved durably covers it, and the next write of the program carries it.
    this.shard.ledger.settleTurn(this.request, end, this.ports.timers.now() as types.EpochMs)
  }
}
