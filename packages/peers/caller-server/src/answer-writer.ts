/** Writes the answer of a call: as one JSON document, or as server-sent events. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as errorBody from './error-body.js'

/** What ends an answer, so that one cut short is never taken for whole. */
export interface AnswerSeal {
  readonly key: types.RequestKey
  readonly branch: types.BranchId
  readonly seq: number
  /** UTF-16 code units of the whole text. */
  readonly length: number
  /** SHA-256 of the whole text as UTF-8, in hex. */
  readonly sha256: string
  /** Whether the answer comes from the history. */
  readonly repeated: boolean
  readonly upstream: types.UpstreamId
  readonly usage: types.Usage
}

export function writeJson (res: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

export function writeFailure (res: http.ServerResponse, failure: errors.Failure): void {
  const seconds = errorBody.toRetryAfterSeconds(failure)
  if (seconds !== undefined) res.setHeader('retry-after', seconds)
  writeJson(res, errorBody.toHttpStatus(failure), errorBody.errorBody(failure))
}

/** The text that an outcome stands for: what its length and digest are taken over. */
export function textOf (outcome: types.CallOutcome): string {
  switch (outcome.type) {
    case 'message': return typeof outcome.message.content === 'string' ? outcome.message.content : JSON.stringify(outcome.message.content ?? null)
    case 'service': return JSON.stringify(outcome.body ?? null)
    case 'failed': return outcome.message
    default: return errors.assertNever(outcome)
  }
}

export function sealOf (end: types.CallEnd): AnswerSeal {
  const text = textOf(end.outcome)
  return {
    key: end.key,
    branch: end.branch,
    seq: end.seq,
    length: text.length,
    sha256: crypto.createHash('sha256').update(text).digest('hex'),
    repeated: end.repeated,
    upstream: end.upstream,
    usage: end.usage
  }
}

/** A call that was given up and stands as failed in the history. */
function recordedFailure (outcome: Extract<types.CallOutcome, { type: 'failed' }>): errors.Failure {
  return { tag: 'upstreamFailed', verdict: outcome.verdict, message: `${outcome.tag}: ${outcome.message}`, status: 0 }
}

function usageOf (tokens: types.TokenCount) {
  return {
    prompt_tokens: tokens.prompt,
    completion_tokens: tokens.generated,
    total_tokens: tokens.prompt + tokens.generated,
    prompt_tokens_details: { cached_tokens: tokens.cached }
  }
}

export function writeServiceEnd (res: http.ServerResponse, end: types.CallEnd): void {
  const { outcome } = end
  if (outcome.type === 'failed') return writeFailure(res, recordedFailure(outcome))
  if (outcome.type !== 'service') return writeFailure(res, mismatch('service'))
  writeJson(res, 200, { status: outcome.status, body: outcome.body, eelgrasswind: sealOf(end) })
}

export function writeCompletionEnd (res: http.ServerResponse, end: types.CallEnd, model: types.ModelId): void {
  const { outcome } = end
  if (outcome.type === 'failed') return writeFailure(res, recordedFailure(outcome))
  if (outcome.type !== 'message') return writeFailure(res, mismatch('model'))
  writeJson(res, 200, {
    id: end.key,
    object: 'chat.completion',
    model,
    choices: [{ index: 0, message: outcome.message, finish_reason: outcome.finishReason }],
    usage: usageOf(end.tokens),
    eelgrasswind: sealOf(end)
  })
}

function mismatch (wanted: string): errors.Failure {
  return { tag: 'keyReused', verdict: 'notRun', message: `the key belongs to a call that was not to a ${wanted}` }
}

/** Server-sent events of one completion. The head goes out with the first event, so that a refusal has its own status. */
export class CompletionStream implements types.CallSink {
  private headSent = false
  private sentText = ''

  constructor (private readonly res: http.ServerResponse, private readonly key: types.RequestKey, private readonly model: types.ModelId) {}

  readonly onPlaced = (): void => {
    if (this.sentText === '') return
    this.sentText = ''
    this.event('restart', this.chunk([]))
  }

  readonly onDelta = (text: string): void => {
    this.sentText += text
    this.data(this.chunk([{ index: 0, delta: { content: text }, finish_reason: null }]))
  }

  end (result: errors.Result<types.CallEnd>): void {
    if (!result.ok) return this.fail(result.failure)
    const { outcome } = result.value
    if (outcome.type === 'failed') return this.fail(recordedFailure(outcome))
    if (outcome.type !== 'message') return this.fail(mismatch('model'))
    this.sendRest(textOf(outcome))
    this.data({ ...this.chunk([{ index: 0, delta: deltaOf(outcome.message), finish_reason: outcome.finishReason }]), usage: usageOf(result.value.tokens) })
    this.event('end', { ...this.chunk([]), eelgrasswind: sealOf(result.value) })
    this.res.end('data: [DONE]\n\n')
  }

  /** An answer from the history, or one whose pieces were lost on the way, is sent whole. */
  private sendRest (text: string): void {
    if (text === this.sentText) return
    if (!text.startsWith(this.sentText)) this.onPlaced()
    this.onDelta(text.slice(this.sentText.length))
  }

  private fail (failure: errors.Failure): void {
    if (!this.headSent) return writeFailure(this.res, failure)
    this.event('error', errorBody.errorBody(failure))
    this.res.end()
  }

  private chunk (choices: readonly unknown[]) {
    return { id: this.key, object: 'chat.completion.chunk', model: this.model, choices }
  }

  private sendHead (): void {
    if (this.headSent) return
    this.headSent = true
    this.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  }

  private data (body: unknown): void {
    this.sendHead()
    this.res.write(`data: ${JSON.stringify(body)}\n\n`)
  }

  private event (name: string, body: unknown): void {
    this.sendHead()
    this.res.write(`event: ${name}\ndata: ${JSON.stringify(body)}\n\n`)
  }
}

/** What a message holds besides its text, such as tool calls. */
function deltaOf (message: types.ChatMessage): Record<string, unknown> {
  const { content, ...rest } = message
  return typeof content === 'string' ? rest : message
}
