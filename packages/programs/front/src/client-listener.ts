/** Takes the requests of clients: checks them, finds their route, and has them served. */
import * as http from 'node:http'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as dialects from './dialect.js'
import type * as currentRouting from './current-routing.js'
import * as inbound from './inbound.js'
import * as readRequest from './read-request.js'
import type * as requestsUnderWay from './requests-under-way.js'
import * as routeTurn from './route-turn.js'
import * as serveCall from './serve-call.js'

/** What it takes to serve clients. */
export interface ClientListenerPorts extends routeTurn.RouteTurnPorts {
  readonly routing: Pick<currentRouting.CurrentRouting, 'current' | 'routes'>
  readonly requests: requestsUnderWay.RequestsUnderWay
  /** Clients are asked to open their next connection elsewhere. */
  readonly isStopping: () => boolean
}

/** Node refuses larger headers before the routing's own limit, in bytes, is looked at. */
const largestHeaderBytes = 65_536
/** An idle client connection is kept this much longer than the published limit, so that a limit that grows cuts nobody off. */
const idleFactor = 1.5
/** Time to come back before the first routing was read, in ms: one read of the store and some. */
const notReadyRetryMs = 500

/** A server for clients, not yet listening. */
export function createClientServer (ports: ClientListenerPorts): http.Server {
  return http.createServer({ maxHeaderSize: largestHeaderBytes, requestTimeout: 0 }, (req, res) => { onRequest(ports, req, res) })
}

/** Applies the bounds of a routing to the connections of clients. */
export function applyBounds (server: http.Server, bounds: routeRequest.ClientBounds): void {
  server.keepAliveTimeout = Math.round(bounds.idleTimeoutMs * idleFactor)
  server.headersTimeout = bounds.headerTimeoutMs
}

function onRequest (ports: ClientListenerPorts, req: http.IncomingMessage, res: http.ServerResponse): void {
  const arrivedAt = ports.timers.monotonic()
  if (ports.isStopping()) res.setHeader('Connection', 'close')
  const reply = new inbound.Reply(res)
  const routing = ports.routing.current
  if (routing === undefined) {
    reply.refuse({ type: 'notReady', retryAfterMs: notReadyRetryMs })
    return
  }
  const problem = readRequest.checkHeaders(req, routing.bounds)
  if (problem !== undefined) {
    reply.refuse(problem, ['Connection', 'close'])
    return
  }
  readRequest.readBody(req, routing.bounds.maxBodyBytes, (body) => {
    if (body === undefined) reply.refuse({ type: 'bodyTooLarge', limitBytes: routing.bounds.maxBodyBytes }, ['Connection', 'close'])
    else serve(ports, req, res, reply, body, arrivedAt)
  })
}

function serve (ports: ClientListenerPorts, req: http.IncomingMessage, res: http.ServerResponse, reply: inbound.Reply, body: Buffer, arrivedAt: number): void {
  const { decisions, dialect, routing } = ports
  const decoded = dialect.decodeAttempt(req.headers)
  if (decoded.type === 'invalid') {
    reply.refuse(decoded)
    return
  }
  const { attempt } = decoded
  const path = req.url ?? '/'
  const route = routing.routes.find(req.headers.host ?? '', path)
  const service = route === undefined ? undefined : routeRequest.chooseService(route, Math.random)
  if (route === undefined || service === undefined) {
    decisions.note({ event: 'unknownRoute', request: attempt.id, host: req.headers.host, path, version: routing.current?.version })
    reply.refuse({ type: 'unknownRoute' })
    return
  }
  const problem = checkTurn(route, attempt.turn)
  if (problem !== undefined) {
    reply.refuse(problem)
    return
  }
  const kind = kindOf(route, attempt.turn)
  ports.requests.add(res, reply, attempt, kind, arrivedAt)
  const request: inbound.Inbound = {
    attempt,
    method: req.method ?? 'GET',
    path,
    rawHeaders: req.rawHeaders,
    body,
    route,
    service,
    tokensPerEvent: routing.current?.services.get(service)?.engine?.tokensPerEvent ?? 1,
    deadlineAt: arrivedAt + Math.min(route.timeoutMs, attempt.deadlineMs ?? Infinity),
    reply
  }
  decisions.note({ event: 'routed', request: attempt.id, route: route.name, service, kind, version: routing.current?.version ?? 0, leftMs: Math.round(request.deadlineAt - arrivedAt) })
  if (kind === 'turn' && attempt.turn !== undefined) void routeTurn.routeTurn(ports, request, attempt.turn)
  else if (kind === 'stream') serveCall.serveStream(ports, request)
  else serveCall.serveCall(ports, request)
}

/** A turn has to pass the owner of its program where something of it is kept, or where the program has a budget. */
function kindOf (route: routeRequest.Route, turn: dialects.TurnFields | undefined): 'turn' | 'stream' | 'call' {
  if (route.stream === undefined) return 'call'
  if (turn === undefined) return 'stream'
  return route.retain?.keepsTurns === true || turn.budgetTokens !== undefined ? 'turn' : 'stream'
}

/** A turn can't continue from another where none is kept. */
function checkTurn (route: routeRequest.Route, turn: dialects.TurnFields | undefined): inbound.Refusal | undefined {
  if (turn?.previous === undefined || route.retain?.keepsTurns === true) return undefined
  return { type: 'invalid', field: 'turn to continue from', expected: 'none: this route keeps no turns' }
}
