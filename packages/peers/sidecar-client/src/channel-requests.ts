/**
 * The requests under way on one stream to a peer: which answer belongs to which, and what is known of each when the
 * stream ends. Knows nothing of the transport.
 */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as convert from './convert.js'
import * as frameQueues from './frame-queue.js'
import * as gen from './gen/eelgrasswind_pb.js'
import * as transportFailures from './transport-failure.js'

export type RequestBody = Exclude<gen.RequestFrame['body'], { case: 'cancel' } | { case: undefined }>

/** Receives the pieces of one answer. */
export interface Receiver {
  readonly onPlaced: (placed: types.Placement) => void
  readonly onDelta: (text: string) => void
}

interface OpenRequest {
  readonly receiver: Receiver
  readonly resolve: (result: errors.Result<unknown>) => void
  /** Its frame was handed to the transport: it may have reached the peer. */
  left: boolean
}

/** Bytes of requests that may wait for a peer that does not read. */
const maxWaitingBytes = 64 * 1024 * 1024
/** Ids of one stream; after the last one a new stream is opened. */
const maxId = 2 ** 31
/** What a frame takes besides its documents, in bytes. */
const frameBytes = 64

const overloaded: errors.Failure = { tag: 'overloaded', verdict: 'notRun', message: 'too much waits to be sent to this peer', retryAfterMs: transportFailures.peerRetryAfterMs }

function sizeOf ({ body }: gen.RequestFrame): number {
  switch (body.case) {
    case 'call': return frameBytes + body.value.callJson.length
    case 'dispatch': return frameBytes + body.value.payloadJson.length
    case 'start': return frameBytes + body.value.startJson.length
    case 'finish':
    case 'read':
    case 'hold':
    case 'drop':
    case 'cancel':
    case undefined: return frameBytes
    default: return errors.assertNever(body)
  }
}

export class ChannelRequests {
  private readonly open = new Map<number, OpenRequest>()
  private readonly queue = new frameQueues.FrameQueue<gen.RequestFrame>({ maxWaitingBytes, sizeOf })
  private lastId = 0
  private accepting = true

  /** Requests whose answer is not whole. */
  get size (): number {
    return this.open.size
  }

  /** Whether new requests may go on this stream. */
  get isAccepting (): boolean {
    return this.accepting
  }

  /** Resolves with the whole answer, or with a failure whose verdict says whether the request may have run. */
  async request<T> (body: RequestBody, receiver: Receiver, signal?: AbortSignal): Promise<errors.Result<T>> {
    if (signal?.aborted === true) return errors.fail(cancelled('notRun'))
    this.lastId += 1
    const id = this.lastId
    if (id === maxId) this.accepting = false
    const result = new Promise<errors.Result<unknown>>((resolve) => { this.open.set(id, { receiver, resolve, left: false }) })
    if (!this.queue.push(protobuf.create(gen.RequestFrameSchema, { id, body }))) this.end(id, errors.fail(overloaded))
    if (signal === undefined) return await result as errors.Result<T>
    const cancel = (): void => this.cancel(id)
    signal.addEventListener('abort', cancel)
    try {
      return await result as errors.Result<T>
    } finally {
      signal.removeEventListener('abort', cancel)
    }
  }

  /** The frames to send, one batch after the other; what is taken from here counts as sent. */
  async * batches (): AsyncGenerator<gen.RequestFrame[]> {
    for await (const frames of this.queue.batches()) {
      this.noteLeft(frames)
      yield frames
    }
  }

  /** The frames that wait now, for a transport that asks for them; they count as sent. */
  take (): gen.RequestFrame[] {
    const frames = this.queue.take()
    this.noteLeft(frames)
    return frames
  }

  private noteLeft (frames: readonly gen.RequestFrame[]): void {
    for (const { id } of frames) {
      const request = this.open.get(id)
      if (request !== undefined) request.left = true
    }
  }

  /** Takes what the peer sent. */
  receive (message: gen.ReplyFrames): void {
    for (const frame of message.frames) this.receiveFrame(frame)
    if (message.closing !== undefined) this.peerCloses(message.closing.lastId)
  }

  private receiveFrame ({ id, body }: gen.ReplyFrame): void {
    const request = this.open.get(id)
    // The answer of a request that was given up.
    if (request === undefined) return
    try {
      switch (body.case) {
        case 'delta': return request.receiver.onDelta(body.value)
        case 'placedJson': return request.receiver.onPlaced(convert.fromJson(body.value))
        case 'endJson': return this.end(id, errors.ok(convert.fromJson(body.value)))
        case 'failure': return this.end(id, errors.fail(convert.fromFailureMessage(body.value)))
        case undefined: return
        default: return errors.assertNever(body)
      }
    } catch (err) {
      // A fault in one answer must not end the others.
      this.end(id, errors.fail(errors.toFailure(err)))
    }
  }

  /** Takes no new requests; those under way go on. */
  stopAccepting (): void {
    this.accepting = false
    if (this.open.size === 0) this.queue.end()
  }

  /** The peer takes no request after the one named: those sent later never ran. */
  private peerCloses (lastId: number): void {
    this.accepting = false
    for (const id of [...this.open.keys()]) {
      if (id > lastId) this.end(id, errors.fail(transportFailures.unreachable('notRun', 'the peer is leaving')))
    }
    this.queue.remove(({ id }) => id > lastId)
    if (this.open.size === 0) this.queue.end()
  }

  /** The stream has ended: a request that had left may have run, any other did not. */
  fail (message: string): void {
    this.accepting = false
    for (const [id, { left }] of [...this.open]) this.end(id, errors.fail(transportFailures.unreachable(left ? 'mayHaveRun' : 'notRun', message)))
    this.queue.take()
    this.queue.end()
  }

  private cancel (id: number): void {
    const request = this.open.get(id)
    if (request === undefined) return
    if (request.left) this.queue.push(protobuf.create(gen.RequestFrameSchema, { id, body: { case: 'cancel', value: {} } }))
    else this.queue.remove((frame) => frame.id === id)
    this.end(id, errors.fail(cancelled(request.left ? 'mayHaveRun' : 'notRun')))
  }

  private end (id: number, result: errors.Result<unknown>): void {
    const request = this.open.get(id)
    if (request === undefined) return
    this.open.delete(id)
    request.resolve(result)
    if (!this.accepting && this.open.size === 0) this.queue.end()
  }
}

function cancelled (verdict: types.Verdict): errors.Failure {
  return { tag: 'cancelled', verdict, message: 'the request was given up by its sender' }
}
