/** Accepts requests of other front processes: forwarded turns and peer calls. */
import * as http from 'node:http'
import * as drainServer from '@eelgrasswind/drain-server'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as shardLogs from '@eelgrasswind/shard-log'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as types from '@eelgrasswind/types'
import type * as accountLimits from './account-limits.js'
import * as accountScope from './account-scope.js'
import * as awaitOwner from './await-owner.js'
import type * as dialects from './dialect.js'
import * as findChain from './find-chain.js'
import * as forwardHeader from './forward-header.js'
import * as inbound from './inbound.js'
import * as meterCall from './meter-call.js'
import * as peerCalls from './peer-calls.js'
import * as readRequest from './read-request.js'
import type * as inFlightRequests from './in-flight-requests.js'
import * as reserveTurn from './reserve-turn.js'
import * as routeTurn from './route-turn.js'
import * as serveTurn from './serve-turn.js'
import * as settleTurn from './settle-turn.js'
import type * as shutdowns from './shutdown.js'
import type * as upstreamCrashes from './upstream-crashes.js'

/** Dependencies of the peer listener. */
export interface PeerListenerPorts extends routeTurn.RouteTurnPorts {
  /** The store without a relay through peers. */
  readonly directLog: shardLog.ShardLog
  readonly inFlightRequests: inFlightRequests.InFlightRequests
  readonly limits: Pick<accountLimits.AccountLimits, 'countReports'>
  readonly shutdown: Pick<shutdowns.Shutdown, 'admit'>
  readonly crashCalls: Pick<upstreamCrashes.UpstreamCrashes, 'answerCall'>
}

const maxHeaderBytes = 131_072

/** Creates the HTTP server for peers, which does not listen yet. `keepAliveTimeout` in ms. */
export function createPeerServer (ports: PeerListenerPorts, keepAliveTimeout: number): http.Server {
  const server = http.createServer({ maxHeaderSize: maxHeaderBytes, requestTimeout: 0, keepAliveTimeout, IncomingMessage: drainServer.CountedRequest }, (req, res) => { handleCall(ports, req, res) })
  server.on('checkContinue', (req: drainServer.CountedRequest, res: http.ServerResponse) => { handleTurn(ports, req, res) })
  drainServer.limitReading(server, (socket) => { socket.destroy() })
  return server
}

/** Handles a forwarded turn. Its sender waits for `100 Continue`, and knows until then that the turn has not run. */
function handleTurn (ports: PeerListenerPorts, req: drainServer.CountedRequest, res: http.ServerResponse): void {
  const arrivedAt = ports.timers.monotonic()
  const reply = new inbound.Reply(res, (err) => { ports.decisions.record({ event: 'unexpected', err }) })
  const forwarded = forwardHeader.decode(req.headers)
  const decoded = ports.dialect.decodeAttempt(req.headers)
  if (forwarded === undefined || decoded.type === 'invalid' || decoded.attempt.turn === undefined) {
    reply.refuse({ type: 'invalid', field: 'forwarded request', expected: 'a turn with its route' }, ['Connection', 'close'])
    return
  }
  const attempt = accountScope.scopeAttempt(decoded.attempt, forwarded.caller)
  const turn = attempt.turn!
  awaitShard(ports, turn.program).then((shard) => {
    // The forwarding process may have left meanwhile.
    if (reply.over) return
    if (shard === undefined) reply.refuse({ type: 'shardMoving', retryAfterMs: 0 }, [...forwardHeader.notOwnerHeaders, 'Connection', 'close'])
    else acceptTurn(ports, req, res, { forwarded, attempt, turn, shard, reply, arrivedAt })
  }, (err: unknown) => {
    ports.decisions.record({ event: 'unexpected', err, request: attempt.id })
    reply.fail()
  })
}

/** Until a process knows what others have counted, it serves no turns. */
async function awaitShard (ports: PeerListenerPorts, program: types.ProgramId): Promise<ownShards.OwnedShard | undefined> {
  return ports.crashes.isLoaded ? routeTurn.awaitServingShard(ports, program) : undefined
}

/** A forwarded turn whose program this process owns. */
interface AcceptedTurn {
  readonly forwarded: forwardHeader.ForwardedContext
  readonly attempt: dialects.ClientAttempt
  readonly turn: dialects.TurnFields
  readonly shard: ownShards.OwnedShard
  readonly reply: inbound.Reply
  /** Monotonic ms. */
  readonly arrivedAt: number
}

function acceptTurn (ports: PeerListenerPorts, req: drainServer.CountedRequest, res: http.ServerResponse, { forwarded, attempt, turn, shard, reply, arrivedAt }: AcceptedTurn): void {
  const deadlineAt = arrivedAt + (attempt.deadlineMs ?? forwarded.route.timeoutMs)
  if (!ports.shutdown.admit(reply, deadlineAt, [...forwardHeader.notOwnerHeaders, 'Connection', 'close'])) return
  res.writeContinue()
  ports.inFlightRequests.add(res, reply, attempt, 'passedOnTurn', arrivedAt)
  readRequest.readBody(req, { maxBytes: peerCalls.maxCallBytes }, (body) => {
    if (body === undefined) {
      reply.refuse({ type: 'bodyTooLarge', limitBytes: peerCalls.maxCallBytes }, ['Connection', 'close'])
      return
    }
    // This process may be about to end.
    if (reply.over) return
    serveTurn.serveTurn(ports, {
      ...forwarded,
      attempt,
      method: req.method ?? 'POST',
      path: req.url ?? '/',
      rawHeaders: req.rawHeaders,
      body,
      deadlineAt: computeDeadline(ports, req, arrivedAt, attempt.deadlineMs ?? forwarded.route.timeoutMs),
      reply
    }, turn, shard).catch((err: unknown) => {
      ports.decisions.record({ event: 'unexpected', err, request: attempt.id })
      reply.fail()
    })
  })
}

/**
 * When the client leaves, in monotonic ms. The time that it had left as the forwarding process sent the headers counts from
 * when they were read, which may have been late; the time that it had left as the body was sent counts from when that was
 * read.
 */
function computeDeadline (ports: PeerListenerPorts, req: http.IncomingMessage, arrivedAt: number, leftAtArrivalMs: number): number {
  const leftMs = forwardHeader.decodeRemaining(req.trailers) ?? Infinity
  return Math.min(arrivedAt + leftAtArrivalMs, ports.timers.monotonic() + leftMs)
}

function handleCall (ports: PeerListenerPorts, req: drainServer.CountedRequest, res: http.ServerResponse): void {
  const reply = new inbound.Reply(res, (err) => { ports.decisions.record({ event: 'unexpected', err }) })
  if (!peerCalls.isPeerCall(req)) {
    reply.refuse({ type: 'unknownRoute' })
    return
  }
  readRequest.readBody(req, { maxBytes: peerCalls.maxCallBytes }, (body) => {
    if (body === undefined) {
      reply.refuse({ type: 'bodyTooLarge', limitBytes: peerCalls.maxCallBytes }, ['Connection', 'close'])
      return
    }
    answerCall(ports, body, () => reply.over).then(
      (answer) => { reply.send(200, [], peerCalls.encodeAnswer(answer)) },
      (err: unknown) => {
        ports.decisions.record({ event: 'peerCallFailed', err })
        reply.refuse({ type: 'answerLost', detail: 'internal' })
      }
    )
  })
}

/** `hasLeft`: whether the caller waits for the answer no longer. */
async function answerCall (ports: PeerListenerPorts, body: Buffer, hasLeft: () => boolean): Promise<peerCalls.PeerAnswer> {
  const call = peerCalls.decodeCall(body)
  switch (call.type) {
    case 'store': return shardLogs.runStoreCall(ports.directLog, call.call)
    case 'ping': return { type: 'heard' }
    case 'joinNow':
      if (call.silent !== undefined) ports.failureDetector.noteReportedSilent(call.silent)
      ports.shards.joinNow()
      return { type: 'heard' }
    case 'reserve': {
      const shard = await routeTurn.awaitServingShard(ports, call.request.program)
      return shard === undefined || hasLeft() ? { type: 'notOwner' } : reserveTurn.reserveLocally(ports, shard, call)
    }
    case 'release': {
      // Takes effect behind its reservation, which may still wait for the shard.
      void routeTurn.awaitServingShard(ports, call.request.program).then((shard) => {
        if (shard !== undefined) reserveTurn.releaseLocally(ports, shard, call)
      })
      return { type: 'heard' }
    }
    case 'meter': return ports.limits.countReports(meterCall.completeCall(call))
    case 'crashes': return ports.crashCalls.answerCall(call)
    case 'findChain': return findChain.findChainLocally(ports, { turn: call.turn, account: call.account })
    case 'settle':
    case 'settleUnreserved': {
      // Its sender asks again at once, and a process that handles each call late may never be asked while it owns the shard.
      const shard = await awaitOwner.awaitKnownOwner(ports, ports.shards.getPartition(call.request.program))
      if (shard === undefined) return { type: 'notOwner' }
      return settleTurn.settleLocally(ports, shard, call)
    }
  }
}
