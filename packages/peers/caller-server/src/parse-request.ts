/** Parses the headers and JSON body of an HTTP request into the arguments of the caller handlers. */
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as handlers from './caller-handlers.js'
import * as schema from './request-schema.js'

/** A model call and whether its answer is streamed. */
export interface CompletionRequest {
  readonly call: handlers.CallRequest
  readonly stream: boolean
}

/** A program and the client account that requests it. */
interface ProgramRef {
  readonly program: types.ProgramId
  readonly client: types.ClientId
}

/** Headers that replace the members of `eelgrasswind`, for clients that cannot add members to the body. */
const metadataHeaders = {
  key: 'idempotency-key',
  branch: 'x-branch',
  seq: 'x-sequence',
  idempotent: 'x-idempotent',
  timeoutMs: 'x-timeout-ms'
} as const

function parseHeaderValue (name: keyof typeof metadataHeaders, text: string): unknown {
  switch (name) {
    case 'key':
    case 'branch': return text
    case 'seq':
    case 'timeoutMs': return Number(text)
    case 'idempotent': return text === 'true' ? true : text === 'false' ? false : text
    default: return errors.assertNever(name)
  }
}

/** Members of the body take precedence over headers. */
function mergeMetadata (headers: http.IncomingHttpHeaders, bodyMembers: Readonly<Record<string, unknown>>): Record<string, unknown> {
  const metadata: Record<string, unknown> = {}
  for (const name of Object.keys(metadataHeaders) as (keyof typeof metadataHeaders)[]) {
    const text = headers[metadataHeaders[name]]
    if (typeof text === 'string') metadata[name] = parseHeaderValue(name, text)
  }
  return { ...metadata, ...bodyMembers }
}

function parseMetadata (headers: http.IncomingHttpHeaders, bodyMembers: Readonly<Record<string, unknown>>) {
  return schema.validate(schema.callMetadata, mergeMetadata(headers, bodyMembers), 'eelgrasswind')
}

/** Parses the body of a start request; a deadline in ISO 8601 becomes milliseconds since the epoch. */
export function parseStart (programRef: ProgramRef, body: unknown): errors.Result<types.StartRequest> {
  const parsed = schema.validate(schema.startBody, body)
  if (!parsed.ok) return parsed
  const { kind, deadline, budget } = parsed.value
  const deadlineMs = typeof deadline === 'string' ? Date.parse(deadline) : deadline
  return errors.ok({
    ...programRef,
    kind: kind as types.KindId,
    deadline: deadlineMs === undefined ? null : deadlineMs as types.EpochMs,
    budget: withoutUndefined(budget ?? {})
  })
}

function withoutUndefined (budget: { readonly [name in keyof types.Budget]?: number | undefined }): Partial<types.Budget> {
  return Object.fromEntries(Object.entries(budget).filter(([, value]) => value !== undefined))
}

/** Parses a model call; max_completion_tokens takes precedence over max_tokens. */
export function parseCompletion (programRef: ProgramRef, headers: http.IncomingHttpHeaders, body: unknown): errors.Result<CompletionRequest> {
  const parsed = schema.validate(schema.completionBody, body)
  if (!parsed.ok) return parsed
  const { model, messages, stream, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens, eelgrasswind, ...options } = parsed.value
  const metadata = parseMetadata(headers, eelgrasswind)
  if (!metadata.ok) return metadata
  const target: types.CallTarget = {
    type: 'model',
    model: model as types.ModelId,
    messages: messages as unknown as readonly types.ChatMessage[],
    maxTokens: maxCompletionTokens ?? maxTokens ?? schema.unlimitedTokens,
    options
  }
  return errors.ok({ call: createCallRequest(programRef, metadata.value, target), stream })
}

export function parseServiceCall (programRef: ProgramRef, headers: http.IncomingHttpHeaders, service: types.ServiceId, path: string, body: unknown): errors.Result<handlers.CallRequest> {
  const parsed = schema.validate(schema.serviceBody, body)
  if (!parsed.ok) return parsed
  const metadata = parseMetadata(headers, parsed.value.eelgrasswind)
  if (!metadata.ok) return metadata
  const target: types.CallTarget = { type: 'service', service, path, body: parsed.value.body ?? null }
  return errors.ok(createCallRequest(programRef, metadata.value, target))
}

function createCallRequest (programRef: ProgramRef, metadata: { key: string, branch: string, seq: number, idempotent?: boolean | undefined, timeoutMs?: number | undefined }, target: types.CallTarget): handlers.CallRequest {
  return {
    ...programRef,
    key: metadata.key as types.RequestKey,
    branch: metadata.branch as types.BranchId,
    seq: metadata.seq,
    idempotent: metadata.idempotent,
    timeoutMs: metadata.timeoutMs,
    target
  }
}
