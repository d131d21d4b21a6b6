/** One request as it came in, and the way its answer goes out. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** A request with its whole body, its route and its time limit. */
export interface InboundRequest {
  readonly attempt: dialects.ClientAttempt
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Name and value in turn, as received. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  /** Who asks, as the host that took the request decided. */
  readonly caller: identifyClient.Caller
  /** Tokens that one event of the service's streams counts for. */
  readonly tokensPerEvent: number
  /** Monotonic ms by which it has its final answer. */
  readonly deadlineAt: number
  readonly reply: Reply
}

/** Why this process answers a request itself. Each names the status and whether the request may have run. */
export type Refusal =
  | { readonly type: 'notReady', readonly retryAfterMs: number }
  | { readonly type: 'shardMoving', readonly retryAfterMs: number }
  | { readonly type: 'storeAway', readonly retryAfterMs: number }
  | { readonly type: 'upstreamsFull', readonly retryAfterMs: number }
  | { readonly type: 'noUpstream', readonly retryAfterMs: number }
  | { readonly type: 'peerUnreachable', readonly retryAfterMs: number }
  | { readonly type: 'unknownRoute' }
  | { readonly type: 'unknownKey' }
  /** The client account has used its limit up. */
  | { readonly type: 'overLimit', readonly retryAfterMs: number }
  | { readonly type: 'unknownTurn' }
  | { readonly type: 'overBudget' }
  | { readonly type: 'invalid', readonly field: string, readonly expected: string }
  | { readonly type: 'headerTooLarge', readonly limitBytes: number }
  | { readonly type: 'bodyTooLarge', readonly limitBytes: number }
  /** May have run. */
  | { readonly type: 'answerLost', readonly detail: string }
  | { readonly type: 'timeout' }

/** HTTP status of a refusal. 429 and 503 promise that the request has not run and will not; 502 and 504 promise nothing. */
export function statusOf (refusal: Refusal): number {
  switch (refusal.type) {
    case 'notReady':
    case 'shardMoving':
    case 'storeAway':
    case 'upstreamsFull':
    case 'noUpstream':
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

/** How an answer ended. */
export interface ReplyEnd {
  readonly outcome: decisionLog.RequestOutcome
  readonly status: number
  /** Why it was refused. */
  readonly reason?: string
}

/** The answer to one request. Nothing is written once the client is gone. */
export class Reply {
  private gone: (() => void) | undefined
  private readonly ended: ((end: ReplyEnd) => void)[] = []
  private headed: (() => void) | undefined
  private finished = false

  constructor (private readonly res: http.ServerResponse) {
    res.on('close', () => {
      if (this.finished) return
      this.finish({ outcome: 'clientGone', status: res.statusCode })
      this.gone?.()
    })
    // A failed write is followed by 'close', which tells what has to be told.
    res.on('error', () => {})
  }

  /** Each function given is called once with the way in which the answer ended. */
  onEnd (run: (end: ReplyEnd) => void): void {
    this.ended.push(run)
  }

  /** Called once when the head of an answer is sent. */
  onHead (run: () => void): void {
    this.headed = run
  }

  /** True once the answer has ended or the client is gone. */
  get over (): boolean {
    return this.finished
  }

  get headSent (): boolean {
    return this.res.headersSent
  }

  /** Called once if the client leaves before its answer is complete. */
  onGone (run: () => void): void {
    this.gone = run
  }

  refuse (refusal: Refusal, extra: readonly string[] = []): void {
    if (this.finished) return
    const { type, ...details } = refusal
    this.finish({ outcome: 'refused', status: statusOf(refusal), reason: type })
    const body = JSON.stringify({ error: type, ...details })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...extra]
    if ('retryAfterMs' in refusal) headers.push('Retry-After', (refusal.retryAfterMs / 1000).toFixed(2))
    this.res.writeHead(statusOf(refusal), headers)
    this.res.end(body)
  }

  /** Sends an answer whose body is known. */
  send (status: number, headers: readonly string[], body: Buffer): void {
    if (this.finished) return
    this.headed?.()
    this.finish({ outcome: 'whole', status })
    this.res.writeHead(status, [...headers, 'Content-Length', String(body.length)])
    this.res.end(body)
  }

  head (status: number, headers: readonly string[]): void {
    if (this.finished) return
    this.headed?.()
    this.res.writeHead(status, [...headers])
    this.res.flushHeaders()
  }

  /** False: the client reads more slowly than this; wait for `onDrain`. */
  data (chunk: Uint8Array): boolean {
    return this.finished || this.res.write(chunk)
  }

  onDrain (run: () => void): void {
    this.res.once('drain', run)
  }

  end (): void {
    if (this.finished) return
    this.finish({ outcome: 'whole', status: this.res.statusCode })
    this.res.end()
  }

  /** Breaks the answer off so that it can't be taken for complete. */
  abort (): void {
    if (this.finished) return
    this.finish({ outcome: 'brokenOff', status: this.res.statusCode })
    this.res.destroy()
  }

  private finish (end: ReplyEnd): void {
    this.finished = true
    for (const run of this.ended) run(end)
  }
}
