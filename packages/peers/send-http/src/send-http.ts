/** HTTP/1.1 client over keep-alive connections that streams the answer to a sink. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as messageFraming from '@eelgrasswind/message-framing'
import type * as types from '@eelgrasswind/types'
import * as connectionBytes from './connection-bytes.js'
import * as connectionEnd from './connection-end.js'
import * as openConnections from './open-connections.js'
import * as pendingEvents from './pending-events.js'

/** A request to send. */
export interface OutgoingRequest {
  /** IP:PORT. */
  readonly address: string
  readonly method: string
  readonly path: string
  /** Alternating names and values. Complete except for the headers that manage the connection. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
  /** Time limit for establishing a new connection, in ms. */
  readonly connectTimeoutMs: number
  /**
   * Holds back the body until the server answers `100 Continue`, and fails the request if that takes longer than this,
   * in ms. A request without its body cannot have run. `undefined` sends headers and body at once.
   */
  readonly continueTimeoutMs: number | undefined
  /**
   * Headers that follow the body, as alternating names and values, which are known only once the body is sent. The body is
   * sent in chunks then, so `headers` must not give its length. Takes effect with `continueTimeoutMs` only.
   */
  readonly trailers?: () => readonly string[]
  /**
   * Whether the request must not run twice. While servers are known to drop idle connections without notice, such a request
   * uses a new connection or one that was idle for less than `shortIdleTimeoutMs`. On a dropped connection it would be
   * reset, and whether it ran would be unknown.
   */
  readonly atMostOnce: boolean
  /** Whether to open a new connection, which shows that the server's process is alive. */
  readonly newConnection?: boolean
  /** Limit of the answer's body, in bytes. */
  readonly maxAnswerBytes: number
}

/** Status and headers of an HTTP answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[]
}

/**
 * `invalid`: the request can't be written as HTTP. `tooLarge`: the head declares a body beyond its limit. `endless`: the
 * body, or the bytes around it, went on beyond their limits. `unexpected`: a callback of the sink threw an error.
 */
export type SendFailureCause = 'invalid' | 'refused' | 'connect' | 'unconfirmed' | 'reset' | 'malformed' | 'tooLarge' | 'endless' | 'truncated' | 'cancelled' | 'unexpected'

/** Why there is no complete answer, and whether the request may have run. */
export interface SendFailure {
  readonly verdict: types.Verdict
  readonly cause: SendFailureCause
  readonly detail: string
  /** Whether the connection had carried an earlier request. */
  readonly reused: boolean
  /** How the answer ended; `undefined` if no head has arrived. */
  readonly answer?: messageFraming.AnswerEnd | undefined
}

/** Receives the answer. No callback follows `onComplete` or `onFailed`. An error that `onHead` or `onData` throws fails the exchange. */
export interface AnswerSink {
  /** `100 Continue` has arrived; the body is sent, so that the request may run from now on. */
  readonly onConfirmed?: () => void
  readonly onHead: (head: AnswerHead) => void
  readonly onData: (chunk: Buffer) => void
  /** The whole answer has been received. */
  readonly onComplete: (answer: messageFraming.AnswerEnd) => void
  readonly onFailed: (failure: SendFailure) => void
}

/** A request in flight. */
export interface Exchange {
  /** Closes the connection. The sink gets no further callback. */
  readonly cancel: () => void
  /** The same, but reads the rest of a short answer, so that its connection can be used again. */
  readonly discard: () => void
  /** Stops reading the answer until `resume`. */
  readonly pause: () => void
  readonly resume: () => void
}

/** Sends requests over pooled connections. Neither function throws. */
export interface Sender {
  readonly send: (request: OutgoingRequest, sink: AnswerSink) => Exchange
  readonly close: () => void
}

/** A sender that tells which connections are open. */
export interface PooledSender extends Sender {
  /** The connections that are open now, idle ones included. */
  readonly connections: openConnections.OpenConnections
}

/** Idle timeouts of pooled connections. */
export interface SenderSettings {
  /** Time after which an idle connection is closed, in ms. Well below the idle timeout of every upstream. */
  readonly idleTimeoutMs: number
  /**
   * The same for requests that must not run twice while connections are being dropped without notice, in ms. Below the
   * shortest idle time after which connections are dropped.
   */
  readonly shortIdleTimeoutMs: number
  /** Receives what a callback of a sink throws, so that it does not end the requests of others with the process. Without it the error is thrown to the process. */
  readonly onSinkError?: (err: unknown) => void
}

/**
 * Creates a sender with three Node.js agents: one with the default idle timeout, one with the short one, one for new connections. The first two reuse the most
 * recently used connection first, so that the longest idle connections time out.
 */
export function createSender (settings: SenderSettings): PooledSender {
  const defaultAgent = createAgent(settings.idleTimeoutMs)
  const shortIdleAgent = createAgent(settings.shortIdleTimeoutMs)
  const connections = new openConnections.OpenConnections()
  const unpooledAgent = new http.Agent({ keepAlive: true, maxFreeSockets: 0, maxSockets: Infinity })
  let avoidIdleUntilMs = -Infinity
  const selectAgent = ({ newConnection, atMostOnce }: OutgoingRequest): http.Agent => {
    if (newConnection === true) return unpooledAgent
    return atMostOnce && performance.now() < avoidIdleUntilMs ? shortIdleAgent : defaultAgent
  }
  const watchForDroppedConnection = (sink: AnswerSink): AnswerSink => {
    const sentAtMs = performance.now()
    return {
      ...sink,
      onFailed: (failure) => {
        const nowMs = performance.now()
        if (failure.reused && failure.cause === 'reset' && nowMs - sentAtMs < droppedResetMs) avoidIdleUntilMs = nowMs + avoidIdleMs
        sink.onFailed(failure)
      }
    }
  }
  return {
    send: (request, sink) => startExchange(selectAgent(request), request, watchForDroppedConnection(sink), connections, settings.onSinkError ?? throwToProcess),
    connections,
    close: () => {
      unpooledAgent.destroy()
      defaultAgent.destroy()
      shortIdleAgent.destroy()
    }
  }
}

/** A reset within this time after sending, in ms, means that the connection was already dropped: that takes one round trip, while a request that ran takes longer. */
const droppedResetMs = 15
/**
 * How long after such a reset requests that must not run twice avoid connections with a long idle time, in ms.
 * Avoiding them always makes half of all requests open a connection, twice as many as without.
 */
const avoidIdleMs = 10_000

function createAgent (idleTimeoutMs: number): http.Agent {
  return new http.Agent({ keepAlive: true, scheduling: 'lifo', timeout: idleTimeoutMs, maxSockets: Infinity })
}

function throwToProcess (err: unknown): void {
  queueMicrotask(() => { throw err })
}

function startExchange (agent: http.Agent, request: OutgoingRequest, sink: AnswerSink, connections: openConnections.OpenConnections, onSinkError: (err: unknown) => void): Exchange {
  try {
    return new HttpExchange(createRequest(agent, request), request, sink, connections, onSinkError)
  } catch (err) {
    return new FailedExchange(sink, { verdict: 'notRun', cause: 'invalid', detail: (err as Error).message, reused: false })
  }
}

/** Throws an error if the address, the path or a header can't be written as HTTP. */
function createRequest (agent: http.Agent, request: OutgoingRequest): http.ClientRequest {
  const colon = request.address.lastIndexOf(':')
  const headers = request.continueTimeoutMs === undefined ? [...request.headers] : [...request.headers, 'Expect', '100-continue']
  if (request.trailers !== undefined) headers.push('Transfer-Encoding', 'chunked')
  return http.request({
    agent,
    host: request.address.slice(0, colon),
    port: Number(request.address.slice(colon + 1)),
    method: request.method,
    path: request.path,
    // Node.js sends an array of alternating names and values unchanged; the type declarations do not cover that.
    headers: headers as unknown as http.OutgoingHttpHeaders,
    setHost: false
  })
}

function toPairs (headers: readonly string[]): [string, string][] {
  const pairs: [string, string][] = []
  for (let index = 0; index + 1 < headers.length; index += 2) pairs.push([headers[index]!, headers[index + 1]!])
  return pairs
}

/** A request that was not sent; the sink learns of it after `send` has returned. */
class FailedExchange implements Exchange {
  private isCancelled = false

  constructor (sink: AnswerSink, failure: SendFailure) {
    process.nextTick(() => { if (!this.isCancelled) sink.onFailed(failure) })
  }

  cancel (): void {
    this.isCancelled = true
  }

  discard (): void {
    this.isCancelled = true
  }

  pause (): void {}

  resume (): void {}
}

/** Limit of the interim answers (status 1xx) to one request: more than any server sends. */
const maxInterimAnswers = 16
/**
 * Limits of the bytes of an answer that are not its body: a fixed number, for heads, interim answers and what was read
 * but not delivered yet, plus as much as the body has.
 */
const maxFramingBytes = 262_144
/**
 * Limits of the chunks of a body: a fixed number, plus one for each of these bytes. Each chunk costs a call of the parser,
 * so that a body in chunks of one byte takes a hundred times the time of another one.
 */
const maxSmallChunks = 4_096
const minMeanChunkBytes = 16
/** After this many bytes of a body the event loop serves other connections first, in bytes: a single read may deliver 2 MB. */
const maxBytesPerTurn = 131_072

/** Limit of the body of an answer that `discard` reads to its end, in bytes. */
const maxDiscardedBytes = 16_384
/** Timeout for reading it, in ms. */
const discardTimeoutMs = 250

function isShort ({ headers }: http.IncomingMessage): boolean {
  return Number(headers['content-length'] ?? Infinity) <= maxDiscardedBytes
}

/** Status codes of a final answer; those of interim answers are consumed by the HTTP client. */
const minFinalStatus = 200
const maxFinalStatus = 599

/** The parser of Node.js takes spaces within a name on some processors; such a header can't be passed on. */
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/

class HttpExchange implements Exchange {
  private socket: net.Socket | undefined
  private res: http.IncomingMessage | undefined
  private framing: messageFraming.BodyFraming = 'none'
  private bodyBytes = 0
  private bodyChunks = 0
  /** All bytes received, with those of heads and chunk framing. */
  private receivedBytes = 0
  private interimAnswers = 0
  /** Bytes of the body since the event loop last served other connections. */
  private turnBytes = 0
  private isYielding = false
  private isPausedBySink = false
  private isDone = false
  private isConnected = false
  /** Whether anything was sent that the server may act on. */
  private hasSent = false
  private isUnfitForReuse = false
  /** Limits connecting first, then the wait for `100 Continue`. */
  private phaseTimer: NodeJS.Timeout | undefined

  constructor (private readonly req: http.ClientRequest, private readonly request: OutgoingRequest, private readonly sink: AnswerSink, private readonly connections: openConnections.OpenConnections, private readonly onSinkError: (err: unknown) => void) {
    req.on('socket', (socket) => {
      this.socket = socket
      connectionEnd.watchConnection(socket)
      connectionBytes.startReceiving(socket, (bytes) => { this.onBytes(bytes) })
      if (socket.connecting) socket.once('connect', () => { this.onConnect() })
      // Without a descriptor or a local port, connecting has failed by now.
      else if (!socket.destroyed) this.onConnect()
    })
    this.startPhase(request.connectTimeoutMs, 'connect', 'connection not established within the connect timeout')
    req.on('information', () => { this.onInterimAnswer() })
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

  private startPhase (timeoutMs: number, cause: SendFailureCause, detail: string): void {
    const timer = setTimeout(() => {
      pendingEvents.afterPendingEvents(() => { if (this.phaseTimer === timer) this.failWith(cause, detail) })
    }, timeoutMs)
    this.phaseTimer = timer
  }

  private endPhase (): void {
    clearTimeout(this.phaseTimer)
    this.phaseTimer = undefined
  }

  private sendBody (): void {
    if (this.isDone) return
    this.endPhase()
    this.hasSent = true
    this.sink.onConfirmed?.()
    if (this.request.trailers !== undefined) this.req.addTrailers(toPairs(this.request.trailers()))
    this.req.end(this.request.body)
  }

  cancel (): void {
    this.finish()
    this.req.destroy()
  }

  discard (): void {
    const { req, res } = this
    if (res === undefined || !req.writableFinished || !isShort(res)) {
      this.cancel()
      return
    }
    this.isDone = true
    this.endPhase()
    const timeout = setTimeout(() => { this.cancel() }, discardTimeoutMs).unref()
    // At the end, as its connection may serve another request right after.
    res.once('end', () => { this.finish() })
    res.once('close', () => { clearTimeout(timeout) })
    res.resume()
  }

  pause (): void {
    this.isPausedBySink = true
    this.res?.pause()
  }

  resume (): void {
    this.isPausedBySink = false
    if (!this.isYielding) this.res?.resume()
  }

  private onBytes (bytes: number): void {
    this.receivedBytes += bytes
    if (this.receivedBytes > maxFramingBytes + 2 * this.bodyBytes) this.failWith('endless', 'too many bytes around the body of the answer')
  }

  private onInterimAnswer (): void {
    this.interimAnswers += 1
    if (this.interimAnswers > maxInterimAnswers) this.failWith('endless', `more than ${maxInterimAnswers} interim answers`)
  }

  private onBody (res: http.IncomingMessage, chunk: Buffer): void {
    this.bodyBytes += chunk.length
    this.bodyChunks += 1
    if (this.isDone) return
    const { maxAnswerBytes } = this.request
    if (this.bodyBytes > maxAnswerBytes) {
      this.failWith('endless', `the answer exceeds ${maxAnswerBytes} bytes`)
      return
    }
    if (this.bodyChunks > maxSmallChunks + this.bodyBytes / minMeanChunkBytes) {
      this.failWith('endless', `a body in ${this.bodyChunks} chunks`)
      return
    }
    this.yieldIfBusy(res, chunk.length)
    this.notify(() => { this.sink.onData(chunk) })
  }

  /** Stops reading until the event loop has served other connections. */
  private yieldIfBusy (res: http.IncomingMessage, bytes: number): void {
    this.turnBytes += bytes
    if (this.turnBytes < maxBytesPerTurn || this.isYielding) return
    this.isYielding = true
    res.pause()
    setImmediate(() => {
      this.turnBytes = 0
      this.isYielding = false
      if (!this.isPausedBySink) res.resume()
    })
  }

  private onConnect (): void {
    this.isConnected = true
    this.endPhase()
    if (this.socket !== undefined) this.connections.add(this.request.address, this.socket)
    const { continueTimeoutMs } = this.request
    if (continueTimeoutMs === undefined) this.hasSent = true
    else if (!this.isDone) this.startPhase(continueTimeoutMs, 'unconfirmed', 'no 100 Continue within the time limit')
  }

  private onResponse (res: http.IncomingMessage): void {
    if (this.isDone) return
    this.endPhase()
    const status = res.statusCode ?? 0
    if (status < minFinalStatus || status > maxFinalStatus) {
      this.failWith('malformed', `status ${status}`)
      return
    }
    const invalidName = res.rawHeaders.find((name, index) => index % 2 === 0 && !headerName.test(name))
    if (invalidName !== undefined) {
      this.failWith('malformed', `header ${JSON.stringify(invalidName)}`)
      return
    }
    if (Number(res.headers['content-length'] ?? 0) > this.request.maxAnswerBytes) {
      this.failWith('tooLarge', `a body of ${res.headers['content-length']} bytes`)
      return
    }
    this.res = res
    this.framing = messageFraming.getBodyFraming({
      method: this.request.method,
      status,
      transferEncoding: res.headers['transfer-encoding'],
      contentLength: res.headers['content-length']
    })
    // The answer arrived before the request was fully written: later bytes of this request would corrupt the next one on the connection.
    if (!this.req.writableFinished) this.isUnfitForReuse = true
    res.on('data', (chunk: Buffer) => { this.onBody(res, chunk) })
    res.on('end', () => { this.onEnd(res) })
    res.on('error', (err) => { this.onError(err) })
    this.notify(() => { this.sink.onHead({ status, headers: res.headers, rawHeaders: res.rawHeaders }) })
  }

  /** Runs a callback of the sink. An error that it throws would otherwise reach the parser of the HTTP client and end the process. */
  private notify (run: () => void): void {
    try {
      run()
    } catch (err) {
      this.onSinkError(err)
      this.failWith('unexpected', String(err))
    }
  }

  private onEnd (res: http.IncomingMessage): void {
    if (this.isDone) return
    const answer = this.describeAnswer()
    if (!res.complete || answer === undefined || !messageFraming.isWhole(answer)) {
      this.failWith('truncated', 'connection closed before the answer was complete')
      return
    }
    this.finish()
    if (this.isUnfitForReuse) this.req.destroy()
    this.notify(() => { this.sink.onComplete(answer) })
  }

  private onError (err: Error): void {
    const code = (err as NodeJS.ErrnoException).code ?? ''
    const isMalformed = code.startsWith('HPE_')
    if (code === 'ECONNREFUSED') {
      this.failWith('refused', err.message)
      return
    }
    if (isMalformed) this.failWith('malformed', `${code} ${err.message}`)
    else this.failWith(this.res === undefined ? 'reset' : 'truncated', `${code} ${err.message}`)
  }

  /** Fails the exchange. The request cannot have run before the connection was established and, with `continueTimeoutMs`, `100 Continue` arrived. */
  private failWith (cause: SendFailure['cause'], detail: string): void {
    if (this.isDone) return
    const actualCause = this.isConnected || cause === 'refused' ? cause : 'connect'
    const answer = this.describeAnswer()
    this.finish()
    this.req.destroy()
    this.notify(() => { this.sink.onFailed({ verdict: this.hasSent ? 'mayHaveRun' : 'notRun', cause: actualCause, detail, reused: this.req.reusedSocket, answer }) })
  }

  private describeAnswer (): messageFraming.AnswerEnd | undefined {
    const { socket, res, framing, bodyBytes } = this
    if (socket === undefined || res === undefined) return undefined
    return { framing, connection: connectionEnd.getConnectionEnd(socket), bodyBytes }
  }

  private finish (): void {
    this.isDone = true
    if (this.socket !== undefined) connectionBytes.stopReceiving(this.socket)
    this.endPhase()
  }
}
