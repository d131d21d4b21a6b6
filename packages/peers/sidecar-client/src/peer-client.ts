/** RPC client for one peer. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as channels from './channel-client.js'
import * as convert from './convert.js'
import * as gen from './gen/eelgrasswind_pb.js'
import type * as handlers from './handlers.js'
import * as sessionManager from './session-manager.js'
import * as transportFailures from './transport-failure.js'

export interface PeerClientSettings {
  /** Address of the peer, as `http://ip:port`. */
  readonly address: string
  /** Timeout of requests that have none of their own, in milliseconds. */
  readonly timeoutMs: number
  /** Time without received data after which a connection with open requests is checked by a ping, in milliseconds. */
  readonly pingIntervalMs: number
  /** Timeout of a ping, in milliseconds; the connection is closed after it. */
  readonly pingTimeoutMs: number
  /** The real clock by default. */
  readonly timers?: timerService.TimerService
  /** Called with the sender of each reply, which serves as a heartbeat of the peer. */
  readonly onSenderReceived: (sender: types.Sender) => void
  /** Called when the peer could not be reached or its connection failed. */
  readonly onUnavailable: (failure: errors.Failure) => void
}

/** Sends each request to one peer; transport errors become peerUnavailable failures. */
export interface PeerClient extends handlers.SidecarHandlers {
  /** Closes the connection; requests in flight fail. A stream that ends by this is not reported as unavailable. */
  close: () => void
  /** Closes the connection once the requests in flight have ended, and then calls `onClosed`. The peer is not reported as unavailable any more. */
  retire: (onClosed: () => void) => void
}

/** Idle timeout of the HTTP/2 session, in milliseconds. */
const idleSessionMs = 10 * 60_000

/**
 * Delay of the abort on close, in milliseconds. A connection that has just failed a ping emits its error event within
 * one or two turns of the event loop. Http2SessionManager.abort removes the listener for that event, and an unhandled
 * error event would end this process.
 */
const abortDelayMs = 50

/** Reply of a unary RPC whose result is either a JSON document or a failure. */
type ResultReply = { result: { case: string | undefined, value?: unknown }, sender?: gen.Sender | undefined }

/** Connects on the first request, and reconnects as needed. */
export function createPeerClient (settings: PeerClientSettings): PeerClient {
  const session = new sessionManager.SessionManager(settings.address, {
    pingIntervalMs: settings.pingIntervalMs,
    pingTimeoutMs: settings.pingTimeoutMs,
    idleConnectionTimeoutMs: idleSessionMs
  })
  const transport = connectNode.createConnectTransport({
    baseUrl: settings.address,
    httpVersion: '2',
    sessionManager: session,
    acceptCompression: []
  })
  const home = connect.createClient(gen.HomeService, transport)
  const upstream = connect.createClient(gen.UpstreamService, transport)
  const peer = connect.createClient(gen.PeerService, transport)
  const timers = settings.timers ?? timerService.createRealTimers()
  const channel = new channels.ChannelClient({ transport, timers, openTimeoutMs: settings.timeoutMs, onSenderReceived: reportSender, onUnavailable: settings.onUnavailable })
  const unaryOptions = { timeoutMs: settings.timeoutMs }
  let isRetired = false

  function reportSender (sender: gen.Sender | undefined): void {
    if (sender !== undefined) settings.onSenderReceived(convert.fromSender(sender))
  }

  function toFailedResult<T> (err: unknown, isPrompt = true): errors.Result<T> {
    const handlerFailure = transportFailures.findHandlerFailure(err)
    if (handlerFailure !== undefined) return errors.fail(handlerFailure)
    const failure = transportFailures.toTransportFailure(err)
    if (!isRetired && (isPrompt || !transportFailures.isTimeout(err))) settings.onUnavailable(failure)
    return errors.fail(failure)
  }

  async function requestResult<T> (send: () => Promise<ResultReply>): Promise<errors.Result<T>> {
    try {
      const reply = await send()
      reportSender(reply.sender)
      return convert.fromReply<T>(reply.result)
    } catch (err) {
      return toFailedResult(err)
    }
  }

  /**
   * For replies that have their document in a field of its own, not in a union with a failure. `isPrompt`: whether the
   * peer answers without waiting for other requests or the log, so that a timeout shows that it is unavailable.
   */
  async function requestDocument<R extends { sender?: gen.Sender | undefined }, T> (send: () => Promise<R>, parseReply: (reply: R) => T, isPrompt = true): Promise<errors.Result<T>> {
    try {
      const reply = await send()
      reportSender(reply.sender)
      return errors.ok(parseReply(reply))
    } catch (err) {
      return toFailedResult(err, isPrompt)
    }
  }

  function call (req: types.Call, ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> {
    const value = protobuf.create(gen.CallRequestSchema, { callJson: convert.toJson(req), traceparent: ctx.traceparent, wholeOnly: sink.wholeOnly === true })
    return channel.request({ case: 'call', value }, sink)
  }

  function dispatch (req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void): Promise<errors.Result<types.DispatchAnswer>> {
    const value = convert.toDispatchRequest(req, ctx.traceparent)
    return channel.request({ case: 'dispatch', value }, { onDelta, onPlaced: () => undefined }, signal)
  }

  return {
    start: (start, ctx) => channel.requestWithTimeout({ case: 'start', value: protobuf.create(gen.StartRequestSchema, { startJson: convert.toJson(start), traceparent: ctx.traceparent }) }, settings.timeoutMs),
    call,
    finish: (program, result, ctx) => channel.requestWithTimeout({ case: 'finish', value: protobuf.create(gen.FinishRequestSchema, { program, result, traceparent: ctx.traceparent }) }, settings.timeoutMs),
    read: (program, history) => channel.requestWithTimeout({ case: 'read', value: protobuf.create(gen.ReadRequestSchema, { program, history }) }, settings.timeoutMs),
    release: (program, askedBy) => requestDocument(() => home.release({ program, askedBy }, unaryOptions), (reply) => reply.released, false),
    list: (limit) => requestDocument(() => home.list({ limit }, unaryOptions), (reply) => convert.fromJson(reply.programsJson)),
    dispatch,
    seal: (seal) => requestResult(() => upstream.seal({ ...seal, intent: BigInt(seal.intent), intentAtMs: seal.intentAt }, unaryOptions)),
    hold: (program, term, upstreamId, holdMs) => channel.requestWithTimeout({ case: 'hold', value: protobuf.create(gen.HoldRequestSchema, { program, term: BigInt(term), upstream: upstreamId, holdMs }) }, settings.timeoutMs),
    drop: (program, term, upstreamId) => channel.requestWithTimeout({ case: 'drop', value: protobuf.create(gen.DropRequestSchema, { program, term: BigInt(term), upstream: upstreamId }) }, settings.timeoutMs),
    getStatus: () => requestDocument(() => peer.status({}, unaryOptions), (reply) => convert.fromJson(reply.statusJson)),
    getConfig: (haveVersion) => requestDocument(() => peer.getConfig({ haveVersion: BigInt(haveVersion) }, unaryOptions), (reply) => {
      if (reply.configJson.length === 0) return null
      return { version: Number(reply.version) as types.ConfigVersion, config: convert.fromJson(reply.configJson) }
    }),
    explain: (program, key) => requestDocument(() => peer.explain({ program, key: key ?? '' }, unaryOptions), (reply) => convert.fromJson(reply.explainJson)),
    borrowShare: (request) => requestResult(() => peer.borrowShare({ ...request }, unaryOptions)),
    getLoads: () => requestDocument(() => peer.getLoads({}, unaryOptions), (reply) => convert.fromJson(reply.loadsJson)),
    close () {
      channel.close()
      timers.after(abortDelayMs, () => session.abort())
    },
    retire (onClosed) {
      isRetired = true
      // Requests that are not on the channel end within their timeout.
      channel.retire(() => timers.after(settings.timeoutMs, () => {
        session.abort()
        onClosed()
      }))
    }
  }
}
