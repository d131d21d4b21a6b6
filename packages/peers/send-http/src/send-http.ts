/** Sends one HTTP/1.1 request and reports what comes back piece by piece. */
import * as http from 'node:http'
import type * as types from '@eelgrasswind/types'

/** What is sent. Headers are name and value in turn, complete but for the connection's own. */
export interface OutgoingRequest {
  /** IP:PORT. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Uint8Array
  /** Time for a new connection to be established, in ms. */
  readonly connectTimeoutMs: number
  /**
   * Sends the body only once the other side has said `100 Continue`, and gives up if it does not within this time,
   * in ms: until then it certainly did not run. `undefined` sends everything at once.
   */
  readonly continueTimeoutMs: number | undefined
  /**
   * Must not run twice. While other sides are seen to drop idle connections without notice, it goes out on a connection
   * used within `freshMs` or on a new one: what is sent on a dropped one is reset, and nobody can tell whether it ran.
   */
  readonly atMostOnce: boolean
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  /** Name and value in turn, as received. */
  readonly rawHeaders: readonly string[]
}

/** Why there is no complete answer, and what that says of the request. */
export interface SendFailure {
  readonly verdict: types.Verdict
  readonly cause: 'refused' | 'connect' | 'unconfirmed' | 'reset' | 'malformed' | 'truncated' | 'cancelled'
  readonly detail: string
  /** Sent on a connection that had carried another request before. */
  readonly reused: boolean
}

/** Receives the answer. After `end` or `fail` nothing follows. */
export interface AnswerSink {
  readonly onHead: (head: AnswerHead) => void
  readonly onData: (chunk: Buffer) => void
  /** The answer is complete. */
  readonly onComplete: () => void
  readonly onFailed: (failure: SendFailure) => void
}

/** A request under way, and what its sender may still do with it. */
export interface Exchange {
  /** Closes the connection; the sink hears nothing more. */
  readonly cancel: () => void
  /** Stops and starts the reading of the answer. */
  readonly pause: () => void
  readonly resume: () => void
}

/** Sends requests over connections that it keeps for reuse. */
export interface Sender {
  readonly send: (request: OutgoingRequest, sink: AnswerSink) => Exchange
  readonly close: () => void
}

/** How connections are kept. */
export interface SenderSettings {
  /** An idle connection is given up after this time, in ms: well before any upstream's own limit. */
  readonly idleTimeoutMs: number
  /** The same while connections are seen to be dropped unasked, for requests that must not run twice, in ms: below the soonest drop. */
  readonly shortIdleTimeoutMs: number
}

/** Two of Node's own connection pools; the longest idle connections go first. */
export function createSender (settings: SenderSettings): Sender {
  const usual = createAgent(settings.idleTimeoutMs)
  const fresh = createAgent(settings.shortIdleTimeoutMs)
  let waryUntil = -Infinity
  const watch = (sink: AnswerSink): AnswerSink => {
    const sentAt = performance.now()
    return {
      ...sink,
      onFailed: (failure) => {
        const now = performance.now()
        if (failure.reused && failure.cause === 'reset' && now - sentAt < promptResetMs) waryUntil = now + waryMs
        sink.onFailed(failure)
      }
    }
  }
  return {
    send: (request, sink) => {
      const agent = request.atMostOnce && performance.now() < waryUntil ? fresh : usual
      return startExchange(agent, request, watch(sink))
    },
    close: () => {
      usual.destroy()
      fresh.destroy()
    }
  }
}

/** A connection that was dropped before is reset within a round trip, in ms; a request that ran first takes longer. */
const promptResetMs = 15
/**
 * So long after a reused connection was reset at once, in ms, only fresh ones carry what must not run twice.
 * Being wary at all times makes half of all sends open a connection, twice as many as without.
 */
const waryMs = 10_000

function createAgent (idleMs: number): http.Agent {
  return new http.Agent({ keepAlive: true, scheduling: 'lifo', timeout: idleMs, maxSockets: Infinity })
}

function startExchange (agent: http.Agent, request: OutgoingRequest, sink: AnswerSink): Exchange {
  const colon = request.address.lastIndexOf(':')
  const headers = request.continueTimeoutMs === undefined ? request.headers : [...request.headers, 'Expect', '100-continue']
  const req = http.request({
    agent,
    host: request.address.slice(0, colon),
    port: Number(request.address.slice(colon + 1)),
    method: request.method,
    path: request.path,
    // An array is sent as it stands; the types do not know that.
    headers: headers as unknown as http.OutgoingHttpHeaders,
    setHost: false
  })
  return new HttpExchange(req, request, sink)
}

class HttpExchange implements Exchange {
  private res: http.IncomingMessage | undefined
  private done = false
  private connected = false
  /** Something was sent that the other side may act on. */
  private sent = false
  private retired = false
  private startTimer: NodeJS.Timeout | undefined

  constructor (private readonly req: http.ClientRequest, private readonly request: OutgoingRequest, private readonly sink: AnswerSink) {
    req.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => { this.onConnect() })
      else this.onConnect()
    })
    this.startTimer = setTimeout(() => { this.failWith('connect', 'connection not established in time') }, request.connectTimeoutMs)
    req.on('response', (res) => { this.onResponse(res) })
    req.on('error', (err) => { this.onError(err) })
    req.on('close', () => { this.failWith('reset', 'connection closed') })
    if (request.continueTimeoutMs === undefined) {
      req.end(request.body)
      return
    }
    req.on('continue', () => { this.sendBody() })
    req.flushHeaders()
  }

  private sendBody (): void {
    if (this.done) return
    clearTimeout(this.startTimer)
    this.sent = true
    this.req.end(this.request.body)
  }

  cancel (): void {
    this.finish()
    this.req.destroy()
  }

  pause (): void {
    this.res?.pause()
  }

  resume (): void {
    this.res?.resume()
  }

  private onConnect (): void {
    this.connected = true
    clearTimeout(this.startTimer)
    const { continueTimeoutMs: confirmMs } = this.request
    if (confirmMs === undefined) this.sent = true
    else if (!this.done) this.startTimer = setTimeout(() => { this.failWith('unconfirmed', 'no go-ahead in time') }, confirmMs)
  }

  private onResponse (res: http.IncomingMessage): void {
    if (this.done) return
    clearTimeout(this.startTimer)
    this.res = res
    // An answer that came before the request was out leaves bytes on the way that belong to this request.
    if (!this.req.writableFinished) this.retired = true
    res.on('data', (chunk: Buffer) => { if (!this.done) this.sink.onData(chunk) })
    res.on('end', () => { this.onEnd(res) })
    res.on('error', (err) => { this.onError(err) })
    this.sink.onHead({ status: res.statusCode ?? 0, headers: res.headers, rawHeaders: res.rawHeaders })
  }

  private onEnd (res: http.IncomingMessage): void {
    if (this.done) return
    if (!res.complete) {
      this.failWith('truncated', 'connection closed within the answer')
      return
    }
    this.finish()
    if (this.retired) this.req.destroy()
    this.sink.onComplete()
  }

  private onError (err: Error): void {
    const code = (err as NodeJS.ErrnoException).code ?? ''
    const malformed = code.startsWith('HPE_')
    if (code === 'ECONNREFUSED') {
      this.failWith('refused', err.message)
      return
    }
    if (malformed) this.failWith('malformed', `${code} ${err.message}`)
    else this.failWith(this.res === undefined ? 'reset' : 'truncated', `${code} ${err.message}`)
  }

  /** Nothing can have run before the connection was made and the body was asked for. */
  private failWith (cause: SendFailure['cause'], detail: string): void {
    if (this.done) return
    const actual = this.connected || cause === 'refused' ? cause : 'connect'
    this.finish()
    this.req.destroy()
    this.sink.onFailed({ verdict: this.sent ? 'mayHaveRun' : 'notRun', cause: actual, detail, reused: this.req.reusedSocket })
  }

  private finish (): void {
    this.done = true
    clearTimeout(this.startTimer)
  }
}
