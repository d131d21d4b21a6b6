/** An incoming request and its reply. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** A request with its complete body, its route and its deadline. */
export interface InboundRequest {
  readonly attempt: dialects.ClientAttempt
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  /** Who made the request, as decided by the host that received it. */
  readonly caller: identifyClient.Caller
  /** Number of tokens that one event of the service's streams counts as. */
  readonly tokensPerEvent: number
  /** Deadline for the final answer, in monotonic ms. */
  readonly deadlineAt: number
  readonly reply: Reply
}

/** Reasons why this process answers a request itself. Each determines the HTTP status, and with it whether the request may have run. */
export type Refusal =
  | { readonly type: 'notReady', readonly retryAfterMs: number }
  /** This process is shutting down, and may have to exit before the request ends. */
  | { readonly type: 'shuttingDown', readonly retryAfterMs: number }
  | { readonly type: 'shardMoving', readonly retryAfterMs: number }
  | { readonly type: 'storeAway', readonly retryAfterMs: number }
  | { readonly type: 'upstreamsFull', readonly retryAfterMs: number }
  /** Too many upstreams have ended under the request. */
  | { readonly type: 'crashLimit', readonly retryAfterMs: number }
  | { readonly type: 'noUpstream', readonly retryAfterMs: number }
  /** The deadline passed before the request could be passed on. */
  | { readonly type: 'deadlinePassed', readonly retryAfterMs: number }
  /** The bodies of all requests together have more bytes than this process may hold, or too many come in very small pieces. */
  | { readonly type: 'bodiesFull', readonly retryAfterMs: number }
  /** The turns that this process keeps take as much memory as they may: it takes no new program. */
  | { readonly type: 'turnsFull', readonly retryAfterMs: number }
  | { readonly type: 'peerUnreachable', readonly retryAfterMs: number }
  | { readonly type: 'unknownRoute' }
  | { readonly type: 'unknownKey' }
  /** The client account has used up its limit. */
  | { readonly type: 'overLimit', readonly retryAfterMs: number }
  | { readonly type: 'unknownTurn' }
  | { readonly type: 'overBudget' }
  | { readonly type: 'invalid', readonly field: string, readonly expected: string }
  | { readonly type: 'headerTooLarge', readonly limitBytes: number }
  | { readonly type: 'bodyTooLarge', readonly limitBytes: number }
  /** The request may have run. */
  | { readonly type: 'answerLost', readonly detail: string }
  | { readonly type: 'timeout' }

/** HTTP status of a refusal. 429 and 503 guarantee that the request has not run and will not; 502 and 504 guarantee nothing. */
export function getRefusalStatus (refusal: Refusal): number {
  switch (refusal.type) {
    case 'notReady':
    case 'shuttingDown':
    case 'shardMoving':
    case 'storeAway':
    case 'upstreamsFull':
    case 'crashLimit':
    case 'noUpstream':
    case 'deadlinePassed':
    case 'bodiesFull':
    case 'turnsFull':
    case 'peerUnreachable': return 503
    case 'unknownRoute':
    case 'unknownTurn': return 404
    case 'unknownKey': return 401
    case 'overLimit': return 429
    case 'overBudget': return 402
    case 'invalid': return 400
    case 'headerTooLarge': return 431
    case 'bodyTooLarge': return 413
    case 'answerLost': return 502
    case 'timeout': return 504
  }
}

/** Who made an answer: a front process, which has not run the request, or an upstream, which has. */
export type AnswerSource = 'front' | 'upstream'

/** How a reply ended. */
export interface ReplyEnd {
  readonly outcome: decisionLog.RequestOutcome
  readonly status: number
  readonly source: AnswerSource
  /** Type of the refusal, if it was refused. */
  readonly reason?: string
}

/** An answer that is not sent before it is whole. */
interface HeldAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly chunks: Uint8Array[]
}

/** What works on a request that was passed on. */
export interface RequestWork {
  /** False guarantees that the request has not run, and will not once it is ended. */
  readonly mayHaveRun: () => boolean
  /** Gives the request up, and refuses it unless a part of its answer was sent. */
  readonly end: (refusal: Refusal) => void
}

/** The reply to one request. Nothing is written after the client has disconnected. */
export class Reply {
  private held: HeldAnswer | undefined
  private goneListener: (() => void) | undefined
  private readonly endListeners: ((end: ReplyEnd) => void)[] = []
  private headListener: (() => void) | undefined
  private work: RequestWork | undefined
  private isFinished = false
  private source: AnswerSource = 'front'

  /** `onWriteError` receives the error if the head of an answer can't be written as HTTP. `isHolding`: whether answers are held back until they are whole. */
  constructor (private readonly res: http.ServerResponse, private readonly onWriteError: (err: unknown) => void, private readonly isHolding = false) {
    res.on('close', () => {
      if (this.isFinished) return
      const { goneListener } = this
      this.finish({ outcome: 'clientGone', status: res.statusCode })
      goneListener?.()
    })
    // A failed write is followed by 'close', which is handled above.
    res.on('error', () => {})
  }

  /** Adds a listener, which is called once when the reply has ended. */
  onEnd (listener: (end: ReplyEnd) => void): void {
    this.endListeners.push(listener)
  }

  /** Adds a listener, which is called once nothing of the reply is in memory: it was sent, or its connection is closed. */
  onClosed (listener: () => void): void {
    this.res.once('close', listener)
  }

  /** Sets the listener that is called once when the head of an answer is sent. */
  onHead (listener: () => void): void {
    this.headListener = listener
  }

  /** True once the reply has ended or the client has disconnected. */
  get over (): boolean {
    return this.isFinished
  }

  /** Whether any part of an answer was sent. */
  get headSent (): boolean {
    return this.res.headersSent
  }

  /** Sets the listener that is called once if the client disconnects before the reply is complete, or the answer can't be written. */
  onGone (listener: () => void): void {
    if (!this.isFinished) this.goneListener = listener
  }

  /** Sets what works on the request from now on; `undefined` if it has not run and waits in this process again. */
  setWork (work: RequestWork | undefined): void {
    if (!this.isFinished) this.work = work
  }

  /** Refuses the request if it has certainly not run, and never will. Returns whether the reply has ended. */
  refuseIfNotRun (refusal: Refusal, extraHeaders: readonly string[]): boolean {
    if (this.isFinished) return true
    if (this.headSent || this.held !== undefined || this.work?.mayHaveRun() === true) return false
    this.work?.end(refusal)
    this.refuse(refusal, extraHeaders)
    return true
  }

  /** Ends a request that may have run: it gets no more time. */
  expire (): void {
    if (this.isFinished) return
    this.work?.end({ type: 'timeout' })
    if (this.headSent || this.held !== undefined) this.abort()
    else this.refuse({ type: 'timeout' })
  }

  refuse (refusal: Refusal, extraHeaders: readonly string[] = []): void {
    if (this.isFinished) return
    const { type, ...details } = refusal
    this.source = 'front'
    this.finish({ outcome: 'refused', status: getRefusalStatus(refusal), reason: type })
    const body = JSON.stringify({ error: type, ...details })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...extraHeaders]
    if ('retryAfterMs' in refusal) headers.push('Retry-After', (refusal.retryAfterMs / 1000).toFixed(2))
    this.res.writeHead(getRefusalStatus(refusal), headers)
    this.res.end(body)
  }

  /** Sends an answer of an upstream whose complete body is available. */
  send (status: number, headers: readonly string[], body: Buffer): void {
    this.sendParts(status, headers, [body])
  }

  /** Sends an answer of an upstream whose complete body is available in several parts, which must stay valid until `onClosed`. */
  sendParts (status: number, headers: readonly string[], parts: readonly Uint8Array[]): void {
    if (this.isFinished) return
    this.source = 'upstream'
    this.headListener?.()
    this.sendWhole(status, headers, parts)
  }

  private sendWhole (status: number, headers: readonly string[], parts: readonly Uint8Array[]): void {
    const bytes = parts.reduce((sum, part) => sum + part.length, 0)
    if (!this.writeHead(status, [...headers, 'Content-Length', String(bytes)])) return
    this.finish({ outcome: 'whole', status })
    if (parts.length > 1) this.res.cork()
    for (const part of parts.slice(0, -1)) this.res.write(part)
    this.res.end(parts.at(-1))
  }

  /** Returns false if the head can't be written; the request is then refused. */
  private writeHead (status: number, headers: string[]): boolean {
    try {
      this.res.writeHead(status, headers)
      return true
    } catch (err) {
      const { goneListener } = this
      this.onWriteError(err)
      this.refuse({ type: 'answerLost', detail: 'the answer can not be passed on' })
      goneListener?.()
      return false
    }
  }

  /** Begins an answer whose body follows. */
  head (status: number, headers: readonly string[], source: AnswerSource): void {
    if (this.isFinished || this.held !== undefined) return
    this.source = source
    this.headListener?.()
    if (this.isHolding) {
      this.held = { status, headers, chunks: [] }
      return
    }
    if (this.writeHead(status, [...headers])) this.res.flushHeaders()
  }

  /** Returns false if the client reads too slowly: write more only after `onDrain`. */
  data (chunk: Uint8Array): boolean {
    if (this.isFinished) return true
    if (this.held === undefined) return this.res.write(chunk)
    this.held.chunks.push(chunk)
    return true
  }

  onDrain (listener: () => void): void {
    this.res.once('drain', listener)
  }

  end (): void {
    if (this.isFinished) return
    if (this.held !== undefined) {
      this.sendWhole(this.held.status, this.held.headers, this.held.chunks)
      return
    }
    this.finish({ outcome: 'whole', status: this.res.statusCode })
    this.res.end()
  }

  /** Closes the connection, so that the client can't take the answer for complete; refuses the request if nothing was sent. */
  abort (): void {
    if (this.isFinished) return
    if (this.held !== undefined) {
      this.refuse({ type: 'answerLost', detail: 'the answer broke off' })
      return
    }
    this.finish({ outcome: 'brokenOff', status: this.res.statusCode })
    this.res.destroy()
  }

  /** Ends a request that failed by a bug: whether it has run is unknown. */
  fail (): void {
    const { goneListener } = this
    if (this.headSent) this.abort()
    else this.refuse({ type: 'answerLost', detail: 'internal' })
    goneListener?.()
  }

  private finish (end: Omit<ReplyEnd, 'source'>): void {
    this.isFinished = true
    const listeners = this.endListeners.splice(0)
    this.releaseWork()
    for (const listener of listeners) listener({ ...end, source: this.source })
  }

  /** A connection keeps its newest response, and with it this reply, while it is idle: the body and the answer must not stay with them. */
  private releaseWork (): void {
    this.work = undefined
    this.held = undefined
    this.goneListener = undefined
    this.headListener = undefined
  }
}
