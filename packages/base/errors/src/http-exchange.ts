/**
 * What one HTTP request to a peer came to, and with it whether the request may have run.
 * It is told of the request's progress by undici (the callbacks of `dispatch`) and does no I/O itself.
 */
import type * as types from '@eelgrasswind/types'

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly Buffer[]

export type ExchangeOutcome =
  /** The whole answer, under the id of the request. */
  | { readonly type: 'answered', readonly status: number, readonly headers: RawHeaders, readonly body: Buffer }
  /** An answer that names another request or none. */
  | { readonly type: 'foreign', readonly status: number }
  | { readonly type: 'tooLong', readonly status: number, readonly limitBytes: number }
  /** The connection could not be made, or broke. */
  | { readonly type: 'lost', readonly sent: boolean, readonly status: number | undefined, readonly message: string }
  /** Given up by the asker. */
  | { readonly type: 'aborted', readonly sent: boolean, readonly status: number | undefined, readonly reason: unknown }
export type FailedOutcome = Exclude<ExchangeOutcome, { type: 'answered' }>

/** Reason of an abort by the time limit of the exchange. */
export class ExchangeTimeout extends Error {
  override readonly name = 'ExchangeTimeout'
  constructor (readonly afterMs: number) {
    super(`no answer after ${afterMs} ms`)
  }
}

export interface ExchangeRequest {
  /** Sent as `x-request-id`; the answer must carry it back. */
  readonly requestId: string
  /** Most bytes of the answer's body. */
  readonly maxBytes: number
  /** Time limit, by the timer service of the asker. */
  readonly timeout?: { readonly after: (delayMs: number, run: () => void) => { cancel: () => void }, readonly ms: number }
  readonly signal?: AbortSignal
  /** Takes the body of a 200 piece by piece in place of its being collected; true says that the answer is whole. */
  readonly onData?: (chunk: Buffer) => boolean
}

/**
 * Settings of an undici pool whose requests go through `exchange`. One request at a time on a connection, so that
 * none is sent again when the one before it fails; time limits are the exchange's own.
 */
export const poolOptions = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  /** How long an idle connection is kept, in milliseconds. */
  keepAliveTimeout: 30_000,
  /** Time limit of connecting, in milliseconds. */
  connect: { timeout: 2000 }
}

/** The callbacks that undici's `dispatch` takes. */
export interface ExchangeHandler {
  onConnect: (abort: (err?: Error) => void) => void
  onHeaders: (status: number, headers: Buffer[], resume: () => void, statusText: string) => boolean
  onData: (chunk: Buffer) => boolean
  onComplete: (trailers: string[] | null) => void
  onError: (err: Error) => void
}

const empty = Buffer.alloc(0)

/** The value of a header, or undefined. */
export function getHeader (headers: RawHeaders, name: string): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const key = headers[i]!
    if (key.length === name.length && key.toString('latin1').toLowerCase() === name) return headers[i + 1]!.toString('latin1')
  }
  return undefined
}

function isSuccess (status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300
}

/** Whether the request of a broken exchange may have run. */
export function getVerdict (end: FailedOutcome): types.Verdict {
  switch (end.type) {
    case 'foreign':
      return 'mayHaveRun'
    case 'tooLong':
      return isSuccess(end.status) ? 'ran' : 'mayHaveRun'
    default:
      if (!end.sent) return 'notRun'
      return isSuccess(end.status) ? 'ran' : 'mayHaveRun'
  }
}

class Exchange implements ExchangeHandler {
  private sent = false
  private ended = false
  private status: number | undefined
  private headers: RawHeaders = []
  private chunks: Buffer[] = []
  private size = 0
  private abortRequest: ((err?: Error) => void) | undefined
  private timer: { cancel: () => void } | undefined

  constructor (private readonly req: ExchangeRequest, private readonly resolve: (end: ExchangeOutcome) => void) {
    const { timeout, signal } = req
    if (timeout !== undefined) this.timer = timeout.after(timeout.ms, () => this.abort(new ExchangeTimeout(timeout.ms)))
    if (signal === undefined) return
    if (signal.aborted) this.abort(signal.reason)
    else signal.addEventListener('abort', this.onSignal)
  }

  get isEnded (): boolean {
    return this.ended
  }

  onConnect (abort: (err?: Error) => void): void {
    // A request that is ended, or was on the wire before, must not go out.
    if (this.ended || this.sent) return abort()
    this.sent = true
    this.abortRequest = abort
  }

  onHeaders (status: number, headers: Buffer[]): boolean {
    if (this.ended || status < 200) return true
    if (getHeader(headers, 'x-request-id') !== this.req.requestId) {
      this.end({ type: 'foreign', status })
      this.drop()
      return true
    }
    this.status = status
    this.headers = headers
    return true
  }

  onData (chunk: Buffer): boolean {
    // Bytes behind the end of an answer make the connection unfit for another request.
    if (this.ended) this.drop()
    else this.take(chunk)
    return true
  }

  onComplete (): void {
    this.endAnswered()
  }

  onError (err: Error): void {
    this.end({ type: 'lost', sent: this.sent, status: this.status, message: err.message })
  }

  private take (chunk: Buffer): void {
    this.size += chunk.length
    if (this.size > this.req.maxBytes) {
      this.end({ type: 'tooLong', status: this.status ?? 0, limitBytes: this.req.maxBytes })
      this.drop()
    } else if (this.req.onData === undefined || this.status !== 200) {
      this.chunks.push(chunk)
    } else if (this.req.onData(chunk)) {
      this.endAnswered()
    }
  }

  private readonly onSignal = (): void => {
    this.abort(this.req.signal?.reason)
  }

  private abort (reason: unknown): void {
    this.end({ type: 'aborted', sent: this.sent, status: this.status, reason })
    this.drop()
  }

  /** Closes the connection where the request is on one. */
  private drop (): void {
    this.abortRequest?.()
  }

  private endAnswered (): void {
    const body = this.chunks.length === 1 ? this.chunks[0]! : this.chunks.length === 0 ? empty : Buffer.concat(this.chunks)
    this.end({ type: 'answered', status: this.status ?? 0, headers: this.headers, body })
  }

  private end (end: ExchangeOutcome): void {
    if (this.ended) return
    this.ended = true
    this.timer?.cancel()
    this.req.signal?.removeEventListener('abort', this.onSignal)
    this.resolve(end)
  }
}

/** Runs one request; `dispatch` hands the callbacks to undici. Never rejects. */
export function runExchange (req: ExchangeRequest, dispatch: (handler: ExchangeHandler) => void): Promise<ExchangeOutcome> {
  return new Promise((resolve) => {
    const handler = new Exchange(req, resolve)
    if (!handler.isEnded) dispatch(handler)
  })
}
