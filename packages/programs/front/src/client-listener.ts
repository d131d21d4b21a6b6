/** Takes the requests of clients: checks them, finds their route, and has them served. */
import * as http from 'node:http'
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import * as checkHead from './check-head.js'
import type * as currentRouting from './current-routing.js'
import * as inbound from './inbound.js'
import * as limitGate from './limit-gate.js'
import * as readRequest from './read-request.js'
import type * as requestsUnderWay from './requests-under-way.js'
import * as routeTurn from './route-turn.js'
import * as serveCall from './serve-call.js'

/** What it takes to serve clients. */
export interface ClientListenerPorts extends routeTurn.RouteTurnPorts, limitGate.LimitGatePorts {
  readonly routing: Pick<currentRouting.CurrentRouting, 'current' | 'routes' | 'accounts' | 'ageMs'>
  readonly requests: requestsUnderWay.RequestsUnderWay
  /** A routing that the store has not confirmed for this long, in ms, serves nobody; `undefined`: it always does. */
  readonly mostRoutingAgeMs: number | undefined
  /** Clients are asked to open their next connection elsewhere. */
  readonly isStopping: () => boolean
}

/** Node refuses larger headers before the routing's own limit, in bytes, is looked at. */
const largestHeaderBytes = 65_536
/** An idle client connection is kept this much longer than the published limit, so that a limit that grows cuts nobody off. */
const idleFactor = 1.5

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
  if (routing === undefined || ports.routing.ageMs > (ports.mostRoutingAgeMs ?? Infinity)) {
    reply.refuse({ type: 'notReady', retryAfterMs: checkHead.notReadyRetryMs })
    return
  }
  const problem = readRequest.checkHeaders(req, routing.bounds)
  if (problem !== undefined) {
    reply.refuse(problem, ['Connection', 'close'])
    return
  }
  const checked = checkHead.checkHead(ports, req, routing)
  if (checked.type === 'refused') {
    reply.refuse(checked.refusal)
    return
  }
  readRequest.readBody(req, routing.bounds.maxBodyBytes, (body) => {
    if (body === undefined) reply.refuse({ type: 'bodyTooLarge', limitBytes: routing.bounds.maxBodyBytes }, ['Connection', 'close'])
    else void serve(ports, checked, req, res, reply, body, arrivedAt)
  })
}

async function serve (ports: ClientListenerPorts, head: checkHead.CheckedHead, req: http.IncomingMessage, res: http.ServerResponse, reply: inbound.Reply, body: Buffer, arrivedAt: number): Promise<void> {
  const { decisions } = ports
  const { attempt, caller, kind, path, route, service, tokensPerEvent, version } = head
  ports.requests.add(res, reply, attempt, kind, arrivedAt)
  const request: inbound.InboundRequest = {
    attempt,
    method: req.method ?? 'GET',
    path,
    rawHeaders: req.rawHeaders,
    body,
    route,
    service,
    tokensPerEvent,
    caller,
    deadlineAt: arrivedAt + Math.min(route.timeoutMs, attempt.deadlineMs ?? Infinity),
    reply
  }
  decisions.note({ event: 'routed', request: attempt.id, route: route.name, service, kind, account: identifyClient.getAccount(caller), version, leftMs: Math.round(request.deadlineAt - arrivedAt) })
  if (!await limitGate.enforceAccountLimit(ports, head, reply)) return
  if (kind === 'turn' && attempt.turn !== undefined) await routeTurn.routeTurn(ports, request, attempt.turn)
  else if (kind === 'stream') serveCall.serveStream(ports, request)
  else serveCall.serveCall(ports, request)
}
