/**
 * Tracks the requests in flight on one stream to a peer: matches answers to requests by id, and determines the verdict
 * of each request when the stream ends. Independent of the transport.
 */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as convert from './convert.js'
import * as frameQueues from './frame-queue.js'
import * as gen from './gen/eelgrasswind_pb.js'
import * as transportFailures from './transport-failure.js'

/** Body of a request frame that expects an answer. */
export type RequestBody = Exclude<gen.RequestFrame['body'], { case: 'cancel' } | { case: undefined }>

/** Receives the intermediate frames of one answer: text deltas, and the start of each attempt, which voids earlier deltas. */
export interface AnswerReceiver {
  readonly onPlaced: (placement: types.Placement) => void
  readonly onDelta: (text: string) => void
}

interface InFlightRequest {
  readonly receiver: AnswerReceiver
  readonly resolve: (result: errors.Result<unknown>) => void
  /** Whether the frame was handed to the transport, so that it may have reached the peer. */
  isSent: boolean
}

/** Maximum size of the send queue in bytes, for a peer that does not read. */
const maxWaitingBytes = 64 * 1024 * 1024
/** Largest request id of one stream; further requests go on a new stream. */
const maxId = 2 ** 31
/** Estimated size of a frame without its JSON documents, in bytes. */
const frameOverheadBytes = 64

const queueFullFailure: errors.Failure = { tag: 'overloaded', verdict: 'notRun', message: 'send queue of this peer is full', retryAfterMs: transportFailures.peerRetryAfterMs }

function estimateFrameBytes ({ body }: gen.RequestFrame): number {
  switch (body.case) {
    case 'call': return frameOverheadBytes + body.value.callJson.length
    case 'dispatch': return frameOverheadBytes + body.value.payloadJson.length
    case 'start': return frameOverheadBytes + body.value.startJson.length
    case 'finish':
    case 'read':
    case 'hold':
    case 'drop':
    case 'cancel':
    case undefined: return frameOverheadBytes
    default: return errors.assertNever(body)
  }
}

/** Client side of one stream. */
export class ChannelRequests {
  private readonly inFlight = new Map<number, InFlightRequest>()
  private readonly queue = new frameQueues.FrameQueue<gen.RequestFrame>({ maxWaitingBytes, estimateBytes: estimateFrameBytes })
  private lastId = 0
  private canAccept = true

  /** Number of requests without a complete answer. */
  get inFlightCount (): number {
    return this.inFlight.size
  }

  /** Whether this stream accepts new requests. */
  get isAccepting (): boolean {
    return this.canAccept
  }

  /** Resolves with the complete answer, or with a failure whose verdict says whether the request may have run. */
  async request<T> (body: RequestBody, receiver: AnswerReceiver, signal?: AbortSignal): Promise<errors.Result<T>> {
    if (signal?.aborted === true) return errors.fail(createCancelledFailure('notRun'))
    this.lastId += 1
    const id = this.lastId
    if (id === maxId) this.canAccept = false
    const result = new Promise<errors.Result<unknown>>((resolve) => { this.inFlight.set(id, { receiver, resolve, isSent: false }) })
    if (!this.queue.push(protobuf.create(gen.RequestFrameSchema, { id, body }))) this.complete(id, errors.fail(queueFullFailure))
    if (signal === undefined) return await result as errors.Result<T>
    const cancel = (): void => this.cancel(id)
    signal.addEventListener('abort', cancel)
    try {
      return await result as errors.Result<T>
    } finally {
      signal.removeEventListener('abort', cancel)
    }
  }

  /** Yields batches of frames to send, and marks their requests as sent. */
  async * takeBatches (): AsyncGenerator<gen.RequestFrame[]> {
    for await (const frames of this.queue.takeBatches()) {
      this.markSent(frames)
      yield frames
    }
  }

  /** Takes the queued frames, for a transport that polls, and marks their requests as sent. */
  takeFrames (): gen.RequestFrame[] {
    const frames = this.queue.take()
    this.markSent(frames)
    return frames
  }

  private markSent (frames: readonly gen.RequestFrame[]): void {
    for (const { id } of frames) {
      const request = this.inFlight.get(id)
      if (request !== undefined) request.isSent = true
    }
  }

  /** Processes one message of the peer. */
  receive (message: gen.ReplyFrames): void {
    for (const frame of message.frames) this.receiveFrame(frame)
    if (message.closing !== undefined) this.handleClosing(message.closing.lastId)
  }

  private receiveFrame ({ id, body }: gen.ReplyFrame): void {
    const request = this.inFlight.get(id)
    // A late frame of a cancelled request.
    if (request === undefined) return
    try {
      switch (body.case) {
        case 'delta': return request.receiver.onDelta(body.value)
        case 'placedJson': return request.receiver.onPlaced(convert.fromJson(body.value))
        case 'endJson': return this.complete(id, errors.ok(convert.fromJson(body.value)))
        case 'failure': return this.complete(id, errors.fail(convert.fromFailureMessage(body.value)))
        case undefined: return
        default: return errors.assertNever(body)
      }
    } catch (err) {
      // An error in one answer must not fail the other requests.
      this.complete(id, errors.fail(errors.toFailure(err)))
    }
  }

  /** Accepts no new requests; the stream ends when those in flight are answered. */
  stopAccepting (): void {
    this.canAccept = false
    if (this.inFlight.size === 0) this.queue.end()
  }

  /** The peer accepts no request after lastId: later ones did not run. */
  private handleClosing (lastId: number): void {
    this.canAccept = false
    for (const id of [...this.inFlight.keys()]) {
      if (id > lastId) this.complete(id, errors.fail(transportFailures.createPeerUnavailable('notRun', 'peer is shutting down')))
    }
    this.queue.remove(({ id }) => id > lastId)
    if (this.inFlight.size === 0) this.queue.end()
  }

  /** Fails all requests after the stream ended: those that were sent may have run, the others did not. */
  failAll (message: string): void {
    this.canAccept = false
    for (const [id, { isSent }] of [...this.inFlight]) this.complete(id, errors.fail(transportFailures.createPeerUnavailable(isSent ? 'mayHaveRun' : 'notRun', message)))
    this.queue.take()
    this.queue.end()
  }

  private cancel (id: number): void {
    const request = this.inFlight.get(id)
    if (request === undefined) return
    if (request.isSent) this.queue.push(protobuf.create(gen.RequestFrameSchema, { id, body: { case: 'cancel', value: {} } }))
    else this.queue.remove((frame) => frame.id === id)
    this.complete(id, errors.fail(createCancelledFailure(request.isSent ? 'mayHaveRun' : 'notRun')))
  }

  private complete (id: number, result: errors.Result<unknown>): void {
    const request = this.inFlight.get(id)
    if (request === undefined) return
    this.inFlight.delete(id)
    request.resolve(result)
    if (!this.canAccept && this.inFlight.size === 0) this.queue.end()
  }
}

function createCancelledFailure (verdict: types.Verdict): errors.Failure {
  return { tag: 'cancelled', verdict, message: 'request cancelled by its sender' }
}
