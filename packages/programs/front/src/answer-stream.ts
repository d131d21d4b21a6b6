/** The answer of an upstream as it passes to the client, in whole events, and again elsewhere where it breaks off and may go on. */
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as dispatch from './dispatch.js'
import * as eventSplitter from './event-splitter.js'
import type * as inbound from './inbound.js'

/** What is asked of the upstream. */
export interface AnswerStreamOptions {
  readonly body: Uint8Array
  readonly affinity: trackUpstreams.PromptAffinity | undefined
}

/** Told how the answer goes. Exactly one of `whole`, `error` and `broken` is called, once. */
export interface AnswerStreamSink {
  /** An upstream has answered. */
  readonly onHead?: (upstream: types.UpstreamId) => void
  /** All events have passed to the client; its answer is not ended yet. */
  readonly onComplete: () => void
  /** The upstream answered with an error, which the client has in full. */
  readonly onErrorAnswer?: () => void
  /** No whole answer. The client has been told, unless it is the one that left. */
  readonly onFailed?: () => void
}

const lineFeed = Buffer.from('\n')
const okStatus = 200

/** One stream from the moment that it is sent to an upstream. */
export class AnswerStream {
  private readonly events = new eventSplitter.EventSplitter()
  private readonly texts: Buffer[] = []
  private readonly held: Buffer[] = []
  private readonly sent: dispatch.Dispatch
  private head: sendHttp.Head | undefined
  private lastEventId: string | undefined
  private passes: boolean
  private complete = false
  private over = false
  private limit: timerService.Subscription | undefined
  private count = 0

  /** Passes: whether the client may have what comes; otherwise it is held until `pass`. */
  constructor (
    private readonly ports: dispatch.DispatchPorts,
    private readonly req: inbound.InboundRequest,
    options: AnswerStreamOptions,
    passes: boolean,
    private readonly sink: AnswerStreamSink
  ) {
    this.passes = passes
    this.sent = new dispatch.Dispatch(ports, req, { ...options, resumeAfter: () => this.lastEventId }, {
      head: (head, upstream) => { this.onHead(head, upstream) },
      data: (chunk) => { this.onData(chunk) },
      resumed: () => { this.events.reset() },
      end: () => {
        this.complete = true
        this.flush()
      },
      fail: (failure) => { this.abort(dispatch.toRefusal(failure)) }
    })
  }

  /** Whether an upstream may have worked on the request. */
  get mayHaveRun (): boolean {
    return this.sent.mayHaveRun
  }

  /** Tokens of the whole events so far; a turn makes no more than it asked for. */
  countTokens (maxTokens: number): number {
    return Math.min(maxTokens, this.count * this.req.tokensPerEvent)
  }

  /** The data of all events, each followed by a line feed. */
  concatOutput (): Buffer {
    return Buffer.concat(this.texts)
  }

  start (): void {
    const { req, ports } = this
    this.limit = ports.timers.after(req.deadlineAt - ports.timers.monotonic(), () => { this.abort({ type: 'timeout' }) })
    req.reply.onGone(() => { this.abort(undefined) })
    this.sent.start()
  }

  /** The client may have what has come, and what comes from now on. */
  startRelaying (): void {
    this.passes = true
    this.flush()
  }

  /** Ends the request without a whole answer; no refusal: the client is gone. */
  abort (refusal: inbound.Refusal | undefined): void {
    if (this.over) return
    this.finish()
    const { mayHaveRun: ran } = this
    this.sent.cancel()
    this.ports.decisions.note({ event: 'streamBroken', request: this.req.attempt.id, ran, events: this.count, reason: refusal?.type ?? 'clientGone' })
    this.sink.onFailed?.()
    if (refusal === undefined) return
    if (this.req.reply.headSent) this.req.reply.abort()
    else this.req.reply.refuse(refusal)
  }

  private onHead (head: sendHttp.Head, upstream: types.UpstreamId): void {
    this.head = head
    this.sink.onHead?.(upstream)
    this.flush()
  }

  private onData (chunk: Buffer): void {
    if (this.head?.status !== okStatus) {
      this.held.push(chunk)
      return
    }
    for (const event of this.events.push(chunk)) this.take(event)
    this.flush()
  }

  private take (event: eventSplitter.StreamEvent): void {
    this.count += 1
    if (this.req.route.retain?.keepsTurns === true) this.texts.push(event.data, lineFeed)
    this.lastEventId = event.id ?? this.lastEventId
    this.held.push(event.raw)
  }

  private flush (): void {
    if (this.head === undefined || !this.passes || this.over) return
    const { reply } = this.req
    if (!reply.headSent) reply.head(this.head.status, this.ports.dialect.answerHeaders(this.head.rawHeaders))
    for (const raw of this.held.splice(0)) this.write(raw)
    if (this.complete) this.end(this.head)
  }

  private write (raw: Buffer): void {
    if (this.req.reply.data(raw)) return
    this.sent.pause()
    this.req.reply.onDrain(() => { this.sent.resume() })
  }

  private end (head: sendHttp.Head): void {
    if (head.status !== okStatus) {
      this.finish()
      this.req.reply.end()
      this.sink.onErrorAnswer?.()
      return
    }
    if (this.events.pendingBytes > 0) {
      this.abort({ type: 'answerLost', detail: 'the stream ended within an event' })
      return
    }
    this.finish()
    this.sink.onComplete()
  }

  private finish (): void {
    this.over = true
    this.limit?.cancel()
  }
}
