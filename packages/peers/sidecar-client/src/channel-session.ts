/** Server side of one stream of frequent requests. Independent of the transport. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as convert from './convert.js'
import * as frameQueues from './frame-queue.js'
import * as gen from './gen/eelgrasswind_pb.js'
import type * as handlers from './handlers.js'

export interface ChannelSessionSettings {
  /** Current sender of this process, for the first message and each final frame. */
  readonly getSender: () => gen.Sender
  readonly home: Pick<handlers.HomeHandlers, 'call' | 'start' | 'finish' | 'read'> | undefined
  readonly upstream: Pick<handlers.UpstreamHandlers, 'dispatch' | 'hold' | 'drop'> | undefined
}

/** Maximum size of the send queue in bytes, for a peer that does not read; the stream is aborted beyond it. */
const maxWaitingBytes = 64 * 1024 * 1024
/** Estimated size of a frame without its content, in bytes. */
const frameOverheadBytes = 32

const notServedFailure: errors.Failure = { tag: 'unknownTarget', verdict: 'notRun', message: 'this process does not serve this type of request', field: 'request' }

function estimateFrameBytes ({ body }: gen.ReplyFrame): number {
  switch (body.case) {
    case 'delta': return frameOverheadBytes + body.value.length
    case 'placedJson':
    case 'endJson': return frameOverheadBytes + body.value.length
    case 'failure': return frameOverheadBytes + body.value.json.length
    case undefined: return frameOverheadBytes
    default: return errors.assertNever(body)
  }
}

type ReplyBody = Exclude<gen.ReplyFrame['body'], { case: undefined }>
type DeltaFrame = gen.ReplyFrame & { body: { case: 'delta', value: string } }

function isFinalFrame ({ body }: gen.ReplyFrame): boolean {
  return body.case === 'endJson' || body.case === 'failure'
}

/** Runs the requests of one stream and queues the frames of their answers. */
export class ChannelSession {
  /** Requests in flight, with the abort controller of those that can be cancelled. */
  private readonly inFlight = new Map<number, AbortController | undefined>()
  private readonly queue = new frameQueues.FrameQueue<gen.ReplyFrame>({ maxWaitingBytes, estimateBytes: estimateFrameBytes })
  /** For each request, the last queued frame if it is a delta, to which further text is appended. */
  private readonly queuedDeltas = new Map<number, DeltaFrame>()
  private lastId = 0
  /** open accepts requests, closing only finishes those in flight, aborted sends nothing more. */
  private state: 'open' | 'closing' | 'aborted' = 'open'
  private isClosingSent = false

  constructor (private readonly settings: ChannelSessionSettings) {}

  /** Processes one message of the peer. Request ids must ascend; the stream is aborted otherwise. */
  receive (message: gen.RequestFrames): void {
    for (const frame of message.frames) this.receiveFrame(frame)
  }

  private receiveFrame ({ id, body }: gen.RequestFrame): void {
    if (body.case === 'cancel') return this.inFlight.get(id)?.abort()
    // The closing message announced lastId as the last request that runs; later ones are ignored.
    if (this.state !== 'open') return
    if (id <= this.lastId) return this.abort()
    this.lastId = id
    switch (body.case) {
      case 'call': return this.runCall(id, body.value)
      case 'dispatch': return this.runDispatch(id, body.value)
      case 'start':
      case 'finish':
      case 'read': return this.runHomeRequest(id, body)
      case 'hold':
      case 'drop': return this.runHoldRequest(id, body)
      case undefined: return this.queueReply(id, toFailureReply(notServedFailure))
      default: return errors.assertNever(body)
    }
  }

  private runCall (id: number, req: gen.CallRequest): void {
    const { home } = this.settings
    this.inFlight.set(id, undefined)
    const sink: types.CallSink = {
      wholeOnly: req.wholeOnly,
      onPlaced: (placement) => this.queueReply(id, { case: 'placedJson', value: convert.toJson(placement) }),
      onDelta: req.wholeOnly ? () => undefined : (text) => this.queueDelta(id, text)
    }
    void this.runAndReply(id, async () => home === undefined ? errors.fail(notServedFailure) : await home.call(convert.fromJson(req.callJson), { traceparent: req.traceparent }, sink))
  }

  private runDispatch (id: number, req: gen.DispatchRequest): void {
    const { upstream } = this.settings
    const abortController = new AbortController()
    this.inFlight.set(id, abortController)
    const onDelta = (text: string): void => this.queueDelta(id, text)
    void this.runAndReply(id, async () => upstream === undefined ? errors.fail(notServedFailure) : await upstream.dispatch(convert.fromDispatchRequest(req), { traceparent: req.traceparent }, abortController.signal, onDelta))
  }

  private runHomeRequest (id: number, body: Extract<gen.RequestFrame['body'], { case: 'start' | 'finish' | 'read' }>): void {
    const { home } = this.settings
    this.inFlight.set(id, undefined)
    void this.runAndReply(id, async () => {
      if (home === undefined) return errors.fail(notServedFailure)
      switch (body.case) {
        case 'start': return await home.start(convert.fromJson(body.value.startJson), { traceparent: body.value.traceparent })
        case 'finish': return await home.finish(body.value.program as types.ProgramId, body.value.result as types.FinishResult, { traceparent: body.value.traceparent })
        case 'read': return await home.read(body.value.program as types.ProgramId, body.value.history)
        default: return errors.assertNever(body)
      }
    })
  }

  private runHoldRequest (id: number, body: Extract<gen.RequestFrame['body'], { case: 'hold' | 'drop' }>): void {
    const { upstream } = this.settings
    const program = body.value.program as types.ProgramId
    const term = Number(body.value.term) as types.Term
    const upstreamId = body.value.upstream as types.UpstreamId
    this.inFlight.set(id, undefined)
    void this.runAndReply(id, async () => {
      if (upstream === undefined) return errors.fail(notServedFailure)
      return body.case === 'hold' ? await upstream.hold(program, term, upstreamId, body.value.holdMs) : await upstream.drop(program, term, upstreamId)
    })
  }

  /** A handler that throws must still answer with a failure that has a verdict. */
  private async runAndReply (id: number, run: () => Promise<errors.Result<unknown>>): Promise<void> {
    let result: errors.Result<unknown>
    try {
      result = await run()
    } catch (err) {
      result = errors.fail(errors.toFailure(err))
    }
    this.queueReply(id, result.ok ? { case: 'endJson', value: convert.toJson(result.value ?? null) } : toFailureReply(result.failure))
    this.inFlight.delete(id)
    this.endIfDrained()
  }

  private queueReply (id: number, body: ReplyBody): void {
    if (this.state === 'aborted') return
    this.queuedDeltas.delete(id)
    if (!this.queue.push(protobuf.create(gen.ReplyFrameSchema, { id, body }))) this.abort()
  }

  /** Appends to a queued delta of the same request, so that queued deltas are sent as one frame. */
  private queueDelta (id: number, text: string): void {
    if (this.state === 'aborted') return
    const queuedDelta = this.queuedDeltas.get(id)
    if (queuedDelta !== undefined) {
      queuedDelta.body.value += text
      if (!this.queue.addWaitingBytes(text.length)) this.abort()
      return
    }
    const frame = protobuf.create(gen.ReplyFrameSchema, { id, body: { case: 'delta', value: text } }) as DeltaFrame
    if (!this.queue.push(frame)) return this.abort()
    this.queuedDeltas.set(id, frame)
  }

  /** Yields the messages to send. Throws once the session is aborted. */
  async * generateMessages (): AsyncGenerator<gen.ReplyFrames> {
    yield protobuf.create(gen.ReplyFramesSchema, { sender: this.settings.getSender() })
    for await (const frames of this.queue.takeBatches()) yield this.createMessage(frames)
    if (this.state === 'aborted') throw new Error('stream was aborted')
  }

  /** Takes the queued frames as one message, for a transport that polls. */
  takeMessage (): gen.ReplyFrames {
    return this.createMessage(this.queue.take())
  }

  private createMessage (frames: gen.ReplyFrame[]): gen.ReplyFrames {
    this.queuedDeltas.clear()
    const message = protobuf.create(gen.ReplyFramesSchema, { frames: frames.filter(({ body }) => body.case !== undefined) })
    if (frames.some(isFinalFrame)) message.sender = this.settings.getSender()
    if (this.state === 'closing' && !this.isClosingSent) {
      this.isClosingSent = true
      message.closing = protobuf.create(gen.ClosingSchema, { lastId: this.lastId })
    }
    return message
  }

  /** Accepts no new requests, announces this to the peer, and ends the stream when the answers in flight are sent. */
  close (): void {
    if (this.state !== 'open') return
    this.state = 'closing'
    // An empty frame, so that the closing message is sent at once.
    this.queue.push(protobuf.create(gen.ReplyFrameSchema, {}))
    this.endIfDrained()
  }

  private endIfDrained (): void {
    if (this.state === 'closing' && this.inFlight.size === 0) this.queue.end()
  }

  /** Handles a lost stream: cancels the dispatches in flight and sends nothing more. */
  abort (): void {
    if (this.state === 'aborted') return
    this.state = 'aborted'
    for (const controller of this.inFlight.values()) controller?.abort()
    this.queue.take()
    this.queue.end()
  }
}

function toFailureReply (failure: errors.Failure): ReplyBody {
  return { case: 'failure', value: convert.toFailureMessage(failure) }
}
