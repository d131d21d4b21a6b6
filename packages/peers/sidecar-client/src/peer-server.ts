/** Server side of the protocol between processes: HTTP/2 without TLS on a given port. */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import type * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as channelSessions from './channel-session.js'
import * as convert from './convert.js'
import * as gen from './gen/eelgrasswind_pb.js'
import type * as handlers from './handlers.js'

export interface PeerServerSettings {
  /** Address to listen on; port 0 takes a free one. */
  readonly bindAddress: string
  readonly port: number
  /** What this process says of itself with every answer. */
  readonly getSender: () => types.Sender
  readonly process: handlers.ProcessHandlers
  /** Only sidecars have these. */
  readonly home?: handlers.HomeHandlers
  readonly upstream?: handlers.UpstreamHandlers
  readonly limits?: handlers.LimitHandlers
}

export interface PeerServer {
  readonly port: number
  /** Takes no new requests, and resolves when those under way have ended. */
  drain: () => Promise<void>
  /** Ends every session at once. */
  close: () => Promise<void>
}

type ReplyResult<Case extends string> = { case: Case, value: Uint8Array } | { case: 'failure', value: gen.FailureMessage }

function reply<Case extends string> (name: Case, result: errors.Result<unknown>): ReplyResult<Case> {
  if (result.ok) return { case: name, value: convert.toJson(result.value) }
  return { case: 'failure', value: convert.toFailureMessage(result.failure) }
}

/** The failure of an answer that carries none on the wire becomes an RPC error. */
function valueOf<T> (result: errors.Result<T>): T {
  if (result.ok) return result.value
  throw new errors.FailureError(result.failure)
}

/** A handler that throws must still answer with a failure that has a verdict. */
async function guarded<T> (run: () => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
  try {
    return await run()
  } catch (err) {
    return errors.fail(errors.toFailure(err))
  }
}

function homeRoutes (router: connect.ConnectRouter, home: handlers.HomeHandlers, sender: () => gen.Sender): void {
  router.service(gen.HomeService, {
    async release (req) {
      const released = await home.release(req.program as types.ProgramId, req.askedBy as types.HostId)
      return { released: valueOf(released), sender: sender() }
    },
    async list (req) {
      const programs = await home.list(req.limit)
      return { programsJson: convert.toJson(valueOf(programs)), sender: sender() }
    }
  })
}

function upstreamRoutes (router: connect.ConnectRouter, upstream: handlers.UpstreamHandlers, sender: () => gen.Sender): void {
  router.service(gen.UpstreamService, {
    async seal (req) {
      const result = await guarded(() => upstream.seal({
        program: req.program as types.ProgramId,
        key: req.key as types.RequestKey,
        upstream: req.upstream as types.UpstreamId,
        intent: Number(req.intent) as types.Term,
        intentAt: req.intentAtMs as types.EpochMs,
        incarnation: req.incarnation as types.Incarnation
      }))
      return { result: reply('stateJson', result), sender: sender() }
    }
  })
}

function processRoutes (router: connect.ConnectRouter, own: handlers.ProcessHandlers, limits: handlers.LimitHandlers | undefined, sender: () => gen.Sender): void {
  router.service(gen.PeerService, {
    async status () {
      return { statusJson: convert.toJson(valueOf(await own.getStatus())), sender: sender() }
    },
    async getConfig (req) {
      const newer = valueOf(await own.getConfig(Number(req.haveVersion) as types.ConfigVersion))
      if (newer === null) return { sender: sender() }
      return { version: BigInt(newer.version), configJson: convert.toJson(newer.config), sender: sender() }
    },
    async explain (req) {
      const key = req.key === '' ? null : req.key as types.RequestKey
      return { explainJson: convert.toJson(valueOf(await own.explain(req.program as types.ProgramId, key))), sender: sender() }
    },
    async borrowShare (req) {
      const wish: types.ShareRequest = {
        client: req.client as types.ClientId,
        limit: req.limit as types.LimitName,
        holder: req.holder as types.HostId,
        wantedPerSecond: req.wantedPerSecond,
        wantedCredit: req.wantedCredit
      }
      const result = limits === undefined ? errors.fail(ownsNoLimit) : await guarded(() => limits.borrowShare(wish))
      return { result: reply('grantJson', result), sender: sender() }
    },
    async getLoads () {
      return { loadsJson: convert.toJson(valueOf(await own.getLoads())), sender: sender() }
    }
  })
}

/** Follows the sessions of channels, so that they can be closed. */
function channelRoutes (router: connect.ConnectRouter, settings: PeerServerSettings, sender: () => gen.Sender, open: Set<channelSessions.ChannelSession>): void {
  router.service(gen.ChannelService, {
    async * open (requests, context) {
      const session = new channelSessions.ChannelSession({ sender, home: settings.home, upstream: settings.upstream })
      open.add(session)
      context.signal.addEventListener('abort', () => session.break())
      void readRequests(requests, session)
      try {
        yield * session.messages()
      } finally {
        open.delete(session)
        session.break()
      }
    }
  })
}

async function readRequests (requests: AsyncIterable<gen.RequestFrames>, session: channelSessions.ChannelSession): Promise<void> {
  try {
    for await (const message of requests) session.receive(message)
    session.close()
  } catch {
    session.break()
  }
}

const ownsNoLimit: errors.Failure = { tag: 'unknownTarget', verdict: 'notRun', message: 'an entry owns no limits', field: 'client' }

/** Follows the sessions of a server so that it can end them. */
function trackSessions (server: http2.Http2Server): Set<http2.ServerHttp2Session> {
  const sessions = new Set<http2.ServerHttp2Session>()
  server.on('session', (session) => {
    sessions.add(session)
    session.on('close', () => sessions.delete(session))
  })
  return sessions
}

export async function startPeerServer (settings: PeerServerSettings): Promise<PeerServer> {
  const sender = (): gen.Sender => convert.toSender(settings.getSender())
  const channels = new Set<channelSessions.ChannelSession>()
  const handler = connectNode.connectNodeAdapter({
    acceptCompression: [],
    routes (router) {
      channelRoutes(router, settings, sender, channels)
      processRoutes(router, settings.process, settings.limits, sender)
      if (settings.home !== undefined) homeRoutes(router, settings.home, sender)
      if (settings.upstream !== undefined) upstreamRoutes(router, settings.upstream, sender)
    }
  })
  const server = http2.createServer(handler)
  const sessions = trackSessions(server)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.port, settings.bindAddress, resolve)
  })

  async function drain (): Promise<void> {
    const closed = new Promise<void>((resolve) => { server.close(() => resolve()) })
    for (const channel of channels) channel.close()
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
