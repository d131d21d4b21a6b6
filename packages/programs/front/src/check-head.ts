/** Decides from the head of a request who asks, for what, and where it goes: before any of its body is read. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as identifyClient from '@eelgrasswind/identify-client'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import * as accountScope from './account-scope.js'
import type * as currentRouting from './current-routing.js'
import type * as dialects from './dialect.js'
import type * as inbound from './inbound.js'

/** What it takes to check heads. */
export interface CheckHeadPorts {
  readonly dialect: Pick<dialects.Dialect, 'decodeAttempt' | 'presentedKey'>
  readonly decisions: decisionLog.DecisionLog
  readonly routing: Pick<currentRouting.CurrentRouting, 'routes' | 'accounts' | 'ageMs'>
}

/** Time to come back where no routing in force is known, in ms: one read of the store and some. */
export const notReadyRetryMs = 500
/** A routing that the store has not confirmed for this long, in ms, may lack keys that are in force: a change is read within about a second. */
const staleRoutingMs = 2_000

/** A request whose head says all that decides where it goes and whose it is. */
export interface CheckedHead {
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

/** A checked head, or what the client is told. */
export type HeadOutcome = CheckedHead | { readonly type: 'refused', readonly refusal: inbound.Refusal }

/** Who asks is decided before any of the body is read, by one version of the configuration. */
export function checkHead (ports: CheckHeadPorts, req: http.IncomingMessage, routing: routeRequest.Routing): HeadOutcome {
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
  const identified = identifyClient.identifyCaller(ports.routing.accounts, route, presented)
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
