/** Relays the streamed answer of an upstream to the client in complete events; a stream that breaks off may be resumed at another upstream. */
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
const okStatus = 200

/** One streamed answer, from sending the request to the end of the last event. */
export class AnswerStream {
  private readonly events = new eventSplitter.EventSplitter()
  private readonly eventData: Buffer[] = []
  private readonly pendingChunks: Buffer[] = []
  private readonly dispatch: dispatch.Dispatch
  private answerHead: sendHttp.AnswerHead | undefined
  /** Id of the last complete event; `undefined` if it had none. */
  private lastEventId: string | undefined
  private isRelaying: boolean
  private hasAnswerEnded = false
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
    this.dispatch = new dispatch.Dispatch(ports, req, { ...options, resumePoint: () => this.findResumePoint() }, {
      head: (head, upstream) => { this.onHead(head, upstream) },
      data: (chunk) => { this.onData(chunk) },
      resumed: () => { this.events.reset() },
      findDefect: (answer) => this.findDefect(answer),
      end: () => {
        this.hasAnswerEnded = true
        this.flush()
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

  start (): void {
    const { req, ports } = this
    this.deadlineTimer = ports.timers.after(req.deadlineAt - ports.timers.monotonic(), () => { this.abort({ type: 'timeout' }) })
    req.reply.onGone(() => { this.abort(undefined) })
    this.dispatch.start()
  }

  /** Relays the buffered part of the answer, and whatever arrives from now on. */
  startRelaying (): void {
    this.isRelaying = true
    this.flush()
  }

  /** Ends the request without a complete answer. `refusal` is `undefined` if the client has disconnected. */
  abort (refusal: inbound.Refusal | undefined): void {
    if (this.isFinished) return
    this.markFinished()
    const { mayHaveRun } = this
    this.dispatch.cancel(refusal?.type === 'answerLost')
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

  private onData (chunk: Buffer): void {
    if (this.answerHead?.status !== okStatus) {
      this.pendingChunks.push(chunk)
      return
    }
    for (const event of this.events.push(chunk)) this.addEvent(event)
    this.flush()
  }

  private addEvent (event: eventSplitter.StreamEvent): void {
    this.pendingChunks.push(event.raw)
    if (event.isComment) return
    this.eventCount += 1
    if (this.req.route.retain?.keepsTurns === true) this.eventData.push(event.data, lineFeed)
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
    for (const raw of this.pendingChunks.splice(0)) this.write(raw)
    if (this.hasAnswerEnded) this.completeAnswer(this.answerHead)
  }

  private write (raw: Buffer): void {
    if (this.req.reply.data(raw)) return
    this.dispatch.pause()
    this.req.reply.onDrain(() => { this.dispatch.resume() })
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
