/** Accepts client requests: checks their heads, reads their bodies and dispatches them by kind. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as bodyBudget from '@eelgrasswind/body-budget'
import * as drainServer from '@eelgrasswind/drain-server'
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import * as checkHead from './check-head.js'
import type * as currentRouting from './current-routing.js'
import type * as heldAnswers from './held-answers.js'
import * as inbound from './inbound.js'
import * as limitGate from './limit-gate.js'
import * as pendingAnswer from './pending-answer.js'
import * as readRequest from './read-request.js'
import * as requestDeadlines from './request-deadlines.js'
import type * as inFlightRequests from './in-flight-requests.js'
import * as routeTurn from './route-turn.js'
import * as serveCall from './serve-call.js'
import type * as shutdowns from './shutdown.js'

/** Dependencies of the client listener. */
export interface ClientListenerPorts extends routeTurn.RouteTurnPorts, limitGate.LimitGatePorts {
  readonly routing: Pick<currentRouting.CurrentRouting, 'current' | 'routes' | 'accounts' | 'ageMs'>
  readonly inFlightRequests: inFlightRequests.InFlightRequests
  /** Requests are refused once the store has not confirmed the routing for this long, in ms; `undefined` sets no limit. */
  readonly maxRoutingAgeMs: number | undefined
  /** Of the bodies of all requests of clients. */
  readonly bodyBudget: bodyBudget.BodyBudget
  readonly shutdown: Pick<shutdowns.Shutdown, 'admit'>
  readonly heldAnswers: heldAnswers.HeldAnswers
}

/** What the requests of one listener share. */
interface ListenerState extends ClientListenerPorts {
  readonly requestDeadlines: requestDeadlines.RequestDeadlines
}

/** Node.js refuses larger headers, in bytes, before the limit of the routing is checked. */
const serverMaxHeaderBytes = 65_536
/** Idle client connections are kept open for the published timeout times this factor, so that raising the timeout disconnects no client. */
const keepAliveFactor = 1.5

/** Retry-after of a request whose deadline has passed, in ms: another attempt, with time of its own, can be served now. */
const lateRetryMs = 0

/** Retry-after of a request whose body does not fit beside those of others, in ms: those that stand still end at their deadlines. */
const bodiesFullRetryMs = 1_000

/** Headers of a refusal whose client may still send the body. */
const closeHeaders = ['Connection', 'close']
const emptyBody = Buffer.alloc(0)

/** Creates the HTTP server for clients, which does not listen yet. */
export function createClientServer (ports: ClientListenerPorts): drainServer.DrainServer {
  const newest = new WeakMap<net.Socket, http.ServerResponse>()
  const state = { ...ports, requestDeadlines: new requestDeadlines.RequestDeadlines(ports) }
  const { decisions } = ports
  const unread: drainServer.UnreadLimits = {
    getMaxBytes: () => ports.heldAnswers.freeBytes,
    onEnd: (end) => { decisions.record({ event: 'answersUnread', ...end, limitBytes: ports.heldAnswers.freeBytes }) }
  }
  const drainable = drainServer.createDrainServer({ maxHeaderSize: serverMaxHeaderBytes, requestTimeout: 0, unread }, (req, res) => {
    const former = newest.get(req.socket)
    newest.set(req.socket, res)
    handleRequest(state, former === undefined || former.writableFinished ? undefined : new pendingAnswer.PendingAnswer(former), req, res)
  })
  ports.heldAnswers.onLess(() => { drainable.limitUnread() })
  return drainable
}

/** Applies the timeouts of a routing to the client connections. */
export function applyBounds (clientServer: drainServer.DrainServer, bounds: routeRequest.ClientBounds): void {
  clientServer.setKeepAliveTimeout(Math.round(bounds.idleTimeoutMs * keepAliveFactor))
  clientServer.server.headersTimeout = bounds.headerTimeoutMs
}

/** `former`: the answer to the request before on the connection, unless it has been sent. */
function handleRequest (ports: ListenerState, former: pendingAnswer.PendingAnswer | undefined, req: drainServer.CountedRequest, res: http.ServerResponse): void {
  const arrivedAt = ports.timers.monotonic()
  // HTTP/1.0 has no chunks: every end of the connection, also by the end of this process, would mark a streamed answer as complete.
  const reply = new inbound.Reply(res, (err) => { ports.decisions.record({ event: 'unexpected', err }) }, req.httpVersion === '1.0')
  const routing = ports.routing.current
  if (routing === undefined || !ports.crashes.isLoaded || ports.routing.ageMs > (ports.maxRoutingAgeMs ?? Infinity)) {
    reply.refuse({ type: 'notReady', retryAfterMs: checkHead.notReadyRetryAfterMs })
    return
  }
  const refusal = readRequest.checkHeaders(req, routing.bounds)
  if (refusal !== undefined) {
    reply.refuse(refusal, closeHeaders)
    return
  }
  const checked = checkHead.checkHead(ports, req, routing)
  if (checked.type === 'refused') {
    reply.refuse(checked.refusal)
    return
  }
  const request: ArrivedRequest = { head: checked, req, res, reply, arrivedAt, deadlineAt: arrivedAt + Math.min(checked.route.timeoutMs, checked.attempt.deadlineMs ?? Infinity) }
  if (!admitRequest(ports, request)) return
  if (!readRequest.hasBody(req)) {
    req.resume()
    serveInTurn(ports, former, request, emptyBody)
    return
  }
  receiveBody(ports, request, routing.bounds.maxBodyBytes, (body) => { serveInTurn(ports, former, request, body) })
}

/** Calls `onBody` with the complete body. Refuses the request if its body is too large, does not fit beside those of others, or is not whole at the deadline. */
function receiveBody (ports: ListenerState, request: ArrivedRequest, maxBytes: number, onBody: (body: Buffer) => void): void {
  const { req, reply, deadlineAt } = request
  const arriving = { deadlineAt, onDeadline: () => { reply.refuse({ type: 'deadlinePassed', retryAfterMs: lateRetryMs }, closeHeaders) } }
  const budgeted = ports.bodyBudget.open((bytes) => { refuseForRoom(ports, request, 'bytes', bytes) })
  const bodyRead = readRequest.readBody(req, { maxBytes, budgeted }, (body) => {
    ports.requestDeadlines.delete(arriving)
    if (body === undefined) reply.refuse({ type: 'bodyTooLarge', limitBytes: maxBytes }, closeHeaders)
    else onBody(body)
  })
  ports.requestDeadlines.add(arriving)
  req.onCrowded = () => { refuseForRoom(ports, request, 'pieces', budgeted.bytes) }
  reply.onEnd(() => {
    req.onCrowded = undefined
    ports.requestDeadlines.delete(arriving)
    budgeted.release()
    bodyRead.drop()
  })
}

function refuseForRoom ({ bodyBudget, decisions }: ListenerState, { head, reply }: ArrivedRequest, reason: 'bytes' | 'pieces', receivedBytes: number): void {
  const { usedBytes, limitBytes } = bodyBudget
  decisions.record({ event: 'bodyRefused', request: head.attempt.id, route: head.route.name, reason, receivedBytes, usedBytes, limitBytes })
  reply.refuse({ type: 'bodiesFull', retryAfterMs: bodiesFullRetryMs }, closeHeaders)
}

/** Serves a request that has arrived whole, once the one before on its connection is answered. */
function serveInTurn (ports: ListenerState, former: pendingAnswer.PendingAnswer | undefined, request: ArrivedRequest, body: Buffer): void {
  if (former === undefined) serveOrFail(ports, request, body)
  else serveAfter(ports, former, request, body)
}

/** Serves the request once `former` has been sent, and refuses it at its deadline: a client that does not read would have it wait without end. */
function serveAfter (ports: ListenerState, former: pendingAnswer.PendingAnswer, request: ArrivedRequest, body: Buffer): void {
  const { reply, deadlineAt } = request
  let waitingBody: Buffer | undefined = body
  const waiting = { deadlineAt, onDeadline: () => { reply.refuse({ type: 'deadlinePassed', retryAfterMs: lateRetryMs }) } }
  ports.requestDeadlines.add(waiting)
  reply.onEnd(() => {
    ports.requestDeadlines.delete(waiting)
    waitingBody = undefined
  })
  // An answer that breaks off closes the connection, also to the requests behind it: they must not have run.
  former.whenSent(() => {
    ports.requestDeadlines.delete(waiting)
    if (waitingBody !== undefined) serveOrFail(ports, request, waitingBody)
    waitingBody = undefined
  })
}

function serveOrFail (ports: ClientListenerPorts, request: ArrivedRequest, body: Buffer): void {
  serveRequest(ports, request, body).catch((err: unknown) => {
    ports.decisions.record({ event: 'unexpected', err, request: request.head.attempt.id })
    request.reply.fail()
  })
}

/** A request whose head has passed all checks. */
interface ArrivedRequest {
  readonly head: checkHead.CheckedHead
  readonly req: drainServer.CountedRequest
  readonly res: http.ServerResponse
  readonly reply: inbound.Reply
  /** Monotonic ms. */
  readonly arrivedAt: number
  readonly deadlineAt: number
}

/** Refuses a request that may outlast a shutdown and returns false, whether or not its body has arrived. */
function admitRequest (ports: ClientListenerPorts, { head, res, reply, arrivedAt, deadlineAt }: ArrivedRequest): boolean {
  const { attempt, kind, route } = head
  ports.inFlightRequests.add(res, reply, attempt, kind, arrivedAt)
  const noteRefusal = ({ reason }: inbound.ReplyEnd): void => {
    if (reason !== 'shuttingDown') return
    ports.decisions.record({ event: 'refusedAtShutdown', request: attempt.id, route: route.name, neededMs: Math.round(deadlineAt - arrivedAt) })
  }
  reply.onEnd(noteRefusal)
  return ports.shutdown.admit(reply, deadlineAt)
}

async function serveRequest (ports: ClientListenerPorts, { head, req, reply, arrivedAt, deadlineAt }: ArrivedRequest, body: Buffer): Promise<void> {
  // It was refused while its body arrived.
  if (reply.over) return
  const { decisions } = ports
  const { attempt, caller, kind, path, route, service, tokensPerEvent, version } = head
  // Its body was late, or the answer before it on its connection.
  if (ports.timers.monotonic() >= deadlineAt) {
    reply.refuse({ type: 'deadlinePassed', retryAfterMs: lateRetryMs })
    return
  }
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
    deadlineAt,
    reply
  }
  decisions.record({ event: 'routed', request: attempt.id, route: route.name, service, kind, account: identifyClient.getAccount(caller), version, leftMs: Math.round(request.deadlineAt - arrivedAt) })
  if (!await limitGate.enforceAccountLimit(ports, head, reply, deadlineAt)) return
  if (kind === 'turn' && attempt.turn !== undefined) await routeTurn.routeTurn(ports, request, attempt.turn)
  else if (kind === 'stream') serveCall.serveStream(ports, request)
  else serveCall.serveCall(ports, request)
}
