/**
 * Tracks one HTTP request to a peer and reports its outcome, including whether the peer may have run the request.
 * It is driven by the callbacks of undici's `dispatch` and does no I/O itself.
 */
import type * as net from 'node:net'
import * as messageFraming from '@eelgrasswind/message-framing'
import type * as types from '@eelgrasswind/types'
import * as httpStatus from './http-status.js'
import * as limitReading from './limit-reading.js'

/** Header names and values alternating, as received. */
export type RawHeaders = readonly Buffer[]

/** Outcome of a request. `sent` tells whether the request was passed to a connection, `status` is that of the answer if its headers arrived. */
export type ExchangeOutcome =
  /** A complete answer that carries the id of the request. */
  | { readonly type: 'answered', readonly status: number, readonly headers: RawHeaders, readonly body: Buffer }
  /** An answer that carries another request id or none. */
  | { readonly type: 'foreign', readonly status: number }
  | { readonly type: 'tooLong', readonly status: number, readonly limitBytes: number }
  /** The connection could not be opened, or was lost. */
  | { readonly type: 'lost', readonly sent: boolean, readonly status: number | undefined, readonly message: string }
  /** Aborted by the caller or by the timeout. */
  | { readonly type: 'aborted', readonly sent: boolean, readonly status: number | undefined, readonly reason: unknown }
/** Any outcome without a complete answer. */
export type FailedOutcome = Exclude<ExchangeOutcome, { type: 'answered' }>

/** Abort reason if the timeout of the exchange expires. */
export class ExchangeTimeout extends Error {
  override readonly name = 'ExchangeTimeout'
  constructor (readonly afterMs: number) {
    super(`no answer after ${afterMs} ms`)
  }
}

export interface ExchangeRequest {
  /** Sent as `x-request-id`; the answer must carry it back. */
  readonly requestId: string
  /** Maximum size of the answer's body, in bytes. */
  readonly maxBytes: number
  /** Timeout in milliseconds, run by the timer service of the caller. */
  readonly timeout?: { readonly after: (delayMs: number, run: () => void) => { cancel: () => void }, readonly ms: number }
  readonly signal?: AbortSignal
  /** Receives the body of a 200 answer chunk by chunk, in place of buffering it; returns true once the answer is complete. */
  readonly onData?: (chunk: Buffer) => boolean
}

/** Connect timeout, in milliseconds. */
const connectTimeoutMs = 2000

/** Connects for undici. */
type Connector<Options> = (options: Options, callback: (...args: [null, net.Socket] | [Error, null]) => void) => void

/**
 * Options of an undici pool whose requests go through `runExchange`. A connection carries one request at a time, so that
 * undici does not resend a request when the one before it fails. Timeouts of undici are off: the exchange has its own.
 * Connections whose bytes do not end are closed. `buildConnector`: the function of undici.
 */
export function createPoolOptions<Options> (buildConnector: (settings: { timeout: number }) => Connector<Options>) {
  const connectSocket = buildConnector({ timeout: connectTimeoutMs })
  const connect: Connector<Options> = (options, callback) => {
    connectSocket(options, (...args) => {
      callback(...args)
      if (args[0] === null) limitReading.limitReading(args[1])
    })
  }
  return {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    /** Time after which an idle connection is closed, in milliseconds. */
    keepAliveTimeout: 30_000,
    connect
  }
}

/** The callbacks that undici's `dispatch` takes. */
export interface ExchangeHandler {
  onConnect: (abort: (err?: Error) => void) => void
  onHeaders: (status: number, headers: Buffer[], resume: () => void, statusText: string) => boolean
  onData: (chunk: Buffer) => boolean
  onComplete: (trailers: string[] | null) => void
  onError: (err: Error) => void
}

/** Limit of the interim answers (status 1xx) to one request: more than any server sends. */
const maxInterimAnswers = 16

/** Returns the first value of a header, or undefined; `name` is in lower case. */
export function getHeader (headers: RawHeaders, name: string): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const key = headers[i]!
    if (key.length === name.length && key.toString('latin1').toLowerCase() === name) return headers[i + 1]!.toString('latin1')
  }
  return undefined
}

/** Returns whether the request of a failed exchange ran, may have run, or did not run. */
export function getVerdict (outcome: FailedOutcome): types.Verdict {
  switch (outcome.type) {
    case 'foreign':
      return 'mayHaveRun'
    case 'tooLong':
      return httpStatus.isSuccess(outcome.status) ? 'ran' : 'mayHaveRun'
    default:
      if (!outcome.sent) return 'notRun'
      return httpStatus.isSuccess(outcome.status) ? 'ran' : 'mayHaveRun'
  }
}

class HttpExchange implements ExchangeHandler {
  private isSent = false
  private hasEnded = false
  private status: number | undefined
  private headers: RawHeaders = []
  private readonly chunks = new messageFraming.ByteList()
  private bodyBytes = 0
  private interimAnswers = 0
  private abortConnection: ((err?: Error) => void) | undefined
  private timer: { cancel: () => void } | undefined

  constructor (private readonly req: ExchangeRequest, private readonly resolveOutcome: (end: ExchangeOutcome) => void) {
    const { timeout, signal } = req
    if (timeout !== undefined) this.timer = timeout.after(timeout.ms, () => this.abort(new ExchangeTimeout(timeout.ms)))
    if (signal === undefined) return
    if (signal.aborted) this.abort(signal.reason)
    else signal.addEventListener('abort', this.onAbortSignal)
  }

  get isEnded (): boolean {
    return this.hasEnded
  }

  onConnect (abort: (err?: Error) => void): void {
    // A request that has ended or was sent before must not be sent.
    if (this.hasEnded || this.isSent) return abort()
    this.isSent = true
    this.abortConnection = abort
  }

  onHeaders (status: number, headers: Buffer[]): boolean {
    if (status < 200) this.onInterimAnswer()
    else limitReading.noteHead()
    if (this.hasEnded || status < 200) return true
    if (getHeader(headers, 'x-request-id') !== this.req.requestId) {
      this.settle({ type: 'foreign', status })
      this.closeConnection()
      return true
    }
    this.status = status
    this.headers = headers
    return true
  }

  private onInterimAnswer (): void {
    this.interimAnswers += 1
    if (this.interimAnswers <= maxInterimAnswers) return
    this.settle({ type: 'lost', sent: this.isSent, status: undefined, message: `more than ${maxInterimAnswers} interim answers` })
    this.closeConnection()
  }

  onData (chunk: Buffer): boolean {
    limitReading.noteBody(chunk.length)
    // After data beyond the end of an answer the connection can't be reused for another request.
    if (this.hasEnded) this.closeConnection()
    else this.collectChunk(chunk)
    return true
  }

  onComplete (): void {
    if (this.isMarkedWhole()) this.completeAnswer()
    else this.settle({ type: 'lost', sent: this.isSent, status: this.status, message: 'the connection ended, and the answer does not show that it is whole' })
  }

  onError (err: Error): void {
    this.settle({ type: 'lost', sent: this.isSent, status: this.status, message: err.message })
  }

  /**
   * Whether a length, the last chunk or the content shows that the answer is whole. undici takes every end of a connection, a
   * reset too, for the end of an answer that has neither. Consumers of `onData` check the content themselves; of refusals
   * and server errors only the head is used.
   */
  private isMarkedWhole (): boolean {
    const status = this.status ?? 0
    const framing = messageFraming.getBodyFraming({
      method: 'GET',
      status,
      transferEncoding: getHeader(this.headers, 'transfer-encoding'),
      contentLength: getHeader(this.headers, 'content-length')
    })
    if (framing !== 'connection' || httpStatus.isRefusal(status) || status >= 500) return true
    if (this.req.onData !== undefined && status === 200) return true
    return messageFraming.isSelfDelimitingJson(this.chunks.concat().toString('utf8'))
  }

  private collectChunk (chunk: Buffer): void {
    this.bodyBytes += chunk.length
    if (this.bodyBytes > this.req.maxBytes) {
      this.settle({ type: 'tooLong', status: this.status ?? 0, limitBytes: this.req.maxBytes })
      this.closeConnection()
    } else if (this.req.onData === undefined || this.status !== 200) {
      this.chunks.push(chunk)
    } else if (this.req.onData(chunk)) {
      this.completeAnswer()
    }
  }

  private readonly onAbortSignal = (): void => {
    this.abort(this.req.signal?.reason)
  }

  private abort (reason: unknown): void {
    this.settle({ type: 'aborted', sent: this.isSent, status: this.status, reason })
    this.closeConnection()
  }

  /** Closes the connection of the request, if it has one. */
  private closeConnection (): void {
    this.abortConnection?.()
  }

  private completeAnswer (): void {
    this.settle({ type: 'answered', status: this.status ?? 0, headers: this.headers, body: this.chunks.concat() })
  }

  private settle (outcome: ExchangeOutcome): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.timer?.cancel()
    this.req.signal?.removeEventListener('abort', this.onAbortSignal)
    this.resolveOutcome(outcome)
  }
}

/** Runs one request; `dispatch` passes the handler to undici. The promise never rejects. */
export function runExchange (req: ExchangeRequest, dispatch: (handler: ExchangeHandler) => void): Promise<ExchangeOutcome> {
  return new Promise((resolve) => {
    const handler = new HttpExchange(req, resolve)
    if (!handler.isEnded) dispatch(handler)
  })
}
