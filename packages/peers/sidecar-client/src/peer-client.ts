/** Client of one other process. */
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
  /** Limit for requests that have no time limit of their own, in milliseconds. */
  readonly timeoutMs: number
  /** An open request on a connection silent for this long is checked by a ping, in milliseconds. */
  readonly pingIntervalMs: number
  /** A ping unanswered for this long ends the connection, in milliseconds. */
  readonly pingTimeoutMs: number
  /** The process clock where left out. */
  readonly timers?: timerService.TimerService
  readonly onSenderReceived: (sender: types.Sender) => void
  /** Called when the peer could not be reached or its connection broke. */
  readonly onUnavailable: (failure: errors.Failure) => void
}

export interface PeerClient extends handlers.Peer {
  close: () => void
}

/** An idle session stays open for this long, in milliseconds. */
const idleSessionMs = 10 * 60_000

/**
 * A connection that has just failed a ping has its error event still to come, and Http2SessionManager.abort takes off
 * the listener for it, which would end this process. The event comes within a turn or two of the event loop.
 * In milliseconds.
 */
const abortDelayMs = 50

type Reply = { result: { case: string | undefined, value?: unknown }, sender?: gen.Sender | undefined }

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
  const channel = new channels.ChannelClient({ transport, timers, openTimeoutMs: settings.timeoutMs, noteSender, onBroken: settings.onUnavailable })
  const short = { timeoutMs: settings.timeoutMs }

  function noteSender (sender: gen.Sender | undefined): void {
    if (sender !== undefined) settings.onSenderReceived(convert.fromSender(sender))
  }

  function broken<T> (err: unknown): errors.Result<T> {
    const failure = transportFailures.transportFailure(err)
    if (failure.tag === 'peerUnavailable') settings.onUnavailable(failure)
    return errors.fail(failure)
  }

  async function ask<T> (send: () => Promise<Reply>): Promise<errors.Result<T>> {
    try {
      const reply = await send()
      noteSender(reply.sender)
      return convert.fromReply<T>(reply.result)
    } catch (err) {
      return broken(err)
    }
  }

  /** For replies that carry their document beside the sender, not in a union. */
  async function askDocument<R extends { sender?: gen.Sender | undefined }, T> (send: () => Promise<R>, read: (reply: R) => T): Promise<errors.Result<T>> {
    try {
      const reply = await send()
      noteSender(reply.sender)
      return errors.ok(read(reply))
    } catch (err) {
      return broken(err)
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
    start: (start, ctx) => channel.ask({ case: 'start', value: protobuf.create(gen.StartRequestSchema, { startJson: convert.toJson(start), traceparent: ctx.traceparent }) }, settings.timeoutMs),
    call,
    finish: (program, result, ctx) => channel.ask({ case: 'finish', value: protobuf.create(gen.FinishRequestSchema, { program, result, traceparent: ctx.traceparent }) }, settings.timeoutMs),
    read: (program, history) => channel.ask({ case: 'read', value: protobuf.create(gen.ReadRequestSchema, { program, history }) }, settings.timeoutMs),
    release: (program, askedBy) => askDocument(() => home.release({ program, askedBy }, short), (reply) => reply.released),
    list: (limit) => askDocument(() => home.list({ limit }, short), (reply) => convert.fromJson(reply.programsJson)),
    dispatch,
    seal: (seal) => ask(() => upstream.seal({ ...seal, intent: BigInt(seal.intent), intentAtMs: seal.intentAt }, short)),
    hold: (program, term, upstreamId, holdMs) => channel.ask({ case: 'hold', value: protobuf.create(gen.HoldRequestSchema, { program, term: BigInt(term), upstream: upstreamId, holdMs }) }, settings.timeoutMs),
    drop: (program, term, upstreamId) => channel.ask({ case: 'drop', value: protobuf.create(gen.DropRequestSchema, { program, term: BigInt(term), upstream: upstreamId }) }, settings.timeoutMs),
    getStatus: () => askDocument(() => peer.status({}, short), (reply) => convert.fromJson(reply.statusJson)),
    getConfig: (have) => askDocument(() => peer.getConfig({ haveVersion: BigInt(have) }, short), (reply) => {
      if (reply.configJson.length === 0) return null
      return { version: Number(reply.version) as types.ConfigVersion, config: convert.fromJson(reply.configJson) }
    }),
    explain: (program, key) => askDocument(() => peer.explain({ program, key: key ?? '' }, short), (reply) => convert.fromJson(reply.explainJson)),
    borrowShare: (wish) => ask(() => peer.borrowShare({ ...wish }, short)),
    getLoads: () => askDocument(() => peer.getLoads({}, short), (reply) => convert.fromJson(reply.loadsJson)),
    close () {
      channel.close()
      timers.after(abortDelayMs, () => session.abort())
    }
  }
}
