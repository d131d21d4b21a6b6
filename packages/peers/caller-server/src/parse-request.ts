/** From the parts of an HTTP request to what the process behind is asked. */
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as handlers from './caller-handlers.js'
import * as schema from './request-schema.js'

export interface CompletionRequest {
  readonly call: handlers.CallRequest
  readonly stream: boolean
}

interface ProgramOf {
  readonly program: types.ProgramId
  readonly client: types.ClientId
}

/** Headers that may stand for the members of `eelgrasswind`, for clients that cannot add members to the body. */
const placeHeaders = {
  key: 'idempotency-key',
  branch: 'x-branch',
  seq: 'x-sequence',
  idempotent: 'x-idempotent',
  timeoutMs: 'x-timeout-ms'
} as const

function headerValue (name: keyof typeof placeHeaders, text: string): unknown {
  switch (name) {
    case 'key':
    case 'branch': return text
    case 'seq':
    case 'timeoutMs': return Number(text)
    case 'idempotent': return text === 'true' ? true : text === 'false' ? false : text
    default: return errors.assertNever(name)
  }
}

function placeOf (headers: http.IncomingHttpHeaders, members: Readonly<Record<string, unknown>>): Record<string, unknown> {
  const place: Record<string, unknown> = {}
  for (const name of Object.keys(placeHeaders) as (keyof typeof placeHeaders)[]) {
    const text = headers[placeHeaders[name]]
    if (typeof text === 'string') place[name] = headerValue(name, text)
  }
  return { ...place, ...members }
}

function checkPlace (headers: http.IncomingHttpHeaders, members: Readonly<Record<string, unknown>>) {
  return schema.check(schema.callPlace, placeOf(headers, members), 'eelgrasswind')
}

export function parseStart (of: ProgramOf, body: unknown): errors.Result<types.StartRequest> {
  const parsed = schema.check(schema.startBody, body)
  if (!parsed.ok) return parsed
  const { kind, deadline, budget } = parsed.value
  const at = typeof deadline === 'string' ? Date.parse(deadline) : deadline
  return errors.ok({
    ...of,
    kind: kind as types.KindId,
    deadline: at === undefined ? null : at as types.EpochMs,
    budget: withoutUndefined(budget ?? {})
  })
}

function withoutUndefined (budget: { readonly [name in keyof types.Budget]?: number | undefined }): Partial<types.Budget> {
  return Object.fromEntries(Object.entries(budget).filter(([, value]) => value !== undefined))
}

export function parseCompletion (of: ProgramOf, headers: http.IncomingHttpHeaders, body: unknown): errors.Result<CompletionRequest> {
  const parsed = schema.check(schema.completionBody, body)
  if (!parsed.ok) return parsed
  const { model, messages, stream, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens, eelgrasswind, ...options } = parsed.value
  const place = checkPlace(headers, eelgrasswind)
  if (!place.ok) return place
  const target: types.CallTarget = {
    type: 'model',
    model: model as types.ModelId,
    messages: messages as unknown as readonly types.ChatMessage[],
    maxTokens: maxCompletionTokens ?? maxTokens ?? schema.unlimitedTokens,
    options
  }
  return errors.ok({ call: callOf(of, place.value, target), stream })
}

export function parseServiceCall (of: ProgramOf, headers: http.IncomingHttpHeaders, service: types.ServiceId, path: string, body: unknown): errors.Result<handlers.CallRequest> {
  const parsed = schema.check(schema.serviceBody, body)
  if (!parsed.ok) return parsed
  const place = checkPlace(headers, parsed.value.eelgrasswind)
  if (!place.ok) return place
  const target: types.CallTarget = { type: 'service', service, path, body: parsed.value.body ?? null }
  return errors.ok(callOf(of, place.value, target))
}

function callOf (of: ProgramOf, place: { key: string, branch: string, seq: number, idempotent?: boolean | undefined, timeoutMs?: number | undefined }, target: types.CallTarget): handlers.CallRequest {
  return {
    ...of,
    key: place.key as types.RequestKey,
    branch: place.branch as types.BranchId,
    seq: place.seq,
    idempotent: place.idempotent,
    timeoutMs: place.timeoutMs,
    target
  }
}
