/** Takes the requests of clients: checks them, finds their route, and has them served. */
import * as http from 'node:http'
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as meterAccount from '@eelgrasswind/meter-account'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'
import type * as accountLimits from './account-limits.js'
import * as accountScope from './account-scope.js'
import type * as currentRouting from './current-routing.js'
import * as inbound from './inbound.js'
import * as readRequest from './read-request.js'
import type * as requestsUnderWay from './requests-under-way.js'
import * as routeTurn from './route-turn.js'
import * as serveCall from './serve-call.js'

/** What it takes to serve clients. */
export interface ClientListenerPorts extends routeTurn.RouteTurnPorts {
  readonly routing: Pick<currentRouting.CurrentRouting, 'current' | 'routes' | 'accounts' | 'ageMs'>
  readonly requests: requestsUnderWay.RequestsUnderWay
  readonly limits: Pick<accountLimits.AccountLimits, 'take' | 'refund'>
  /** A routing that the store has not confirmed for this long, in ms, serves nobody; `undefined`: it always does. */
  readonly mostRoutingAgeMs: number | undefined
  /** Clients are asked to open their next connection elsewhere. */
  readonly isStopping: () => boolean
}

/** Node refuses larger headers before the routing's own limit, in bytes, is looked at. */
const largestHeaderBytes = 65_536
/** An idle client connection is kept this much longer than the published limit, so that a limit that grows cuts nobody off. */
const idleFactor = 1.5
/** Time to come back before the first routing was read, in ms: one read of the store and some. */
const notReadyRetryMs = 500
/** A routing that the store has not confirmed for this long, in ms, may lack keys that are in force: a change is read within about a second. */
const staleRoutingMs = 2_000

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
    reply.refuse({ type: 'notReady', retryAfterMs: notReadyRetryMs })
    return
  }
  const problem = readRequest.checkHeaders(req, routing.bounds)
  if (problem !== undefined) {
    reply.refuse(problem, ['Connection', 'close'])
    return
  }
  const checked = checkHead(ports, req, routing)
  if (checked.type === 'refused') {
    reply.refuse(checked.refusal)
    return
  }
  readRequest.readBody(req, routing.bounds.maxBodyBytes, (body) => {
    if (body === undefined) reply.refuse({ type: 'bodyTooLarge', limitBytes: routing.bounds.maxBodyBytes }, ['Connection', 'close'])
    else void serve(ports, checked, req, res, reply, body, arrivedAt)
  })
}

/** A request whose head says all that decides where it goes and whose it is. */
interface CheckedHead {
  readonly type: 'checked'
  readonly attempt: dialects.ClientAttempt
  readonly kind: 'turn' | 'stream' | 'call'
  readonly path: string
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  readonly tokensPerEvent: number
  readonly caller: identifyClient.Caller
  /** Version of the configuration that all of this was decided by. */
  readonly version: number
}

type HeadOutcome = CheckedHead | { readonly type: 'refused', readonly refusal: inbound.Refusal }

/** Who asks is decided before any of the body is read, by one version of the configuration. */
function checkHead (ports: ClientListenerPorts, req: http.IncomingMessage, routing: routeRequest.Routing): HeadOutcome {
  const { decisions, dialect } = ports
  const decoded = dialect.decodeAttempt(req.headers)
  if (decoded.type === 'invalid') return refused(decoded)
  const { id, turn } = decoded.attempt
  const path = req.url ?? '/'
  const route = ports.routing.routes.find(req.headers.host ?? '', path)
  const service = route === undefined ? undefined : routeRequest.chooseService(route, Math.random)
  if (route === undefined || service === undefined) {
    decisions.note({ event: 'unknownRoute', request: id, host: req.headers.host, path, version: routing.version })
    return refused({ type: 'unknownRoute' })
  }
  const presented = dialect.presentedKey(req.rawHeaders)
  const identified = identifyClient.identify(ports.routing.accounts, route, presented)
  if (identified.type === 'unknownKey') {
    const routingAgeMs = Math.round(ports.routing.ageMs)
    decisions.note({ event: 'unknownKey', request: id, route: route.name, key: presented.type, version: routing.version, routingAgeMs })
    // A newer version may hold the key.
    if (routingAgeMs > staleRoutingMs && presented.type === 'key') return refused({ type: 'notReady', retryAfterMs: notReadyRetryMs })
    return refused({ type: 'unknownKey' })
  }
  const problem = checkTurn(route, turn)
  if (problem !== undefined) return refused(problem)
  const { caller } = identified
  return {
    type: 'checked',
    attempt: accountScope.scopeAttempt(decoded.attempt, caller),
    kind: kindOf(route, turn),
    path,
    route,
    service,
    tokensPerEvent: routing.services.get(service)?.engine?.tokensPerEvent ?? 1,
    caller,
    version: routing.version
  }
}

function refused (refusal: inbound.Refusal): HeadOutcome {
  return { type: 'refused', refusal }
}

async function serve (ports: ClientListenerPorts, head: CheckedHead, req: http.IncomingMessage, res: http.ServerResponse, reply: inbound.Reply, body: Buffer, arrivedAt: number): Promise<void> {
  const { decisions } = ports
  const { attempt, caller, kind, path, route, service, tokensPerEvent, version } = head
  ports.requests.add(res, reply, attempt, kind, arrivedAt)
  const request: inbound.Inbound = {
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
  decisions.note({ event: 'routed', request: attempt.id, route: route.name, service, kind, account: identifyClient.accountOf(caller), version, leftMs: Math.round(request.deadlineAt - arrivedAt) })
  if (!await isWithinLimit(ports, head, reply)) return
  if (kind === 'turn' && attempt.turn !== undefined) await routeTurn.routeTurn(ports, request, attempt.turn)
  else if (kind === 'stream') serveCall.serveStream(ports, request)
  else serveCall.serveCall(ports, request)
}

/** Counts the request against the limit of its account, or refuses it; what does not run in the end is taken back. */
async function isWithinLimit (ports: ClientListenerPorts, head: CheckedHead, reply: inbound.Reply): Promise<boolean> {
  const { decisions, limits } = ports
  const { attempt, caller, kind, route, version } = head
  if (caller.type !== 'account') return true
  const { account } = caller
  const part = partOf(head)
  const taking = limits.take(account, part)
  const taken = taking instanceof Promise ? await taking : taking
  if (taken.type === 'limited') {
    const { by, level, retryAfterMs } = taken
    decisions.note({ event: 'overLimit', request: attempt.id, program: attempt.program, account, route: route.name, part, by, level: Math.round(level), retryAfterMs, version })
    reply.refuse({ type: 'overLimit', retryAfterMs })
    return false
  }
  if (reply.over) {
    limits.refund(account, part)
    return false
  }
  reply.onEnd((end) => { if (hasNotRun(end, kind)) limits.refund(account, part) })
  return true
}

/** The first request of a program is known where its turns are kept: it continues from none. */
function partOf (head: CheckedHead): meterAccount.RequestPart {
  return head.route.retain?.keepsTurns === true && head.attempt.turn !== undefined && head.attempt.turn.previous === undefined ? 'first' : 'further'
}

/** Statuses with which this system says that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([402, 404, 429, 503])

/** Whether a request that has ended never ran: refused here, or at the owner of its program. */
function hasNotRun (end: inbound.ReplyEnd, kind: CheckedHead['kind']): boolean {
  return notRunStatuses.has(end.status) && (end.outcome === 'refused' || kind === 'turn')
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
