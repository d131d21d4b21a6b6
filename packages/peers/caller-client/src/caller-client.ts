/** HTTP client for one entry. Checks that every answer of a call is complete by its length and digest. */
import * as crypto from 'node:crypto'
import type * as types from '@eelgrasswind/types'
import * as undici from 'undici'
import type * as answers from './answers.js'
import * as eventStream from './event-stream.js'

export interface CallerClientSettings {
  /** Address of the entry, as `http://ip:port`. */
  readonly address: string
  /** Bearer token of the client account. */
  readonly token: string
  /** Maximum number of connections; 64 by default. */
  readonly connections?: number
}

/** Identifies a call within its program: idempotency key, branch and sequence number on the branch. */
export interface CallMetadata {
  readonly key: string
  readonly seq: number
  readonly branch?: string
  /** Whether the call may run more than once; by default as configured for its target. */
  readonly idempotent?: boolean
  readonly timeoutMs?: number
}

/** Kind, deadline and budget of a new program; defaults are configured for the kind. */
export interface StartOptions {
  readonly kind: string
  /** Milliseconds since the epoch. */
  readonly deadline?: number
  readonly budget?: Partial<types.Budget>
}

/** Model call in the form of the chat completions API. */
export interface CompletionOptions {
  readonly model: string
  readonly messages: readonly { readonly role: string, readonly content: string }[]
  readonly maxTokens?: number
  /** Whether the answer is streamed; true by default. */
  readonly stream?: boolean
}

const defaultConnections = 64
/** Status of a failure without a complete HTTP response. */
const noHttpStatus = 0

interface HttpResponse {
  readonly status: number
  readonly body: undici.Dispatcher.ResponseData['body']
}

/** Body of a completion, or of one event of a streamed completion. */
interface CompletionBody {
  readonly choices: readonly { readonly delta?: { readonly content?: string }, readonly message?: { readonly content?: string }, readonly finish_reason?: string | null }[]
  readonly usage?: { readonly prompt_tokens: number, readonly completion_tokens: number, readonly prompt_tokens_details?: { readonly cached_tokens?: number } }
  readonly eelgrasswind?: answers.AnswerTrailer
  readonly error?: Omit<answers.CallerFailure, 'status'>
}

/** Failure for a lost connection or an incomplete answer: whether the call ran is unknown. */
function createBrokenResult (message: string): answers.CallerResult<never> {
  return { ok: false, failure: { status: noHttpStatus, code: 'answerBroken', message, verdict: 'mayHaveRun', field: null, retryAfterMs: null } }
}

/** Methods resolve with a CallerResult and do not throw. */
export class CallerClient {
  private readonly pool: undici.Pool
  private readonly headers: Record<string, string>

  constructor (settings: CallerClientSettings) {
    this.pool = new undici.Pool(settings.address, { connections: settings.connections ?? defaultConnections, bodyTimeout: 0, headersTimeout: 0 })
    this.headers = { authorization: `Bearer ${settings.token}`, 'content-type': 'application/json' }
  }

  async start (program: string, options: StartOptions): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.requestJson<{ program: types.ProgramSummary }>('PUT', `/v1/programs/${program}`, options)
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async finish (program: string): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.requestJson<{ program: types.ProgramSummary }>('POST', `/v1/programs/${program}/finish`, {})
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async read (program: string): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.requestJson<{ program: types.ProgramSummary }>('GET', `/v1/programs/${program}`)
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async readHistory (program: string): Promise<answers.CallerResult<answers.ProgramHistory>> {
    return await this.requestJson<answers.ProgramHistory>('GET', `/v1/programs/${program}/history`)
  }

  /** Calls a service within a program; the path starts with `/`, or is empty. */
  async callService (program: string, service: string, path: string, body: unknown, metadata: CallMetadata): Promise<answers.CallerResult<answers.ServiceReply>> {
    const startedAt = performance.now()
    const result = await this.requestJson<{ status: number, body: unknown, eelgrasswind: answers.AnswerTrailer }>('POST', `/v1/programs/${program}/services/${service}${path}`, { body, eelgrasswind: metadata })
    if (!result.ok) return result
    const { status, body: replyBody, eelgrasswind: trailer } = result.value
    const text = JSON.stringify(replyBody ?? null)
    if (!isIntact(text, trailer)) return createBrokenResult('answer does not match the length and digest in its trailer')
    return { ok: true, value: { status, body: replyBody, trailer, totalMs: performance.now() - startedAt } }
  }

  /** Makes a model call within a program. */
  async complete (program: string, options: CompletionOptions, metadata: CallMetadata): Promise<answers.CallerResult<answers.Completion>> {
    const { model, messages, maxTokens, stream = true } = options
    const body = { model, messages, stream, ...(maxTokens === undefined ? {} : { max_tokens: maxTokens }), eelgrasswind: metadata }
    const startedAt = performance.now()
    try {
      const response = await this.send('POST', `/v1/programs/${program}/chat/completions`, body)
      if (response.status !== 200) return await readFailure(response)
      return stream ? await readStreamedCompletion(response, startedAt) : await readJsonCompletion(response, startedAt)
    } catch (err) {
      return createBrokenResult(err instanceof Error ? err.message : String(err))
    }
  }

  private async send (method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<HttpResponse> {
    const text = body === undefined ? null : JSON.stringify(body)
    const { statusCode, body: responseBody } = await this.pool.request({ method, path, headers: this.headers, body: text })
    return { status: statusCode, body: responseBody }
  }

  private async requestJson<T> (method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<answers.CallerResult<T>> {
    try {
      const response = await this.send(method, path, body)
      if (response.status >= 400) return await readFailure(response)
      return { ok: true, value: await response.body.json() as T }
    } catch (err) {
      return createBrokenResult(err instanceof Error ? err.message : String(err))
    }
  }

  /** Closes all connections at once; requests in flight fail. */
  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

async function readFailure (response: HttpResponse): Promise<answers.CallerResult<never>> {
  const { error } = await response.body.json() as { error: Omit<answers.CallerFailure, 'status'> }
  return { ok: false, failure: { status: response.status, ...error } }
}

function isIntact (text: string, trailer: answers.AnswerTrailer): boolean {
  return text.length === trailer.length && crypto.createHash('sha256').update(text).digest('hex') === trailer.sha256
}

async function readJsonCompletion (response: HttpResponse, startedAt: number): Promise<answers.CallerResult<answers.Completion>> {
  const body = await response.body.json() as CompletionBody
  const now = performance.now()
  return createCompletion(body.choices[0]?.message?.content ?? '', body.choices[0]?.finish_reason ?? '', body, now - startedAt, now - startedAt)
}

/** Reads the body to its end, also after an error event, so that the connection can be reused. */
async function readStreamedCompletion (response: HttpResponse, startedAt: number): Promise<answers.CallerResult<answers.Completion>> {
  let text = ''
  let finishReason = ''
  let usage: CompletionBody['usage']
  let firstTextMs: number | undefined
  let result: answers.CallerResult<answers.Completion> = createBrokenResult('response stream ended before its end event')
  for await (const event of eventStream.readEvents(response.body)) {
    if (event.data === '[DONE]') continue
    const body = JSON.parse(event.data) as CompletionBody
    switch (event.name) {
      case 'error':
        result = { ok: false, failure: { status: response.status, ...body.error! } }
        break
      case 'restart':
        text = ''
        break
      case 'end': {
        const now = performance.now()
        result = createCompletion(text, finishReason, { ...body, ...(usage === undefined ? {} : { usage }) }, firstTextMs ?? now - startedAt, now - startedAt)
        break
      }
      default: {
        const choice = body.choices[0]
        if (choice?.delta?.content !== undefined) firstTextMs ??= performance.now() - startedAt
        text += choice?.delta?.content ?? ''
        finishReason = choice?.finish_reason ?? finishReason
        usage = body.usage ?? usage
      }
    }
  }
  return result
}

function createCompletion (text: string, finishReason: string, body: CompletionBody, firstTextMs: number, totalMs: number): answers.CallerResult<answers.Completion> {
  const trailer = body.eelgrasswind
  if (trailer === undefined || !isIntact(text, trailer)) return createBrokenResult('answer does not match the length and digest in its trailer')
  return {
    ok: true,
    value: {
      text,
      finishReason,
      promptTokens: body.usage?.prompt_tokens ?? 0,
      cachedTokens: body.usage?.prompt_tokens_details?.cached_tokens ?? 0,
      generatedTokens: body.usage?.completion_tokens ?? 0,
      trailer,
      firstTextMs,
      totalMs
    }
  }
}
