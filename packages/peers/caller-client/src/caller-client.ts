/** Sends the requests of a caller to one entry and checks that every answer is whole. */
import * as crypto from 'node:crypto'
import type * as types from '@eelgrasswind/types'
import * as undici from 'undici'
import type * as answers from './answers.js'
import * as eventStream from './event-stream.js'

export interface CallerClientSettings {
  /** Address of the entry, as `http://ip:port`. */
  readonly address: string
  readonly token: string
  /** Connections kept open. */
  readonly connections?: number
}

export interface CallMetadata {
  readonly key: string
  readonly seq: number
  readonly branch?: string
  readonly idempotent?: boolean
  readonly timeoutMs?: number
}

export interface StartOptions {
  readonly kind: string
  readonly deadline?: number
  readonly budget?: Partial<types.Budget>
}

export interface CompletionOptions {
  readonly model: string
  readonly messages: readonly { readonly role: string, readonly content: string }[]
  readonly maxTokens?: number
  /** Whether the answer streams; true where left out. */
  readonly stream?: boolean
}

const defaultConnections = 64
const noStatus = 0

interface RawAnswer {
  readonly status: number
  readonly body: undici.Dispatcher.ResponseData['body']
}

interface CompletionBody {
  readonly choices: readonly { readonly delta?: { readonly content?: string }, readonly message?: { readonly content?: string }, readonly finish_reason?: string | null }[]
  readonly usage?: { readonly prompt_tokens: number, readonly completion_tokens: number, readonly prompt_tokens_details?: { readonly cached_tokens?: number } }
  readonly eelgrasswind?: answers.AnswerTrailer
  readonly error?: Omit<answers.CallerFailure, 'status'>
}

/** The connection broke, or the answer ended before its closing event: whether it ran is not known. */
function broken (message: string): answers.CallerResult<never> {
  return { ok: false, failure: { status: noStatus, code: 'answerBroken', message, verdict: 'mayHaveRun', field: null, retryAfterMs: null } }
}

export class CallerClient {
  private readonly pool: undici.Pool
  private readonly headers: Record<string, string>

  constructor (settings: CallerClientSettings) {
    this.pool = new undici.Pool(settings.address, { connections: settings.connections ?? defaultConnections, bodyTimeout: 0, headersTimeout: 0 })
    this.headers = { authorization: `Bearer ${settings.token}`, 'content-type': 'application/json' }
  }

  async start (program: string, options: StartOptions): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.askJson<{ program: types.ProgramSummary }>('PUT', `/v1/programs/${program}`, options)
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async finish (program: string): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.askJson<{ program: types.ProgramSummary }>('POST', `/v1/programs/${program}/finish`, {})
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async read (program: string): Promise<answers.CallerResult<types.ProgramSummary>> {
    const result = await this.askJson<{ program: types.ProgramSummary }>('GET', `/v1/programs/${program}`)
    return result.ok ? { ok: true, value: result.value.program } : result
  }

  async readHistory (program: string): Promise<answers.CallerResult<answers.ProgramHistory>> {
    return await this.askJson<answers.ProgramHistory>('GET', `/v1/programs/${program}/history`)
  }

  async callService (program: string, service: string, path: string, body: unknown, place: CallMetadata): Promise<answers.CallerResult<answers.ServiceReply>> {
    const startedAt = performance.now()
    const result = await this.askJson<{ status: number, body: unknown, eelgrasswind: answers.AnswerTrailer }>('POST', `/v1/programs/${program}/services/${service}${path}`, { body, eelgrasswind: place })
    if (!result.ok) return result
    const { status, body: replied, eelgrasswind: trailer } = result.value
    const text = JSON.stringify(replied ?? null)
    if (!isWhole(text, trailer)) return broken('the answer does not match its length and digest')
    return { ok: true, value: { status, body: replied, trailer, totalMs: performance.now() - startedAt } }
  }

  async complete (program: string, options: CompletionOptions, place: CallMetadata): Promise<answers.CallerResult<answers.Completion>> {
    const { model, messages, maxTokens, stream = true } = options
    const body = { model, messages, stream, ...(maxTokens === undefined ? {} : { max_tokens: maxTokens }), eelgrasswind: place }
    const startedAt = performance.now()
    try {
      const raw = await this.send('POST', `/v1/programs/${program}/chat/completions`, body)
      if (raw.status !== 200) return await failureOf(raw)
      return stream ? await readStream(raw, startedAt) : await readWhole(raw, startedAt)
    } catch (err) {
      return broken(err instanceof Error ? err.message : String(err))
    }
  }

  private async send (method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<RawAnswer> {
    const text = body === undefined ? null : JSON.stringify(body)
    const { statusCode, body: answer } = await this.pool.request({ method, path, headers: this.headers, body: text })
    return { status: statusCode, body: answer }
  }

  private async askJson<T> (method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<answers.CallerResult<T>> {
    try {
      const raw = await this.send(method, path, body)
      if (raw.status >= 400) return await failureOf(raw)
      return { ok: true, value: await raw.body.json() as T }
    } catch (err) {
      return broken(err instanceof Error ? err.message : String(err))
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

async function failureOf (raw: RawAnswer): Promise<answers.CallerResult<never>> {
  const { error } = await raw.body.json() as { error: Omit<answers.CallerFailure, 'status'> }
  return { ok: false, failure: { status: raw.status, ...error } }
}

function isWhole (text: string, trailer: answers.AnswerTrailer): boolean {
  return text.length === trailer.length && crypto.createHash('sha256').update(text).digest('hex') === trailer.sha256
}

async function readWhole (raw: RawAnswer, startedAt: number): Promise<answers.CallerResult<answers.Completion>> {
  const body = await raw.body.json() as CompletionBody
  const now = performance.now()
  return completionOf(body.choices[0]?.message?.content ?? '', body.choices[0]?.finish_reason ?? '', body, now - startedAt, now - startedAt)
}

/** Reads to the end of the body, so that its connection is used again. */
async function readStream (raw: RawAnswer, startedAt: number): Promise<answers.CallerResult<answers.Completion>> {
  let text = ''
  let finishReason = ''
  let usage: CompletionBody['usage']
  let firstTextMs: number | undefined
  let result: answers.CallerResult<answers.Completion> = broken('the answer ended before its closing event')
  for await (const event of eventStream.readEvents(raw.body)) {
    if (event.data === '[DONE]') continue
    const body = JSON.parse(event.data) as CompletionBody
    switch (event.name) {
      case 'error':
        result = { ok: false, failure: { status: raw.status, ...body.error! } }
        break
      case 'restart':
        text = ''
        break
      case 'end': {
        const now = performance.now()
        result = completionOf(text, finishReason, { ...body, ...(usage === undefined ? {} : { usage }) }, firstTextMs ?? now - startedAt, now - startedAt)
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

function completionOf (text: string, finishReason: string, body: CompletionBody, firstTextMs: number, totalMs: number): answers.CallerResult<answers.Completion> {
  const trailer = body.eelgrasswind
  if (trailer === undefined || !isWhole(text, trailer)) return broken('the answer does not match its length and digest')
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
