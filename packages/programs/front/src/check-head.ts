/** Identifies the caller of a request and selects its route and service from the head, before the body is read. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as identifyClient from '@eelgrasswind/identify-client'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import * as accountScope from './account-scope.js'
import type * as currentRouting from './current-routing.js'
import type * as dialects from './dialect.js'
import type * as inbound from './inbound.js'

/** Dependencies of `checkHead`. */
export interface CheckHeadPorts {
  readonly dialect: Pick<dialects.Dialect, 'decodeAttempt' | 'presentedKey'>
  readonly decisions: decisionLog.DecisionLog
  readonly routing: Pick<currentRouting.CurrentRouting, 'routes' | 'accounts' | 'ageMs'>
}

/** Retry-after time while no current routing is known, in ms: slightly more than one read from the store. */
export const notReadyRetryAfterMs = 500
/** A routing that the store has not confirmed for this long, in ms, may lack valid keys: changes are normally read within about a second. */
const routingStaleAfterMs = 2_000

/** A request whose head has passed all checks, with its route, service and caller. */
export interface CheckedHead {
  readonly type: 'checked'
  readonly attempt: dialects.ClientAttempt
  /** A turn involves the owner of its program; a stream is any other request with a streamed answer, a call one without. */
  readonly kind: 'turn' | 'stream' | 'call'
  readonly path: string
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  readonly tokensPerEvent: number
  readonly caller: identifyClient.Caller
  /** Version of the routing that was used for the checks. */
  readonly version: number
}

/** A checked head, or the refusal for the client. */
export type HeadOutcome = CheckedHead | { readonly type: 'refused', readonly refusal: inbound.Refusal }

/** Checks the head of a request against one version of the routing. */
export function checkHead (ports: CheckHeadPorts, req: http.IncomingMessage, routing: routeRequest.Routing): HeadOutcome {
  const { decisions, dialect } = ports
  const decoded = dialect.decodeAttempt(req.headers)
  if (decoded.type === 'invalid') return createRefusal(decoded)
  const { id, turn } = decoded.attempt
  const path = req.url ?? '/'
  const route = ports.routing.routes.find(req.headers.host ?? '', path)
  const service = route === undefined ? undefined : routeRequest.chooseService(route, Math.random)
  if (route === undefined || service === undefined) {
    decisions.record({ event: 'unknownRoute', request: id, host: req.headers.host, path, version: routing.version })
    return createRefusal({ type: 'unknownRoute' })
  }
  const presentedKey = dialect.presentedKey(req.rawHeaders)
  const identified = identifyClient.identifyCaller(ports.routing.accounts, route, presentedKey)
  if (identified.type === 'unknownKey') {
    const routingAgeMs = Math.round(ports.routing.ageMs)
    decisions.record({ event: 'unknownKey', request: id, route: route.name, key: presentedKey.type, version: routing.version, routingAgeMs })
    // A newer version of the routing may contain the key.
    if (routingAgeMs > routingStaleAfterMs && presentedKey.type === 'key') return createRefusal({ type: 'notReady', retryAfterMs: notReadyRetryAfterMs })
    return createRefusal({ type: 'unknownKey' })
  }
  const refusal = checkPreviousTurn(route, turn)
  if (refusal !== undefined) return createRefusal(refusal)
  const { caller } = identified
  return {
    type: 'checked',
    attempt: accountScope.scopeAttempt(decoded.attempt, caller),
    kind: classifyRequest(route, turn),
    path,
    route,
    service,
    tokensPerEvent: routing.services.get(service)?.engine?.tokensPerEvent ?? 1,
    caller,
    version: routing.version
  }
}

function createRefusal (refusal: inbound.Refusal): HeadOutcome {
  return { type: 'refused', refusal }
}

/** A request is a turn, which involves the owner of its program, if the route keeps turns or the program has a token budget. */
function classifyRequest (route: routeRequest.Route, turn: dialects.TurnFields | undefined): 'turn' | 'stream' | 'call' {
  if (route.stream === undefined) return 'call'
  if (turn === undefined) return 'stream'
  return route.retain?.keepsTurns === true || turn.budgetTokens !== undefined ? 'turn' : 'stream'
}

/** Refuses a turn that names a previous turn on a route that keeps no turns. */
function checkPreviousTurn (route: routeRequest.Route, turn: dialects.TurnFields | undefined): inbound.Refusal | undefined {
  if (turn?.previous === undefined || route.retain?.keepsTurns === true) return undefined
  return { type: 'invalid', field: 'turn to continue from', expected: 'none: this route keeps no turns' }
}
