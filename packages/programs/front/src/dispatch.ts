/** Sends a request to an upstream of its service and fails over to other upstreams while a retry is safe and can still succeed. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as decideRetry from '@eelgrasswind/decide-retry'
import * as errors from '@eelgrasswind/errors'
import type * as messageFraming from '@eelgrasswind/message-framing'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as checkAnswer from './check-answer.js'
import type * as dialects from './dialect.js'
import type * as inbound from './inbound.js'
import type * as resumePoints from './resume-point.js'
import type * as retryBudget from './retry-budget.js'
import type * as upstreamCrashes from './upstream-crashes.js'
import type * as upstreamHealth from './upstream-health.js'

/** Dependencies for sending requests to upstreams. */
export interface DispatchPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly sender: sendHttp.Sender
  readonly dialect: dialects.Dialect
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly health: upstreamHealth.UpstreamHealth
  /** Limits how many upstreams may end under a request. */
  readonly crashes: upstreamCrashes.CrashLimit
  /** Limits retries of requests whose first attempt may still be running. */
  readonly retryBudget: retryBudget.RetryBudget
  /** Requests that other front processes have in flight at the upstreams. */
  readonly peerLoads: trackUpstreams.PeerLoads
  /** Age of the upstream list, in ms. */
  readonly listAgeMs: () => number
  /** Limit of the body of an answer, in bytes. */
  readonly maxAnswerBytes: number
}

/** Request body and upstream preference of a dispatch. */
export interface DispatchOptions {
  readonly body: Uint8Array
  /** Which parts of the prompt an upstream may have cached; `undefined` if no part of the request can be cached. */
  readonly affinity: trackUpstreams.PromptAffinity | undefined
  /** Where another upstream may continue the answer, for streams. */
  readonly resumePoint?: () => resumePoints.ResumePoint
  /** Whether the sink passes on no part of an answer before its end, so that an answer that breaks off may be replaced. */
  readonly isBuffered?: boolean
}

/** Receives the result of a dispatch. */
export interface DispatchSink {
  /** Head of an accepted answer: signed, and for this request id. Where answers are buffered, a further head replaces what was received before. */
  readonly head: (head: sendHttp.AnswerHead, upstream: types.UpstreamId) => void
  /** Returns why the answer has more bytes than it can have, if it has; the upstream is then left. */
  readonly data: (chunk: Buffer) => string | undefined
  /** Another upstream resumes the stream after the last complete event; discard any partial event. */
  readonly resumed?: () => void
  readonly end: () => void
  /** Returns why an answer that has ended can't be whole, by its content; `undefined` if it may be. Without this callback every one may be. */
  readonly findDefect?: (answer: messageFraming.AnswerEnd) => string | undefined
  /** No answer arrived, or it ended early after its head. */
  readonly fail: (failure: DispatchFailure) => void
}

/** Why a dispatch failed, and whether the request may have run. */
export interface DispatchFailure {
  readonly failure: errors.Failure
  /** Whether any upstream may have processed the request; false guarantees that none did and none will. */
  readonly mayHaveRun: boolean
}

/** Why a request is cancelled: its client has disconnected, its deadline has passed, or this process can't serve it any more. */
export type CancelReason = 'clientGone' | 'deadline' | 'fault'

/** Connect timeout for an upstream, in ms. A network round trip takes about 1 ms, so only an unreachable host takes longer. */
const connectTimeoutMs = 250
/** Retry-after when every upstream is full, in ms: about the duration of one request to a plain service. */
const queueFullRetryMs = 150
/** Retry-after when no upstream is known or reachable, in ms. A crashed upstream is replaced within a second or two. */
const noUpstreamRetryMs = 500
/** Minimum time before the deadline for another attempt, in ms; with less, no answer could arrive in time. */
const minRemainingMs = 5

/**
 * Silence timeout as a multiple of the route's latency objective. An upstream that sends this process no data at all for
 * that long after a request was sent is suspected: idempotent requests fail over and new requests avoid it.
 */
const silenceObjectiveFactor = 1.5
/** Bounds of the silence timeout, in ms: above the wait in a queue of short requests, and below client timeouts. */
const minSilenceMs = 500
const maxSilenceMs = 1_000
/**
 * Silence timeout once an answer has begun, in ms. It is half of the 2 s after which clients abandon a stream, which
 * leaves the other half for another upstream to process the prompt again.
 */
const streamSilenceMs = 1_000

const okStatus = 200
const minServerErrorStatus = 500

const unlimitedRetries: decideRetry.RetryAllowance = { retriesLeft: Infinity }

/** One request and its attempts at successive upstreams. It is retried only if it is idempotent or has not run. */
export class Dispatch {
  private readonly triedUpstreams = new Set<types.UpstreamId>()
  private attemptCount = 0
  private mayHaveStarted = false
  /** The current attempt was sent and has not failed. */
  private isInFlight = false
  private exchange: sendHttp.Exchange | undefined
  private isFinished = false
  private isCancelled = false
  /** The head of an answer was passed to the sink, and can't be replaced. */
  private hasHead = false
  /** Takes the current attempt off its upstream's count of running requests. */
  private releaseSlot: (() => void) | undefined
  private silenceTimer: timerService.Subscription | undefined
  /** The upstream of the last attempt, and when it was sent, in monotonic ms. */
  private lastSend: upstreamCrashes.BrokenSend | undefined
  /** That upstream sends nothing to this process. */
  private isSilent = false

  constructor (
    private readonly ports: DispatchPorts,
    private readonly req: inbound.InboundRequest,
    private readonly options: DispatchOptions,
    private readonly sink: DispatchSink
  ) {}

  /** Whether an upstream may have processed the request. */
  get mayHaveRun (): boolean {
    return this.mayHaveStarted || this.isInFlight
  }

  /** Sends the first attempt. */
  start (): void {
    this.startAttempt()
  }

  /** Cancels the request; the sink is not called again. */
  cancel (why: CancelReason): void {
    if (!this.isFinished && this.isInFlight) this.noteGivenUp(why)
    this.ports.crashes.release(this.req)
    this.isFinished = true
    this.isCancelled = true
    this.silenceTimer?.cancel()
    this.releaseSlot?.()
    this.exchange?.cancel()
  }

  /** Stops reading the answer, to apply backpressure. */
  pause (): void {
    this.exchange?.pause()
  }

  /** Continues reading the answer after `pause`. */
  resume (): void {
    this.exchange?.resume()
  }

  /** Whether upstreams have ended under the request decides on a further attempt, so one waits until that is known. */
  private startAttempt (): void {
    this.ports.crashes.permitSend(this.req, (limit) => {
      if (this.isFinished) this.ports.crashes.release(this.req)
      else if (limit === undefined) this.chooseAndSend()
      else this.refuse(limit)
    })
  }

  private refuse (limit: upstreamCrashes.ReachedLimit): void {
    this.ports.decisions.record({ event: 'crashLimited', request: this.req.attempt.id, ...limit, ran: this.mayHaveStarted })
    this.fail({ tag: 'crashLimited', verdict: 'notRun', message: 'too many upstreams have ended under this request', retryAfterMs: limit.retryAfterMs })
  }

  private chooseAndSend (): void {
    const remainingMs = this.req.deadlineAt - this.ports.timers.monotonic()
    if (remainingMs < minRemainingMs) {
      this.fail({ tag: 'timeout', verdict: this.mayHaveStarted ? 'mayHaveRun' : 'notRun', message: 'deadline is too close for another attempt', afterMs: 0 })
      return
    }
    const upstream = this.chooseUntried()
    if (upstream === undefined) {
      const retryAfterMs = this.triedUpstreams.size > 0 ? queueFullRetryMs : noUpstreamRetryMs
      this.fail({ tag: 'overloaded', verdict: 'notRun', message: 'no eligible upstream', retryAfterMs })
      return
    }
    this.sendTo(upstream, remainingMs)
  }

  /** An upstream that this request was not sent to and that can take it; `undefined` if there is none. */
  private chooseUntried (): trackUpstreams.Upstream | undefined {
    const { timers, upstreams, peerLoads } = this.ports
    return trackUpstreams.chooseUpstream({
      candidates: upstreams.getByService(this.req.service),
      tried: this.triedUpstreams,
      affinity: this.options.affinity,
      othersRunning: (id) => peerLoads.getRunning(id),
      now: timers.monotonic(),
      random: Math.random
    })
  }

  private sendTo (upstream: trackUpstreams.Upstream, remainingMs: number): void {
    const { crashes, dialect, health, retryBudget: budget, sender, timers } = this.ports
    const { body } = this.options
    const id = upstream.listed.id
    this.triedUpstreams.add(id)
    this.attemptCount += 1
    upstream.running += 1
    this.releaseSlot = () => {
      upstream.running -= 1
      this.releaseSlot = undefined
    }
    this.ports.decisions.record({
      event: 'sent',
      request: this.req.attempt.id,
      attempt: this.attemptCount,
      upstream: id,
      preferred: id === this.options.affinity?.holder,
      running: upstream.running,
      othersRunning: this.ports.peerLoads.getRunning(id),
      candidates: this.ports.upstreams.getByService(this.req.service).length,
      listAgeMs: Math.round(this.ports.listAgeMs()),
      leftMs: Math.round(remainingMs)
    })
    const sentAt = timers.monotonic()
    this.restartSilenceTimer(upstream, sentAt, this.computeSilenceTimeoutMs())
    let isAccepted = false
    let status = 0
    let isAwaitingFirstBytes = true
    const noteFirstBytes = (): void => {
      if (isAwaitingFirstBytes) health.noteFirstBytes(upstream, this.req.route, timers.monotonic() - sentAt)
      isAwaitingFirstBytes = false
    }
    const failAttempt = (failure: errors.Failure, reused?: boolean, isEndless = false): void => {
      this.silenceTimer?.cancel()
      if (isEndless) health.noteEndlessAnswer(upstream)
      else health.noteFailure(upstream)
      if (failure.verdict !== 'notRun') this.noteBroken(isAccepted || reused === false)
      if (!isAccepted || this.canFailOver()) {
        this.onAttemptFailed(upstream, failure, reused)
        return
      }
      this.releaseSlot?.()
      this.fail(failure)
    }
    // An upstream that has ended already refuses a new connection, so that it does not count as ended under this request.
    const newConnection = crashes.isSuspected(this.req)
    this.lastSend = { upstream, sentAt, wasAlive: newConnection }
    this.isSilent = false
    health.noteSent(upstream)
    if (this.attemptCount === 1) budget.creditFirstAttempt()
    this.isInFlight = true
    this.exchange = sender.send({
      address: upstream.listed.address,
      method: this.req.method,
      path: this.req.path,
      headers: dialect.upstreamHeaders(this.req.rawHeaders, { deadlineMs: Math.floor(remainingMs), upstream: upstream.listed.name, bodyBytes: body.length, resumeAfter: this.getResumeId(), caller: this.req.caller }),
      body,
      connectTimeoutMs,
      continueTimeoutMs: undefined,
      atMostOnce: this.req.route.repeatability === 'atMostOnce',
      maxAnswerBytes: this.ports.maxAnswerBytes,
      newConnection
    }, {
      onHead: (head) => {
        this.restartSilenceTimer(upstream, sentAt, streamSilenceMs)
        trackUpstreams.noteActivity(upstream, timers.monotonic())
        const rejection = checkAnswer.checkAnswer(dialect.answerFacts(head), head, { id: this.req.attempt.id, isTurn: this.isTurn() }) ?? this.checkResumedAnswer(head)
        if (rejection === undefined) {
          // The error is relayed unchanged but counts against the upstream: frequent errors lead to its ejection.
          if (head.status >= minServerErrorStatus) health.noteFailedRequest(upstream)
          isAccepted = true
          status = head.status
          this.mayHaveStarted = true
          this.relayHead(head, id)
          return
        }
        this.silenceTimer?.cancel()
        this.leaveAnswer(rejection.reason)
        this.noteRejection(upstream, rejection.reason)
        this.onAttemptFailed(upstream, rejection.failure)
      },
      onData: (chunk) => {
        const now = timers.monotonic()
        trackUpstreams.noteActivity(upstream, now)
        this.isSilent = false
        if (!isAccepted) return
        noteFirstBytes()
        this.restartSilenceTimer(upstream, now, streamSilenceMs)
        const defect = this.sink.data(chunk)
        if (defect === undefined) return
        this.exchange?.cancel()
        failAttempt({ tag: 'answerBroken', verdict: 'mayHaveRun', message: defect, detail: 'endless' }, undefined, true)
      },
      onComplete: (answer) => {
        if (!isAccepted) return
        const defect = this.sink.findDefect?.(answer)
        this.recordAnswerEnd(id, answer, defect === undefined)
        if (defect !== undefined) {
          failAttempt({ tag: 'answerBroken', verdict: 'mayHaveRun', message: defect, detail: 'truncated' })
          return
        }
        this.silenceTimer?.cancel()
        noteFirstBytes()
        // The upstream has answered: cancelling from now on does not count as giving it up.
        this.isInFlight = false
        this.releaseSlot?.()
        trackUpstreams.noteSuccess(upstream)
        this.noteAnswered(status)
        crashes.release(this.req)
        this.sink.end()
      },
      onFailed: (failure) => {
        if (isAccepted && failure.answer !== undefined) this.recordAnswerEnd(id, failure.answer, false)
        if (failure.verdict !== 'notRun') {
          failAttempt({ tag: 'answerBroken', verdict: 'mayHaveRun', message: failure.cause, detail: failure.detail }, failure.reused, failure.cause === 'endless')
          return
        }
        // A request that was never sent does not use up an attempt.
        this.attemptCount -= 1
        if (failure.cause === 'refused') crashes.noteEnded(upstream)
        failAttempt({ tag: 'upstreamUnavailable', verdict: 'notRun', message: failure.detail, retryAfterMs: 0 }, failure.reused)
      }
    })
  }

  /** Records the end of an answer unless a length or the last chunk showed that it was whole. */
  private recordAnswerEnd (upstream: types.UpstreamId, answer: messageFraming.AnswerEnd, whole: boolean): void {
    if (whole && answer.framing !== 'connection') return
    this.ports.decisions.record({ event: 'answerEnded', request: this.req.attempt.id, upstream, ...answer, whole })
  }

  /** Passes on the head of the first answer. The head of a resumed stream is dropped, as the client already has one. */
  private relayHead (head: sendHttp.AnswerHead, upstream: types.UpstreamId): void {
    const { hasHead: isResumed } = this
    this.hasHead = this.options.isBuffered !== true
    if (isResumed) this.sink.resumed?.()
    else this.sink.head(head, upstream)
  }

  /** Whether the request may be sent to another upstream: after a partial answer only if the stream is resumable, before that if it is idempotent. */
  private canFailOver (): boolean {
    const { repeatability, stream, maxAttempts } = this.req.route
    // The last permitted attempt keeps waiting, as its upstream may still answer.
    if (this.attemptCount >= maxAttempts) return false
    if (!this.hasHead) return repeatability === 'idempotent'
    return stream?.resumable === true && this.options.resumePoint?.().type !== 'never'
  }

  /** Id of the event after which the next attempt resumes the stream; `undefined` if it begins anew. */
  private getResumeId (): string | undefined {
    const point = this.options.resumePoint?.()
    return point?.type === 'after' ? point.eventId : undefined
  }

  private isTurn (): boolean {
    return this.req.route.stream !== undefined && this.req.attempt.turn !== undefined
  }

  /** Rejects the answer to a resumed stream if it is not a stream, that is, if its status is not 200. */
  private checkResumedAnswer (head: sendHttp.AnswerHead): checkAnswer.AnswerRejection | undefined {
    if (!this.hasHead || head.status === okStatus) return undefined
    return checkAnswer.rejectAsFaulty('stream was not resumed', String(head.status))
  }

  /** Restarts the silence timeout, in ms. */
  private restartSilenceTimer (upstream: trackUpstreams.Upstream, waitStartedAt: number, timeoutMs: number): void {
    this.silenceTimer?.cancel()
    this.silenceTimer = this.ports.timers.after(timeoutMs, () => { this.onSilenceTimeout(upstream, waitStartedAt, timeoutMs) })
  }

  private computeSilenceTimeoutMs (): number {
    return Math.min(maxSilenceMs, Math.max(minSilenceMs, this.req.route.objectiveMs * silenceObjectiveFactor))
  }

  /**
   * No data arrived within the silence timeout. If the upstream has sent data for other requests, this one may just be
   * slow: it fails over only if the retry budget permits, so that retries don't add load to an overloaded service.
   * Without another upstream that can take the request, its answer may still come from this one.
   */
  private onSilenceTimeout (upstream: trackUpstreams.Upstream, waitStartedAt: number, timeoutMs: number): void {
    if (this.isFinished) return
    const { health, retryBudget: budget, timers } = this.ports
    const isRetryAllowed = this.canFailOver()
    const canMove = isRetryAllowed && this.chooseUntried() !== undefined
    if (upstream.lastActivityAt <= waitStartedAt) {
      if (!this.isSilent) health.noteUnresponsive(upstream)
    } else if (canMove && this.req.route.stream === undefined && budget.trySpend()) health.noteFailedRequest(upstream)
    else {
      // A stream keeps its place in the upstream's queue; elsewhere it would start at the end of another queue. The upstream may still stop responding, so keep watching.
      this.restartSilenceTimer(upstream, timers.monotonic(), timeoutMs)
      return
    }
    if (!this.isSilent) this.ports.decisions.record({ event: 'upstreamSilent', request: this.req.attempt.id, upstream: upstream.listed.id, afterMs: Math.round(timers.monotonic() - waitStartedAt) })
    this.isSilent = true
    if (!canMove) {
      // Another upstream may become able to take the request.
      if (isRetryAllowed) this.restartSilenceTimer(upstream, timers.monotonic(), timeoutMs)
      return
    }
    this.exchange?.cancel()
    this.noteBroken()
    this.onAttemptFailed(upstream, { tag: 'upstreamUnavailable', verdict: 'mayHaveRun', message: 'no data within the silence timeout', retryAfterMs: 0 })
  }

  /** The last attempt ended without an answer, and its upstream may have ended. */
  private noteBroken (wasAlive = false): void {
    if (this.lastSend === undefined) return
    this.ports.crashes.noteBroken(this.req, { ...this.lastSend, wasAlive: wasAlive || this.lastSend.wasAlive })
  }

  /** The current attempt is cancelled. A fault that it is cancelled for may be shared by its upstream. */
  private noteGivenUp (why: CancelReason): void {
    if (this.lastSend === undefined) return
    const { upstream, sentAt } = this.lastSend
    const now = this.ports.timers.monotonic()
    this.ports.decisions.record({ event: 'sendGivenUp', request: this.req.attempt.id, upstream: upstream.listed.id, why, sentAgoMs: Math.round(now - sentAt), quietMs: Math.round(now - upstream.lastActivityAt) })
    const isQuiet = upstream.lastActivityAt < sentAt
    if (why === 'fault' || this.isSilent || (why === 'deadline' && isQuiet) || this.ports.crashes.isSuspected(this.req)) this.noteBroken()
    else this.ports.crashes.noteGivenUp(this.req, this.lastSend)
  }

  /**
   * The body of a rejected answer is not needed. The connection of a faulty one stays, so that its end is noticed; a full
   * upstream has no room for idle connections.
   */
  private leaveAnswer (reason: checkAnswer.AnswerRejection['reason']): void {
    if (reason === 'faulty') this.exchange?.discard()
    else this.exchange?.cancel()
    this.exchange = undefined
  }

  /** The upstream answered the request whole, which shows that it goes on unless the answer is a failure. */
  private noteAnswered (status: number): void {
    if (status >= minServerErrorStatus) this.noteFailedAnswer()
    else this.ports.crashes.noteAnswered(this.req)
  }

  /** The upstream answered with a failure; the answer was read, or is not read further. */
  private noteFailedAnswer (): void {
    if (this.lastSend !== undefined) this.ports.crashes.noteFailedAnswer(this.req, { ...this.lastSend, wasAlive: true })
  }

  /** Updates the health of the upstream by why its answer was rejected. */
  private noteRejection (upstream: trackUpstreams.Upstream, reason: checkAnswer.AnswerRejection['reason']): void {
    const { crashes, health, timers } = this.ports
    switch (reason) {
      case 'full': return trackUpstreams.noteQueueFull(upstream, timers.monotonic())
      case 'replaced':
        health.noteFailure(upstream)
        return crashes.noteEnded(upstream)
      case 'faulty':
        health.noteFailedRequest(upstream)
        return this.noteFailedAnswer()
    }
  }

  private onAttemptFailed (upstream: trackUpstreams.Upstream, failure: errors.Failure, reused?: boolean): void {
    this.releaseSlot?.()
    this.isInFlight = false
    if (this.isFinished) return
    if (failure.verdict !== 'notRun') this.mayHaveStarted = true
    const now = this.ports.timers.monotonic()
    const decision = decideRetry.decideRetry({
      failure,
      idempotent: this.req.route.repeatability === 'idempotent',
      attempt: this.attemptCount,
      programBudget: unlimitedRetries,
      processBudget: unlimitedRetries,
      now,
      deadline: this.req.deadlineAt,
      random: Math.random
    }, { maxAttempts: this.req.route.maxAttempts, firstWaitMs: 0, maxWaitMs: 0 })
    this.ports.decisions.record({
      event: 'sendFailed',
      request: this.req.attempt.id,
      upstream: upstream.listed.id,
      attempt: this.attemptCount,
      failure: { tag: failure.tag, verdict: failure.verdict, message: failure.message },
      reused,
      next: decision.type === 'retry' ? 'retry' : decision.reason,
      leftMs: Math.round(this.req.deadlineAt - now)
    })
    if (decision.type === 'retry') this.startAttempt()
    else this.fail(failure)
  }

  private fail (failure: errors.Failure): void {
    if (this.isFinished) return
    this.isFinished = true
    // The client may send the request again, to another process, as soon as it is told: by then that process has to know which upstreams ended.
    this.ports.crashes.release(this.req, () => {
      if (!this.isCancelled) this.sink.fail({ failure, mayHaveRun: this.mayHaveStarted })
    })
  }
}

/** Maps a failed dispatch to the refusal for the client. */
export function toRefusal ({ failure, mayHaveRun }: DispatchFailure): inbound.Refusal {
  if (failure.tag === 'timeout') return mayHaveRun ? { type: 'timeout' } : { type: 'upstreamsFull', retryAfterMs: queueFullRetryMs }
  if (mayHaveRun) return { type: 'answerLost', detail: failure.message }
  if (failure.tag === 'crashLimited') return { type: 'crashLimit', retryAfterMs: failure.retryAfterMs }
  return { type: 'upstreamsFull', retryAfterMs: errors.getRetryAfterMs(failure) || queueFullRetryMs }
}
