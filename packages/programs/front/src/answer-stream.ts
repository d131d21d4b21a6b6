/** Relays the streamed answer of an upstream to the client in complete events; a stream that breaks off may be resumed at another upstream. */
import * as drainServer from '@eelgrasswind/drain-server'
import type * as messageFraming from '@eelgrasswind/message-framing'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as dispatch from './dispatch.js'
import * as eventSplitter from './event-splitter.js'
import type * as inbound from './inbound.js'
import * as resumePoints from './resume-point.js'

/** The request to send to the upstream. */
export interface AnswerStreamOptions {
  readonly body: Uint8Array
  readonly affinity: trackUpstreams.PromptAffinity | undefined
}

/** Callbacks for the progress of the answer. Exactly one of `onComplete`, `onErrorAnswer` and `onFailed` is called, once. */
export interface AnswerStreamSink {
  /** An upstream has sent the head of its answer. */
  readonly onHead?: (upstream: types.UpstreamId) => void
  /** All events have been relayed; the reply to the client is still open. */
  readonly onComplete: () => void
  /** The upstream answered with an error status, and the complete answer has been relayed. */
  readonly onErrorAnswer?: () => void
  /** There is no complete answer. The client's reply has been refused or aborted, unless the client disconnected. */
  readonly onFailed?: () => void
}

const lineFeed = Buffer.from('\n')
/** Limit of an event, in bytes: an event of a model holds a few tokens. */
const maxEventBytes = 262_144
/** Limit of the comments between two events, in bytes: servers send a few bytes now and then. */
const maxCommentBytes = 16_384
/** Limit of the bytes that are held back until the turn's reservation is stored. */
const maxPendingBytes = 262_144
const okStatus = 200

function computeMaxEvents ({ attempt, tokensPerEvent }: inbound.InboundRequest): number {
  const maxTokens = attempt.turn?.maxTokens ?? 0
  return maxTokens === 0 ? Infinity : Math.ceil(maxTokens / Math.max(1, tokensPerEvent))
}

/** One streamed answer, from sending the request to the end of the last event. */
export class AnswerStream {
  private readonly events = new eventSplitter.EventSplitter()
  private readonly eventData: Buffer[] = []
  private readonly pendingChunks: Buffer[] = []
  private pendingBytes = 0
  private isAwaitingDrain = false
  /** Bytes of comments since the last event. */
  private commentBytes = 0
  /** Most events that the tokens of a turn fill; no limit where the request names none. */
  private readonly maxEvents: number
  private readonly dispatch: dispatch.Dispatch
  private answerHead: sendHttp.AnswerHead | undefined
  /** Id of the last complete event; `undefined` if it had none. */
  private lastEventId: string | undefined
  private isRelaying: boolean
  /** Whether the answer of a turn is stored, and its events are in memory until then. */
  private readonly isKept: boolean
  private hasAnswerEnded = false
  private endListener: (() => void) | undefined
  private isFinished = false
  private deadlineTimer: timerService.Subscription | undefined
  private eventCount = 0

  /** `isRelaying`: whether the answer is relayed from the start; otherwise it is buffered until `startRelaying`. */
  constructor (
    private readonly ports: dispatch.DispatchPorts,
    private readonly req: inbound.InboundRequest,
    options: AnswerStreamOptions,
    isRelaying: boolean,
    private readonly sink: AnswerStreamSink
  ) {
    this.isRelaying = isRelaying
    this.isKept = req.route.retain?.keepsTurns === true && req.attempt.turn !== undefined
    this.maxEvents = computeMaxEvents(req)
    this.dispatch = new dispatch.Dispatch(ports, req, { ...options, resumePoint: () => this.findResumePoint() }, {
      head: (head, upstream) => { this.onHead(head, upstream) },
      data: (chunk) => this.onData(chunk),
      resumed: () => { this.events.reset() },
      findDefect: (answer) => this.findDefect(answer),
      end: () => {
        this.hasAnswerEnded = true
        this.flush()
        this.endListener?.()
      },
      fail: (failure) => { this.abort(dispatch.toRefusal(failure)) }
    })
  }

  /** Whether an upstream may have worked on the request. */
  get mayHaveRun (): boolean {
    return this.dispatch.mayHaveRun
  }

  /** Tokens of the complete events so far, capped at `maxTokens`, the most that the turn may generate. */
  countTokens (maxTokens: number): number {
    return Math.min(maxTokens, this.eventCount * this.req.tokensPerEvent)
  }

  /** The data of all events, each followed by a line feed; empty if the route keeps no turns. */
  concatOutput (): Buffer {
    return Buffer.concat(this.eventData)
  }

  /** Whether the answer has ended with all of its events; not with an error status. */
  get isWhole (): boolean {
    return this.hasAnswerEnded && this.answerHead?.status === okStatus
  }

  /** Reads the answer to its end without relaying it, and calls the listener then, which may be now; not if the request ends before. */
  holdToEnd (listener: () => void): void {
    if (this.isFinished) return
    this.endListener = listener
    if (this.hasAnswerEnded) listener()
    else this.dispatch.resume()
  }

  start (): void {
    const { req, ports } = this
    this.deadlineTimer = ports.timers.after(req.deadlineAt - ports.timers.monotonic(), () => { this.abort({ type: 'timeout' }) })
    req.reply.onGone(() => { this.abort(undefined) })
    req.reply.setWork({ mayHaveRun: () => this.mayHaveRun, end: (refusal) => { this.abort(refusal) } })
    this.dispatch.start()
  }

  /** Relays the buffered part of the answer, and whatever arrives from now on. */
  startRelaying (): void {
    this.isRelaying = true
    this.dispatch.resume()
    this.flush()
  }

  /** Ends the request without a complete answer. `refusal` is `undefined` if the client has disconnected. */
  abort (refusal: inbound.Refusal | undefined): void {
    if (this.isFinished) return
    this.markFinished()
    const { mayHaveRun } = this
    this.dispatch.cancel(toCancelReason(refusal))
    this.ports.decisions.record({ event: 'streamBroken', request: this.req.attempt.id, ran: mayHaveRun, events: this.eventCount, pendingBytes: this.events.pendingBytes, reason: refusal?.type ?? 'clientGone', detail: refusal !== undefined && 'detail' in refusal ? refusal.detail : undefined })
    this.sink.onFailed?.()
    if (refusal === undefined) return
    if (this.req.reply.headSent) this.req.reply.abort()
    else this.req.reply.refuse(refusal)
  }

  private onHead (head: sendHttp.AnswerHead, upstream: types.UpstreamId): void {
    this.answerHead = head
    this.sink.onHead?.(upstream)
    this.flush()
  }

  /** Returns why the stream has more bytes than it can have, if it has. */
  private onData (chunk: Buffer): string | undefined {
    drainServer.countChunk(chunk.length)
    if (this.answerHead?.status !== okStatus) {
      this.addPending(chunk)
      this.flush()
      return undefined
    }
    for (const event of this.events.push(chunk)) {
      if (!event.isComment && this.eventCount >= this.maxEvents) return `more than ${this.maxEvents} events`
      this.addEvent(event)
      if (this.commentBytes > maxCommentBytes) return `more than ${maxCommentBytes} bytes of comments`
    }
    if (this.events.pendingBytes > maxEventBytes) return `an event exceeds ${maxEventBytes} bytes`
    this.flush()
    return undefined
  }

  /** Adds bytes to be relayed, together with those before them in the same chunk. While they are held back, the upstream has to wait beyond a limit. */
  private addPending (chunk: Buffer): void {
    const last = this.pendingChunks.at(-1)
    const isNext = last !== undefined && last.buffer === chunk.buffer && last.byteOffset + last.length === chunk.byteOffset
    if (isNext) this.pendingChunks[this.pendingChunks.length - 1] = Buffer.from(last.buffer, last.byteOffset, last.length + chunk.length)
    else this.pendingChunks.push(chunk)
    this.pendingBytes += chunk.length
    const isWaitingForStore = !this.isRelaying && this.endListener === undefined
    if (isWaitingForStore && this.pendingBytes > maxPendingBytes) this.dispatch.pause()
  }

  private addEvent (event: eventSplitter.StreamEvent): void {
    this.addPending(event.raw)
    if (event.isComment) {
      this.commentBytes += event.raw.length
      return
    }
    this.commentBytes = 0
    this.eventCount += 1
    if (this.isKept) this.eventData.push(event.data, lineFeed)
    this.lastEventId = event.id
  }

  private findResumePoint (): resumePoints.ResumePoint {
    if (this.answerHead !== undefined && this.answerHead.status !== okStatus) return { type: 'never' }
    return resumePoints.findResumePoint(this.eventCount, this.lastEventId)
  }

  private flush (): void {
    if (this.answerHead === undefined || !this.isRelaying || this.isFinished) return
    const { reply } = this.req
    if (!reply.headSent) reply.head(this.answerHead.status, this.ports.dialect.answerHeaders(this.answerHead.rawHeaders), 'upstream')
    // The reply has ended if its head could not be written.
    if (this.isFinished) return
    this.pendingBytes = 0
    for (const raw of this.pendingChunks.splice(0)) this.write(raw)
    if (this.hasAnswerEnded) this.completeAnswer(this.answerHead)
  }

  private write (raw: Buffer): void {
    if (this.req.reply.data(raw) || this.isAwaitingDrain) return
    this.isAwaitingDrain = true
    this.dispatch.pause()
    this.req.reply.onDrain(() => {
      this.isAwaitingDrain = false
      this.dispatch.resume()
    })
  }

  /** A run begins with its first event, so a stream that has none and no mark of its end broke off. */
  private findDefect (answer: messageFraming.AnswerEnd): string | undefined {
    if (this.answerHead?.status !== okStatus) return undefined
    if (this.events.pendingBytes > 0) return 'the stream ended within an event'
    return this.eventCount === 0 && answer.framing === 'connection' ? 'the stream ended before its first event' : undefined
  }

  private completeAnswer (head: sendHttp.AnswerHead): void {
    if (head.status !== okStatus) {
      this.markFinished()
      this.req.reply.end()
      this.sink.onErrorAnswer?.()
      return
    }
    this.markFinished()
    this.sink.onComplete()
  }

  private markFinished (): void {
    this.isFinished = true
    this.deadlineTimer?.cancel()
  }
}

function toCancelReason (refusal: inbound.Refusal | undefined): dispatch.CancelReason {
  switch (refusal?.type) {
    case undefined: return 'clientGone'
    case 'timeout': return 'deadline'
    default: return 'fault'
  }
}
