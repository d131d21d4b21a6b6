/** RPC server for peers: HTTP/2 without TLS. */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import type * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as errors from '@eelgrasswind/errors'
import * as listenServer from '@eelgrasswind/listen-server'
import type * as logger from '@eelgrasswind/logger'
import type * as types from '@eelgrasswind/types'
import * as channelSessions from './channel-session.js'
import * as convert from './convert.js'
import * as gen from './gen/eelgrasswind_pb.js'
import type * as handlers from './handlers.js'
import * as transportFailures from './transport-failure.js'

export interface PeerServerSettings {
  /** Address to listen on; port 0 selects a free port. */
  readonly bindAddress: string
  readonly port: number
  /** Longest wait for a taken port, in ms. */
  readonly listenTimeoutMs?: number
  readonly logger?: logger.Logger
  /** Current identity and state of this process, sent with every answer as a heartbeat. */
  readonly getSender: () => types.Sender
  readonly process: handlers.ProcessHandlers
  /** Home, upstream and limit handlers exist in sidecars only. */
  readonly home?: handlers.HomeHandlers
  readonly upstream?: handlers.UpstreamHandlers
  readonly limits?: handlers.LimitHandlers
}

export interface PeerServer {
  readonly port: number
  /** Accepts no new requests, and resolves when those in flight have ended. */
  drain: () => Promise<void>
  /** Closes all sessions at once; requests in flight fail. */
  close: () => Promise<void>
}

type ReplyResult<Case extends string> = { case: Case, value: Uint8Array } | { case: 'failure', value: gen.FailureMessage }

function toReplyResult<Case extends string> (resultCase: Case, result: errors.Result<unknown>): ReplyResult<Case> {
  if (result.ok) return { case: resultCase, value: convert.toJson(result.value) }
  return { case: 'failure', value: convert.toFailureMessage(result.failure) }
}

/** Throws the failure as an RPC error, for replies whose message has no field for a failure. */
function unwrapResult<T> (result: errors.Result<T>): T {
  if (result.ok) return result.value
  throw transportFailures.toRpcError(result.failure)
}

/** Converts an exception of a handler to a failure, so that the answer always has a verdict. */
async function catchFailure<T> (run: () => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
  try {
    return await run()
  } catch (err) {
    return errors.fail(errors.toFailure(err))
  }
}

function registerHomeRoutes (router: connect.ConnectRouter, home: handlers.HomeHandlers, getSender: () => gen.Sender): void {
  router.service(gen.HomeService, {
    async release (req) {
      const released = await home.release(req.program as types.ProgramId, req.askedBy as types.HostId)
      return { released: unwrapResult(released), sender: getSender() }
    },
    async list (req) {
      const programs = await home.list(req.limit)
      return { programsJson: convert.toJson(unwrapResult(programs)), sender: getSender() }
    }
  })
}

function registerUpstreamRoutes (router: connect.ConnectRouter, upstream: handlers.UpstreamHandlers, getSender: () => gen.Sender): void {
  router.service(gen.UpstreamService, {
    async seal (req) {
      const result = await catchFailure(() => upstream.seal({
        program: req.program as types.ProgramId,
        key: req.key as types.RequestKey,
        upstream: req.upstream as types.UpstreamId,
        intent: Number(req.intent) as types.Term,
        intentAt: req.intentAtMs as types.EpochMs,
        incarnation: req.incarnation as types.Incarnation
      }))
      return { result: toReplyResult('stateJson', result), sender: getSender() }
    }
  })
}

function registerProcessRoutes (router: connect.ConnectRouter, processHandlers: handlers.ProcessHandlers, limits: handlers.LimitHandlers | undefined, getSender: () => gen.Sender): void {
  router.service(gen.PeerService, {
    async status () {
      return { statusJson: convert.toJson(unwrapResult(await processHandlers.getStatus())), sender: getSender() }
    },
    async getConfig (req) {
      const newerConfig = unwrapResult(await processHandlers.getConfig(Number(req.haveVersion) as types.ConfigVersion))
      if (newerConfig === null) return { sender: getSender() }
      return { version: BigInt(newerConfig.version), configJson: convert.toJson(newerConfig.config), sender: getSender() }
    },
    async explain (req) {
      const key = req.key === '' ? null : req.key as types.RequestKey
      return { explainJson: convert.toJson(unwrapResult(await processHandlers.explain(req.program as types.ProgramId, key))), sender: getSender() }
    },
    async borrowShare (req) {
      const shareRequest: types.ShareRequest = {
        client: req.client as types.ClientId,
        limit: req.limit as types.LimitName,
        holder: req.holder as types.HostId,
        wantedPerSecond: req.wantedPerSecond,
        wantedCredit: req.wantedCredit
      }
      const result = limits === undefined ? errors.fail(ownsNoLimitFailure) : await catchFailure(() => limits.borrowShare(shareRequest))
      return { result: toReplyResult('grantJson', result), sender: getSender() }
    },
    async getLoads () {
      return { loadsJson: convert.toJson(unwrapResult(await processHandlers.getLoads())), sender: getSender() }
    }
  })
}

/** Adds the channel service. Open sessions are kept in the set, so that they can be closed. */
function registerChannelRoutes (router: connect.ConnectRouter, settings: PeerServerSettings, getSender: () => gen.Sender, openSessions: Set<channelSessions.ChannelSession>): void {
  router.service(gen.ChannelService, {
    async * open (requests, context) {
      const session = new channelSessions.ChannelSession({ getSender, home: settings.home, upstream: settings.upstream })
      openSessions.add(session)
      context.signal.addEventListener('abort', () => session.abort())
      void readRequests(requests, session)
      try {
        yield * session.generateMessages()
      } finally {
        openSessions.delete(session)
        session.abort()
      }
    }
  })
}

async function readRequests (requests: AsyncIterable<gen.RequestFrames>, session: channelSessions.ChannelSession): Promise<void> {
  try {
    for await (const message of requests) session.receive(message)
    session.close()
  } catch {
    session.abort()
  }
}

const ownsNoLimitFailure: errors.Failure = { tag: 'unknownTarget', verdict: 'notRun', message: 'this process does not own client limits', field: 'client' }

/** Tracks the open HTTP/2 sessions of a server, so that they can be closed. */
function trackSessions (server: http2.Http2Server): Set<http2.ServerHttp2Session> {
  const sessions = new Set<http2.ServerHttp2Session>()
  server.on('session', (session) => {
    sessions.add(session)
    session.on('close', () => sessions.delete(session))
  })
  return sessions
}

/** Starts listening; waits while the port is taken. */
export async function startPeerServer (settings: PeerServerSettings): Promise<PeerServer> {
  const getSender = (): gen.Sender => convert.toSender(settings.getSender())
  const activeChannels = new Set<channelSessions.ChannelSession>()
  const handler = connectNode.connectNodeAdapter({
    acceptCompression: [],
    routes (router) {
      registerChannelRoutes(router, settings, getSender, activeChannels)
      registerProcessRoutes(router, settings.process, settings.limits, getSender)
      if (settings.home !== undefined) registerHomeRoutes(router, settings.home, getSender)
      if (settings.upstream !== undefined) registerUpstreamRoutes(router, settings.upstream, getSender)
    }
  })
  const server = http2.createServer(handler)
  const sessions = trackSessions(server)
  await listenServer.listen(server, {
    listener: 'peer',
    host: settings.bindAddress,
    port: settings.port,
    timeoutMs: settings.listenTimeoutMs ?? listenServer.defaultListenTimeoutMs,
    report: settings.logger === undefined ? () => undefined : listenServer.createEventLog(settings.logger)
  })

  async function drain (): Promise<void> {
    const closed = new Promise<void>((resolve) => { server.close(() => resolve()) })
    for (const channel of activeChannels) channel.close()
    for (const session of sessions) session.close()
    await closed
  }

  async function close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { server.close(() => resolve()) })
    for (const session of sessions) session.destroy()
    await closed
  }

  return { port: (server.address() as net.AddressInfo).port, drain, close }
}
