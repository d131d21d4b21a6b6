/** The server side of one stream of frequent requests. Knows nothing of the transport. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as convert from './convert.js'
import * as frameQueues from './frame-queue.js'
import * as gen from './gen/eelgrasswind_pb.js'
import type * as handlers from './handlers.js'

export interface ChannelSessionSettings {
  readonly sender: () => gen.Sender
  readonly home: Pick<handlers.HomeHandlers, 'call' | 'start' | 'finish' | 'read'> | undefined
  readonly upstream: Pick<handlers.UpstreamHandlers, 'dispatch' | 'hold' | 'drop'> | undefined
}

/** Bytes of answers that may wait for a peer that does not read; past it the stream is broken. */
const maxWaitingBytes = 64 * 1024 * 1024
/** What a frame takes besides its content, in bytes. */
const frameBytes = 32

const notServed: errors.Failure = { tag: 'unknownTarget', verdict: 'notRun', message: 'this process does not answer such requests', field: 'request' }

function sizeOf ({ body }: gen.ReplyFrame): number {
  switch (body.case) {
    case 'delta': return frameBytes + body.value.length
    case 'placedJson':
    case 'endJson': return frameBytes + body.value.length
    case 'failure': return frameBytes + body.value.json.length
    case undefined: return frameBytes
    default: return errors.assertNever(body)
  }
}

type ReplyBody = Exclude<gen.ReplyFrame['body'], { case: undefined }>
type DeltaFrame = gen.ReplyFrame & { body: { case: 'delta', value: string } }

function isEnd ({ body }: gen.ReplyFrame): boolean {
  return body.case === 'endJson' || body.case === 'failure'
}

export class ChannelSession {
  /** Requests under way; those that may be given up have what stops them. */
  private readonly open = new Map<number, AbortController | undefined>()
  private readonly queue = new frameQueues.FrameQueue<gen.ReplyFrame>({ maxWaitingBytes, sizeOf })
  /** The last frame that waits for each request, where it is a delta. */
  private readonly waitingDeltas = new Map<number, DeltaFrame>()
  private lastId = 0
  private state: 'open' | 'closing' | 'broken' = 'open'
  private closingSent = false

  constructor (private readonly settings: ChannelSessionSettings) {}

  receive (message: gen.RequestFrames): void {
    for (const frame of message.frames) this.receiveFrame(frame)
  }

  private receiveFrame ({ id, body }: gen.RequestFrame): void {
    if (body.case === 'cancel') return this.open.get(id)?.abort()
    // Requests after the last one that was promised an answer do not run.
    if (this.state !== 'open') return
    if (id <= this.lastId) return this.break()
    this.lastId = id
    switch (body.case) {
      case 'call': return this.runCall(id, body.value)
      case 'dispatch': return this.runDispatch(id, body.value)
      case 'start':
      case 'finish':
      case 'read': return this.runHome(id, body)
      case 'hold':
      case 'drop': return this.runHolds(id, body)
      case undefined: return this.reply(id, failed(notServed))
      default: return errors.assertNever(body)
    }
  }

  private runCall (id: number, req: gen.CallRequest): void {
    const { home } = this.settings
    this.open.set(id, undefined)
    const sink: types.CallSink = {
      wholeOnly: req.wholeOnly,
      onPlaced: (placed) => this.reply(id, { case: 'placedJson', value: convert.toJson(placed) }),
      onDelta: req.wholeOnly ? () => undefined : (text) => this.addDelta(id, text)
    }
    void this.answer(id, async () => home === undefined ? errors.fail(notServed) : await home.call(convert.fromJson(req.callJson), { traceparent: req.traceparent }, sink))
  }

  private runDispatch (id: number, req: gen.DispatchRequest): void {
    const { upstream } = this.settings
    const stop = new AbortController()
    this.open.set(id, stop)
    const onDelta = (text: string): void => this.addDelta(id, text)
    void this.answer(id, async () => upstream === undefined ? errors.fail(notServed) : await upstream.dispatch(convert.fromDispatchRequest(req), { traceparent: req.traceparent }, stop.signal, onDelta))
  }

  private runHome (id: number, body: Extract<gen.RequestFrame['body'], { case: 'start' | 'finish' | 'read' }>): void {
    const { home } = this.settings
    this.open.set(id, undefined)
    void this.answer(id, async () => {
      if (home === undefined) return errors.fail(notServed)
      switch (body.case) {
        case 'start': return await home.start(convert.fromJson(body.value.startJson), { traceparent: body.value.traceparent })
        case 'finish': return await home.finish(body.value.program as types.ProgramId, body.value.result as types.FinishResult, { traceparent: body.value.traceparent })
        case 'read': return await home.read(body.value.program as types.ProgramId, body.value.history)
        default: return errors.assertNever(body)
      }
    })
  }

  private runHolds (id: number, body: Extract<gen.RequestFrame['body'], { case: 'hold' | 'drop' }>): void {
    const { upstream } = this.settings
    const program = body.value.program as types.ProgramId
    const term = Number(body.value.term) as types.Term
    const target = body.value.upstream as types.UpstreamId
    this.open.set(id, undefined)
    void this.answer(id, async () => {
      if (upstream === undefined) return errors.fail(notServed)
      return body.case === 'hold' ? await upstream.hold(program, term, target, body.value.holdMs) : await upstream.drop(program, term, target)
    })
  }

  /** A handler that throws must still answer with a failure that has a verdict. */
  private async answer (id: number, run: () => Promise<errors.Result<unknown>>): Promise<void> {
    let result: errors.Result<unknown>
    try {
      result = await run()
    } catch (err) {
      result = errors.fail(errors.toFailure(err))
    }
    this.reply(id, result.ok ? { case: 'endJson', value: convert.toJson(result.value ?? null) } : failed(result.failure))
    this.open.delete(id)
    this.endWhereDone()
  }

  private reply (id: number, body: ReplyBody): void {
    if (this.state === 'broken') return
    this.waitingDeltas.delete(id)
    if (!this.queue.push(protobuf.create(gen.ReplyFrameSchema, { id, body }))) this.break()
  }

  /** Pieces of text that wait together go as one. */
  private addDelta (id: number, text: string): void {
    if (this.state === 'broken') return
    const waiting = this.waitingDeltas.get(id)
    if (waiting !== undefined) {
      waiting.body.value += text
      if (!this.queue.grow(text.length)) this.break()
      return
    }
    const frame = protobuf.create(gen.ReplyFrameSchema, { id, body: { case: 'delta', value: text } }) as DeltaFrame
    if (!this.queue.push(frame)) return this.break()
    this.waitingDeltas.set(id, frame)
  }

  /** The messages to send. Throws once the session is broken. */
  async * messages (): AsyncGenerator<gen.ReplyFrames> {
    yield protobuf.create(gen.ReplyFramesSchema, { sender: this.settings.sender() })
    for await (const frames of this.queue.batches()) yield this.messageOf(frames)
    if (this.state === 'broken') throw new Error('the stream is broken')
  }

  /** The message that waits now, for a transport that asks for it. */
  take (): gen.ReplyFrames {
    return this.messageOf(this.queue.take())
  }

  private messageOf (frames: gen.ReplyFrame[]): gen.ReplyFrames {
    this.waitingDeltas.clear()
    const message = protobuf.create(gen.ReplyFramesSchema, { frames: frames.filter(({ body }) => body.case !== undefined) })
    if (frames.some(isEnd)) message.sender = this.settings.sender()
    if (this.state === 'closing' && !this.closingSent) {
      this.closingSent = true
      message.closing = protobuf.create(gen.ClosingSchema, { lastId: this.lastId })
    }
    return message
  }

  /** Takes no new requests, says so to the peer, and ends the stream when the answers under way are sent. */
  close (): void {
    if (this.state !== 'open') return
    this.state = 'closing'
    // An empty frame, so that the peer hears of it now.
    this.queue.push(protobuf.create(gen.ReplyFrameSchema, {}))
    this.endWhereDone()
  }

  private endWhereDone (): void {
    if (this.state === 'closing' && this.open.size === 0) this.queue.end()
  }

  /** The stream is lost: dispatches that may be given up are, and nothing more is sent. */
  break (): void {
    if (this.state === 'broken') return
    this.state = 'broken'
    for (const stop of this.open.values()) stop?.abort()
    this.queue.take()
    this.queue.end()
  }
}

function failed (failure: errors.Failure): ReplyBody {
  return { case: 'failure', value: convert.toFailureMessage(failure) }
}
