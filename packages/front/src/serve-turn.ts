/** Serves a turn at the owner of its program: checks chain and budget, puts the prompt together, keeps what was said. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as dispatch from './dispatch.js'
import type * as dialects from './dialect.js'
import * as eventSplitter from './event-splitter.js'
import * as findChain from './find-chain.js'
import type * as inbound from './inbound.js'
import type * as promptPlaces from './prompt-places.js'
import * as settleTurn from './settle-turn.js'

/** What it takes to serve turns as the owner of their programs. */
export interface TurnPorts extends dispatch.DispatchPorts {
  readonly shards: ownShards.ShardOwner
  readonly places: promptPlaces.PromptPlaces
}

/** Time to come back where the shard is changing hands, in ms: a lease lapses or a handover ends within about this. */
export const shardRetryMs = 400

/** An append that is this long without an answer, in ms, says that the store is away: a slow one takes about 300. */
const stalledMs = 600
/** The longest that a refusal waits for the store and the other owners to confirm it, in ms. */
const confirmMs = 500

const lineFeed = Buffer.from('\n')

/** Serves one turn on a shard that this process owns and that serves. */
export async function serveTurn (ports: TurnPorts, req: inbound.Inbound, turn: dialects.TurnFields, shard: ownShards.OwnedShard): Promise<void> {
  if (shard.unansweredMs > stalledMs) {
    ports.decisions.note({ event: 'turnRefused', reason: 'the store does not answer', request: req.attempt.id, program: turn.program, epoch: shard.epoch, detail: { unansweredMs: Math.round(shard.unansweredMs) } })
    req.reply.refuse({ type: 'storeAway', retryAfterMs: outageRetryMs })
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
  const now = ports.timers.now() as types.EpochMs
  const admission = shard.ledger.admit(request, now)
  switch (admission.type) {
    case 'admitted':
      new TurnRun(ports, req, turn, request, shard).start(admission, [])
      return
    case 'overBudget':
      await refuseOverBudget(ports, req, request, shard, admission)
      return
    case 'unknownPrevious':
      await continueElsewhere(ports, req, turn, request, shard)
  }
}

/**
 * When to come back while the store is away, in ms: a store that has left an append unanswered for `stalledMs` is away
 * for seconds. Clients that come back after a second outlast an outage of 3.5 s with their six tries, against 1.7 s at 0.4 s.
 */
const outageRetryMs = 1_000

/** A final refusal is true only if the store confirms that nobody else may know more. */
async function refuseOverBudget (ports: TurnPorts, req: inbound.Inbound, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard, admission: turnLedger.Admission): Promise<void> {
  const confirmed = await withinTime(ports, shard.confirm())
  ports.decisions.note({ event: 'turnRefused', reason: 'over budget', request: request.turn, program: request.program, epoch: shard.epoch, detail: { confirmed: confirmed?.type, admission, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens } })
  if (confirmed?.type === 'committed') req.reply.refuse({ type: 'overBudget' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** The turn before is not in this shard: it may be another program's, or not exist at all. */
async function continueElsewhere (ports: TurnPorts, req: inbound.Inbound, turn: dialects.TurnFields, request: turnLedger.TurnRequest, shard: ownShards.OwnedShard): Promise<void> {
  const previous = request.previous
  const found = previous === undefined ? undefined : await withinTime(ports, findChain.findEverywhere(ports, previous))
  if (found?.type === 'found' && shard.state === 'serving') {
    const copied = shard.ledger.importChain(found.chain)
    const admission = shard.ledger.admit(request, ports.timers.now() as types.EpochMs)
    if (admission.type === 'admitted') {
      new TurnRun(ports, req, turn, request, shard).start(admission, copied)
      return
    }
  }
  ports.decisions.note({ event: 'turnRefused', reason: 'the turn to continue from was not found', request: request.turn, program: request.program, previous, epoch: shard.epoch, detail: { found } })
  if (found?.type === 'absent') req.reply.refuse({ type: 'unknownTurn' })
  else req.reply.refuse({ type: 'shardMoving', retryAfterMs: shardRetryMs })
}

/** The result, or `undefined` where it takes too long for a refusal to wait for. */
function withinTime<T> (ports: TurnPorts, result: Promise<T>): Promise<T | undefined> {
  return Promise.race([result, timerService.sleep(ports.timers, confirmMs).then(() => undefined)])
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

  /** Copied: records of another shard's chain that the turn continues from. */
  start (admission: Extract<turnLedger.Admission, { type: 'admitted' }>, copied: readonly turnLedger.LedgerWrite[]): void {
    const { ports, req, shard } = this
    this.reserved = shard.commit([...copied, admission.write])
    void this.reserved.then((commit) => { this.onReserved(commit) })
    const body = Buffer.concat([...admission.chain, req.body])
    ports.decisions.note({ event: 'turnAdmitted', request: req.attempt.id, program: this.turn.program, previous: this.turn.previous, epoch: shard.epoch, promptBytes: body.length, copied: copied.length })
    const affinity = ports.places.find(this.turn)
    this.sent = new dispatch.Dispatch(ports, req, { body, affinity }, {
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
    this.ports.places.note(this.req.attempt.id, upstream)
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
    this.ports.decisions.note({ event: 'turnBroken', request: this.req.attempt.id, program: this.turn.program, ran, events: this.eventCount, reason: refusal?.type ?? 'clientGone' })
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
