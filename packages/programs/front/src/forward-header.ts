/** Headers between front processes: the route and caller of a forwarded turn, the time that its client has left, and the mark of a refusal by a process that does not own the program. */
import type * as http from 'node:http'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as inbound from './inbound.js'

const routeHeader = 'eelgrasswind-route'
const remainingHeader = 'eelgrasswind-remaining-ms'
const wholeNumberPattern = /^\d{1,15}$/
const notOwnerHeader = 'eelgrasswind-not-owner'

/** Decisions of the process that received the request; the owner uses them even if its own routing is older or newer. */
export interface ForwardedContext {
  readonly route: routeRequest.Route
  readonly service: types.ServiceId
  readonly tokensPerEvent: number
  readonly caller: identifyClient.Caller
}

/** The header, as name and value, that carries these decisions to the owner. */
export function encode (req: inbound.InboundRequest): string[] {
  const forwarded: ForwardedContext = { route: req.route, service: req.service, tokensPerEvent: req.tokensPerEvent, caller: req.caller }
  return [routeHeader, encodeURIComponent(JSON.stringify(forwarded))]
}

/** `undefined` if the header is missing or can't be decoded. */
export function decode (headers: http.IncomingHttpHeaders): ForwardedContext | undefined {
  const text = headers[routeHeader]
  if (typeof text !== 'string') return undefined
  try {
    return parseContext(JSON.parse(decodeURIComponent(text)))
  } catch {
    return undefined
  }
}

/** Checks what is read of a context on its way to an upstream. */
function parseContext (context: unknown): ForwardedContext | undefined {
  if (!isRecord(context) || !isRoute(context['route']) || typeof context['service'] !== 'string' || typeof context['tokensPerEvent'] !== 'number') return undefined
  // A release that has no accounts names no caller.
  const { caller = { type: 'anyone' } } = context
  return isCaller(caller) ? { ...context as unknown as ForwardedContext, caller } : undefined
}

function isRoute (route: unknown): boolean {
  if (!isRecord(route)) return false
  const { repeatability, timeoutMs, objectiveMs, maxAttempts, stream, retain } = route
  return typeof repeatability === 'string' && [timeoutMs, objectiveMs, maxAttempts].every((field) => typeof field === 'number') &&
    (stream === undefined || isRecord(stream)) && (retain === undefined || (isRecord(retain) && typeof retain['retainMs'] === 'number'))
}

function isCaller (caller: unknown): caller is identifyClient.Caller {
  if (!isRecord(caller)) return false
  const { type, account } = caller
  return type === 'anyone' || type === 'anonymous' || (type === 'account' && typeof account === 'string')
}

function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** The trailer, as name and value, that tells the owner how long the client still waits when the body is sent. An earlier release ignores it. */
export function encodeRemaining (remainingMs: number): string[] {
  return [remainingHeader, String(Math.max(0, Math.floor(remainingMs)))]
}

/** Time that the client had left when the body was sent, in ms; `undefined` if the forwarding process does not say, as in an earlier release. */
export function decodeRemaining (trailers: NodeJS.Dict<string>): number | undefined {
  const text = trailers[remainingHeader]
  return text !== undefined && wholeNumberPattern.test(text) ? Number(text) : undefined
}

/** Header that marks a refusal by a process that does not own the program. */
export const notOwnerHeaders: readonly string[] = [notOwnerHeader, '1']

/** Whether an answer is such a refusal. */
export function isNotOwnerRefusal (headers: http.IncomingHttpHeaders): boolean {
  return headers[notOwnerHeader] !== undefined
}
