/** Serves a turn at the owner of its program: checks chain and budget, puts the prompt together, keeps what was said. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as dispatch from './dispatch.js'
import type * as dialects from './dialect.js'
import * as eventSplitter from './event-splitter.js'
import type * as inbound from './inbound.js'
import type * as promptPlaces from './prompt-places.js'
import * as settleTurn from './settle-turn.js'

export interface TurnPorts extends dispatch.DispatchPorts {
  readonly shards: ownShards.ShardOwner
  readonly places: promptPlaces.PromptPlaces
}

/** Time to come back where the shard is changing hands, in ms: a lease lapses or a handover ends within about this. */
export const shardRetryMs = 400

/** An append that is this long without an answer, in ms, says that the store is away: a slow one takes about 300. */
const stalledMs = 600
/** The longest that a refusal waits for the store to confirm it, in ms. */
const confirmMs = 400

const lineFeed = Buffer.from('\n')

/** Serves one turn on a shard that this process owns and that serves. */
export async function serveTurn (ports: TurnPorts, req: inbound.Inbound, turn: dialects.TurnFields, shard: ownShards.OwnedShard): Promise<void> {
  if (shard.unansweredMs > stalledMs) {
    ports.logger.info({ event: 'turnRefused', request: req.attempt.id, program: turn.program, epoch: shard.epoch, unansweredMs: Math.round(shard.unansweredMs) }, 'the store does not answer')
    req.reply.refuse({ type: 'storeAway', retryAfterMs: shardRetryMs })
    return
  }
  const request: turnLedger.TurnRequest = {
    turn: req.attempt.id,
    program: turn.program,
    previous: turn.previous,
    maxTokens: turn.maxTokens,
    budgetTokens: turn.budgetTokens,
    retainMs: req.route.retain?.retainMs ?? 0
  }
  const admission = shard.ledger.admit(request, ports.timers.now() as types.EpochMs)
  if (admission.type !== 'admitted') {
    await refuseTurn(ports, req, turn, shard, admission)
    return
  }
  const run = new TurnRun(ports, req, turn, request, shard)
  run.start(admission)
}

/** Says no for good only when the store confirms that nobody else may know more. */
async function refuseTurn (ports: TurnPorts, req: inbound.Inbound, turn: dialects.TurnFields, shard: ownShards.OwnedShard, admission: Exclude<turnLedger.Admission, { type: 'admitted' }>): Promise<void> {
  const late: Promise<{ readonly type: 'late' }> = timerService.sleep(ports.timers, confirmMs).then(() => ({ type: 'late' }))
  const confirmed = await Promise.race([shard.confirm(), late])
  ports.logger.info({ event: 'turnRefused', request: req.attempt.id, program: turn.program, previous: turn.previous, epoch: shard.epoch, confirmed: confirmed.type, admission }, 'turn refused')
  if (confirmed.type !== 'committed') req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
  else if (admission.type === 'unknownPrevious') req.reply.refuse({ type: 'unknownTurn' })
  else req.reply.refuse({ type: 'overBudget' })
}

/** One turn under way. */
class TurnRun {
  private readonly events = new eventSplitter.EventSplitter()
  private readonly output: Buffer[] = []
  private eventCount = 0
  private settled = false
  private sent: dispatch.Dispatch | undefined
  private limit: { cancel: () => void } | undefined
  /** Resolves when the tokens of the turn are reserved durably; nothing reaches the client before. */
  private reserved: Promise<ownShards.Commit> | undefined
  private reservedNow = false
  private head: sendHttp.Head | undefined
  private readonly held: Buffer[] = []
  private ended = false

  constructor (
    private readonly ports: TurnPorts,
    private readonly req: inbound.Inbound,
    private readonly turn: dialects.TurnFields,
    private readonly request: turnLedger.TurnRequest,
    private readonly shard: ownShards.OwnedShard
  ) {}

  start (admission: Extract<turnLedger.Admission, { type: 'admitted' }>): void {
    const { ports, req, shard } = this
    this.reserved = shard.commit([admission.write])
    void this.reserved.then((commit) => { this.onReserved(commit) })
    const body = Buffer.concat([...admission.chain, req.body])
    const preferred = ports.places.find(req.service, this.turn)
    this.sent = new dispatch.Dispatch(ports, req, { body, preferred, urgency: undefined }, {
      head: (head, upstream) => { this.onHead(head, upstream) },
      data: (chunk) => { this.onData(chunk) },
      end: () => { void this.onEnd() },
      fail: (failure) => { this.onFail(failure) }
    })
    this.limit = ports.timers.after(req.deadlineAt - ports.timers.monotonic(), () => { this.giveUp({ type: 'timeout' }) })
    req.reply.onGone(() => { this.giveUp(undefined) })
    this.sent.start()
  }

  private onReserved (commit: ownShards.Commit): void {
    if (commit.type === 'lost') {
      this.giveUp(this.sent?.ran === true ? { type: 'answerLost', detail: 'the shard changed hands' } : { type: 'shardMoving', retryAfterMs: shardRetryMs })
      return
    }
    this.reservedNow = true
    this.flush()
  }

  private onHead (head: sendHttp.Head, upstream: types.UpstreamId): void {
    this.head = head
    this.ports.places.note(this.req.service, this.turn, this.req.attempt.id, upstream)
    this.flush()
  }

  /** Passes on what has come, once the reservation is durable. */
  private flush (): void {
    if (this.head === undefined || !this.reservedNow || this.settled) return
    const { reply } = this.req
    if (!reply.headSent) reply.head(this.head.status, this.ports.dialect.answerHeaders(this.head.rawHeaders))
    for (const raw of this.held.splice(0)) this.write(raw)
    if (this.ended) void this.finish()
  }

  private write (raw: Buffer): void {
    if (this.req.reply.data(raw)) return
    this.sent?.pause()
    this.req.reply.onDrain(() => { this.sent?.resume() })
  }

  private onData (chunk: Buffer): void {
    if (this.head?.status !== 200) {
      this.held.push(chunk)
      return
    }
    for (const event of this.events.push(chunk)) {
      this.eventCount += 1
      this.output.push(event.data, lineFeed)
      this.held.push(event.raw)
    }
    this.flush()
  }

  private onEnd (): void {
    this.ended = true
    this.flush()
  }

  /** The engine's answer is complete and passed on but for its end. */
  private async finish (): Promise<void> {
    if (this.settled) return
    if (this.head?.status !== 200) {
      this.settle({ type: 'broken' })
      this.req.reply.end()
      return
    }
    if (this.events.pendingBytes > 0) {
      this.giveUp({ type: 'answerLost', detail: 'the stream ended within an event' })
      return
    }
    const end: turnLedger.TurnEnd = {
      type: 'whole',
      input: this.req.body,
      output: Buffer.concat(this.output),
      tokens: Math.min(this.request.maxTokens, this.eventCount * this.req.tokensPerEvent)
    }
    this.settled = true
    this.limit?.cancel()
    const kept = await settleTurn.settleWhole(this.ports, this.shard, this.request, end, this.req.deadlineAt)
    if (kept) this.req.reply.end()
    else this.req.reply.abort()
  }

  private onFail (failure: dispatch.DispatchFailure): void {
    this.giveUp(dispatch.refusalOf(failure))
  }

  /** Ends the turn without a whole answer; no refusal: the client is gone. */
  private giveUp (refusal: inbound.Refusal | undefined): void {
    if (this.settled) return
    const ran = this.sent?.ran ?? false
    this.sent?.cancel()
    this.settle({ type: ran ? 'broken' : 'notRun' })
    this.ports.logger.info({ event: 'turnBroken', request: this.req.attempt.id, program: this.turn.program, ran, events: this.eventCount, refusal }, 'turn ended without a whole answer')
    if (refusal === undefined) return
    if (this.req.reply.headSent) this.req.reply.abort()
    else this.req.reply.refuse(refusal)
  }

  private settle (end: turnLedger.TurnEnd): void {
    this.settled = true
    this.limit?.cancel()
    // Not stored: what is reserved durably covers it, and the next write of the program carries it.
    this.shard.ledger.end(this.request, end, this.ports.timers.now() as types.EpochMs)
  }
}
