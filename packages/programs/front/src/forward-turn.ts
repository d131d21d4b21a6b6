/** Forwards a turn to the process that owns its program, and relays the answer. */
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as dispatch from './dispatch.js'
import * as forwardHeader from './forward-header.js'
import type * as inbound from './inbound.js'
import * as lateOwner from './late-owner.js'
import type * as peerCalls from './peer-calls.js'
import type * as peerProbe from './peer-probe.js'

/** Outcome of forwarding a turn. */
export type ForwardOutcome =
  /** The request is over: the owner's answer was relayed, the reply was refused or aborted, or the client disconnected. */
  | { readonly type: 'answered' }
  /** The other process does not own the program; the turn has not run. */
  | { readonly type: 'notOwner' }
  /** The shard has another owner now; the turn has not run. */
  | { readonly type: 'moved' }
  /** A connection that had been idle was closed under the turn, which has not run; the owner may be alive. */
  | { readonly type: 'connectionLost' }
  /** The owner is alive and has not accepted the turn in time; the turn has not run. */
  | { readonly type: 'late' }
  /** No connection, or a process that does not respond; the turn has not run. `ended`: the host refused the connection, so the process has ended. */
  | { readonly type: 'unreachable', readonly detail: string, readonly ended: boolean }

/** Connect timeout for peers, in ms: network links take about one ms, so only an unreachable host takes longer. */
const connectTimeoutMs = 200
/**
 * The owner is probed if nothing has arrived from it for this long, in ms. A host that has lost power closes no
 * connection: without the probe, each turn there waits for its full timeout, and so does its client. An owner that
 * reports, or whose host accepts connections, is waited for, however late it is: giving it up would cut off an answer that
 * it may complete.
 */
const silenceThresholdMs = 400

/** Dependencies of `forwardTurn`. */
export interface ForwardPorts extends dispatch.DispatchPorts, Pick<peerCalls.PeerCallPorts, 'peerSender'> {
  readonly peerProbe: Pick<peerProbe.PeerProbe, 'isReachable'>
}

/** Resolves when the request is over, or when it is certain that the turn has not run: without `100 Continue` its body was not sent. */
export function forwardTurn (ports: ForwardPorts, req: inbound.InboundRequest, owner: lateOwner.OwnerTarget): Promise<ForwardOutcome> {
  return new Promise((resolve) => { new ForwardedTurn(ports, req, owner, resolve).start() })
}

/** One turn from the time it is sent to its owner. */
class ForwardedTurn {
  private isConfirmed = false
  private isRelaying = false
  private isFinished = false
  private lastReceivedAt = 0
  private exchange: sendHttp.Exchange | undefined
  /** Watches the owner until it has accepted the turn. */
  private ownerWatch: timerService.Subscription | undefined
  /** Watches it from then on. */
  private silenceTimer: timerService.Subscription | undefined
  private deadlineTimer: timerService.Subscription | undefined

  constructor (
    private readonly ports: ForwardPorts,
    private readonly req: inbound.InboundRequest,
    private readonly owner: lateOwner.OwnerTarget,
    private readonly resolve: (outcome: ForwardOutcome) => void
  ) {}

  start (): void {
    const { ports, req, owner } = this
    const { dialect, peerSender, timers } = ports
    const remainingMs = Math.floor(req.deadlineAt - timers.monotonic())
    this.deadlineTimer = timers.after(remainingMs, () => { this.onDeadline() })
    this.ownerWatch = lateOwner.watchOwner(ports, req.attempt.id, owner, (reason) => { this.giveUpOwner(reason) })
    req.reply.onGone(() => { this.cancel({ type: 'answered' }) })
    req.reply.setWork({ mayHaveRun: () => this.isConfirmed || this.isRelaying, end: (refusal) => { this.end(refusal) } })
    this.exchange = peerSender.send({
      address: owner.address,
      method: req.method,
      path: req.path,
      headers: [...dialect.peerHeaders(req.rawHeaders, { deadlineMs: remainingMs, caller: req.caller }), ...forwardHeader.encode(req)],
      body: req.body,
      connectTimeoutMs,
      continueTimeoutMs: owner.answerTimeoutMs,
      // An owner that reads the turn late can't tell how late: clocks of hosts differ.
      trailers: () => forwardHeader.encodeRemaining(req.deadlineAt - timers.monotonic()),
      // The owner's `100 Continue` shows that the connection is alive.
      atMostOnce: false,
      maxAnswerBytes: ports.maxAnswerBytes
    }, {
      onConfirmed: () => { this.onConfirmed() },
      onHead: (head) => { this.onHead(head) },
      onData: (chunk) => { this.onData(chunk) },
      onComplete: () => {
        req.reply.end()
        this.finish({ type: 'answered' })
      },
      onFailed: (failure) => { this.onFailed(failure) }
    })
  }

  private onConfirmed (): void {
    const { timers } = this.ports
    this.isConfirmed = true
    this.ownerWatch?.cancel()
    this.lastReceivedAt = timers.monotonic()
    this.silenceTimer = timers.every(silenceThresholdMs, () => { void this.checkOwner() })
  }

  private onHead (head: sendHttp.AnswerHead): void {
    const { dialect, timers } = this.ports
    this.lastReceivedAt = timers.monotonic()
    if (forwardHeader.isNotOwnerRefusal(head.headers)) {
      this.cancel({ type: 'notOwner' })
      return
    }
    this.ownerWatch?.cancel()
    this.isRelaying = true
    // Only an upstream signs its answers; one without a signature is the owner's own.
    this.req.reply.head(head.status, dialect.answerHeaders(head.rawHeaders), dialect.answerFacts(head).signed ? 'upstream' : 'front')
  }

  private onData (chunk: Buffer): void {
    const { reply } = this.req
    this.lastReceivedAt = this.ports.timers.monotonic()
    if (reply.data(chunk)) return
    this.exchange?.pause()
    reply.onDrain(() => { this.exchange?.resume() })
  }

  private onFailed (failure: sendHttp.SendFailure): void {
    if (failure.verdict !== 'notRun') this.loseAnswer(failure)
    else if (failure.cause === 'unconfirmed') this.finish({ type: 'late' })
    else if (failure.cause === 'reset' && failure.reused) this.finish({ type: 'connectionLost' })
    else this.finish({ type: 'unreachable', detail: failure.detail, ended: failure.cause === 'refused' })
  }

  private giveUpOwner (reason: lateOwner.GiveUpReason): void {
    this.cancel(reason === 'moved' ? { type: 'moved' } : { type: 'unreachable', detail: 'the owner does not respond', ended: false })
  }

  /** The owner has accepted the turn, and has sent nothing for a while. */
  private async checkOwner (): Promise<void> {
    const { peerProbe: probe, timers } = this.ports
    const silentSince = this.lastReceivedAt
    if (timers.monotonic() - silentSince < silenceThresholdMs || await probe.isReachable(this.owner.address)) return
    if (this.isFinished || this.lastReceivedAt !== silentSince) return
    this.exchange?.cancel()
    this.loseAnswer({ cause: 'cancelled', detail: 'the owner of the program no longer responds' })
  }

  private loseAnswer ({ cause, detail }: Pick<sendHttp.SendFailure, 'cause' | 'detail'>): void {
    const { reply, attempt } = this.req
    this.ports.decisions.record({ event: 'peerAnswerLost', request: attempt.id, peer: this.owner.address, cause, detail })
    if (this.isRelaying) reply.abort()
    else reply.refuse({ type: 'answerLost', detail: 'the connection to the owner of the program was lost' })
    this.finish({ type: 'answered' })
  }

  private onDeadline (): void {
    if (this.isConfirmed) this.end({ type: 'timeout' })
    else this.cancel({ type: 'late' })
  }

  private end (refusal: inbound.Refusal): void {
    this.exchange?.cancel()
    if (this.isRelaying) this.req.reply.abort()
    else this.req.reply.refuse(refusal)
    this.finish({ type: 'answered' })
  }

  private cancel (outcome: ForwardOutcome): void {
    this.exchange?.cancel()
    this.finish(outcome)
  }

  private finish (outcome: ForwardOutcome): void {
    this.isFinished = true
    this.req.reply.setWork(undefined)
    this.deadlineTimer?.cancel()
    this.silenceTimer?.cancel()
    this.ownerWatch?.cancel()
    this.resolve(outcome)
  }
}
