/** What the front processes tell one another beside a request: the route that the first of them chose, and who asks. */
import type * as http from 'node:http'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as inbound from './inbound.js'

const routeHeader = 'eelgrasswind-route'
const notOwnerHeader = 'eelgrasswind-not-owner'

/** The choices of the process that took the request; the owner keeps to them, also when its configuration is older or newer. */
export interface Forwarded {
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  readonly tokensPerEvent: number
  readonly caller: identifyClient.Caller
}

/** The header, name and value, that goes with a turn to its owner. */
export function encode (req: inbound.InboundRequest): string[] {
  const forwarded: Forwarded = { route: req.route, service: req.service, tokensPerEvent: req.tokensPerEvent, caller: req.caller }
  return [routeHeader, encodeURIComponent(JSON.stringify(forwarded))]
}

/** `undefined` where the header is missing or can't be read. */
export function decode (headers: http.IncomingHttpHeaders): Forwarded | undefined {
  const text = headers[routeHeader]
  if (typeof text !== 'string') return undefined
  try {
    return JSON.parse(decodeURIComponent(text)) as Forwarded
  } catch {
    return undefined
  }
}

/** The header of a refusal by a process that does not own the program. */
export const notOwner: readonly string[] = [notOwnerHeader, '1']

/** Whether an answer is that refusal. */
export function saysNotOwner (headers: http.IncomingHttpHeaders): boolean {
  return headers[notOwnerHeader] !== undefined
}
