/** Takes what other front processes pass on: turns, settled ends, and calls to the store. */
import * as http from 'node:http'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as shardLogs from '@eelgrasswind/shard-log'
import type * as accountLimits from './account-limits.js'
import * as accountScope from './account-scope.js'
import * as findChain from './find-chain.js'
import * as forwardHeader from './forward-header.js'
import * as inbound from './inbound.js'
import * as peerCalls from './peer-calls.js'
import * as readRequest from './read-request.js'
import type * as requestsUnderWay from './requests-under-way.js'
import * as reserveTurn from './reserve-turn.js'
import * as routeTurn from './route-turn.js'
import * as serveTurn from './serve-turn.js'
import * as settleTurn from './settle-turn.js'

/** What it takes to serve peers. */
export interface PeerListenerPorts extends routeTurn.RouteTurnPorts {
  /** The store as this process itself reaches it. */
  readonly directLog: shardLog.ShardLog
  readonly requests: requestsUnderWay.RequestsUnderWay
  readonly limits: Pick<accountLimits.AccountLimits, 'countReports'>
}

const largestHeaderBytes = 131_072

/** A server for peers, not yet listening. Times in ms. */
export function createPeerServer (ports: PeerListenerPorts, keepAliveTimeout: number): http.Server {
  const server = http.createServer({ maxHeaderSize: largestHeaderBytes, requestTimeout: 0, keepAliveTimeout }, (req, res) => { onCall(ports, req, res) })
  server.on('checkContinue', (req: http.IncomingMessage, res: http.ServerResponse) => { onTurn(ports, req, res) })
  return server
}

/** A turn: its sender waits for the go-ahead and knows until then that nothing ran. */
function onTurn (ports: PeerListenerPorts, req: http.IncomingMessage, res: http.ServerResponse): void {
  const arrivedAt = ports.timers.monotonic()
  const reply = new inbound.Reply(res)
  const forwarded = forwardHeader.decode(req.headers)
  const decoded = ports.dialect.decodeAttempt(req.headers)
  if (forwarded === undefined || decoded.type === 'invalid' || decoded.attempt.turn === undefined) {
    reply.refuse({ type: 'invalid', field: 'passed-on request', expected: 'a turn with its route' }, ['Connection', 'close'])
    return
  }
  const attempt = accountScope.scopeAttempt(decoded.attempt, forwarded.caller)
  const turn = attempt.turn!
  const shard = routeTurn.findServingShard(ports, turn.program)
  if (shard === undefined) {
    reply.refuse({ type: 'shardMoving', retryAfterMs: 0 }, [...forwardHeader.notOwner, 'Connection', 'close'])
    return
  }
  res.writeContinue()
  ports.requests.add(res, reply, attempt, 'passedOnTurn', arrivedAt)
  readRequest.readBody(req, Infinity, (body) => {
    if (body === undefined) return
    void serveTurn.serveTurn(ports, {
      ...forwarded,
      attempt,
      method: req.method ?? 'POST',
      path: req.url ?? '/',
      rawHeaders: req.rawHeaders,
      body,
      deadlineAt: arrivedAt + (attempt.deadlineMs ?? forwarded.route.timeoutMs),
      reply
    }, turn, shard)
  })
}

function onCall (ports: PeerListenerPorts, req: http.IncomingMessage, res: http.ServerResponse): void {
  const reply = new inbound.Reply(res)
  if (!peerCalls.isPeerCall(req)) {
    reply.refuse({ type: 'unknownRoute' })
    return
  }
  readRequest.readBody(req, Infinity, (body) => {
    if (body === undefined) return
    answerCall(ports, body).then(
      (answer) => { reply.send(200, [], peerCalls.encodeAnswer(answer)) },
      (err: unknown) => {
        ports.decisions.note({ event: 'peerCallFailed', err })
        reply.refuse({ type: 'answerLost', detail: 'internal' })
      }
    )
  })
}

async function answerCall (ports: PeerListenerPorts, body: Buffer): Promise<peerCalls.PeerAnswer> {
  const call = peerCalls.decodeCall(body)
  switch (call.type) {
    case 'store': return shardLogs.runStoreCall(ports.directLog, call.call)
    case 'ping': return { type: 'heard' }
    case 'joinNow':
      if (call.silent !== undefined) ports.failureDetector.noteReportedSilent(call.silent)
      ports.shards.joinNow()
      return { type: 'heard' }
    case 'reserve': {
      const shard = routeTurn.findServingShard(ports, call.request.program)
      return shard === undefined ? { type: 'notOwner' } : reserveTurn.reserveLocally(ports, shard, call)
    }
    case 'release': {
      const shard = routeTurn.findServingShard(ports, call.request.program)
      if (shard !== undefined) reserveTurn.releaseLocally(ports, shard, call)
      return { type: 'heard' }
    }
    case 'meter': return ports.limits.countReports(call)
    case 'findChain': return findChain.findChainLocally(ports.shards, { turn: call.turn, account: call.account })
    case 'settle': {
      const shard = routeTurn.findServingShard(ports, call.request.program)
      if (shard === undefined) return { type: 'notOwner' }
      return settleTurn.settleLocally(ports, shard, call.request, call.end)
    }
  }
}
