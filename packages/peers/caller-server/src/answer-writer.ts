/** Writes the answer of a call, as one JSON document or as server-sent events. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as errorBody from './error-body.js'

/** Metadata at the end of an answer. Its length and digest let the caller detect a truncated answer. */
export interface AnswerTrailer {
  readonly key: types.RequestKey
  readonly branch: types.BranchId
  readonly seq: number
  /** Length of the complete text in UTF-16 code units. */
  readonly length: number
  /** SHA-256 of the complete text as UTF-8, in hex. */
  readonly sha256: string
  /** Whether the answer was read from the history, without a new upstream call. */
  readonly repeated: boolean
  readonly upstream: types.UpstreamId
  readonly usage: types.Usage
}

export function writeJson (res: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/** Writes an error response, with Retry-After where a retry helps. */
export function writeFailure (res: http.ServerResponse, failure: errors.Failure): void {
  const retryAfterSeconds = errorBody.toRetryAfterSeconds(failure)
  if (retryAfterSeconds !== undefined) res.setHeader('retry-after', retryAfterSeconds)
  writeJson(res, errorBody.toHttpStatus(failure), errorBody.toErrorBody(failure))
}

/** The text of an outcome, over which the length and digest of the trailer are computed. */
export function getAnswerText (outcome: types.CallOutcome): string {
  switch (outcome.type) {
    case 'message': return typeof outcome.message.content === 'string' ? outcome.message.content : JSON.stringify(outcome.message.content ?? null)
    case 'service': return JSON.stringify(outcome.body ?? null)
    case 'failed': return outcome.message
    default: return errors.assertNever(outcome)
  }
}

export function createTrailer (end: types.CallEnd): AnswerTrailer {
  const text = getAnswerText(end.outcome)
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

/** The failure that the history records for an abandoned call. */
function toRecordedFailure (outcome: Extract<types.CallOutcome, { type: 'failed' }>): errors.Failure {
  return { tag: 'upstreamFailed', verdict: outcome.verdict, message: `${outcome.tag}: ${outcome.message}`, status: 0 }
}

/** Token counts in the form of the chat completions API. */
function toTokenUsage (tokens: types.TokenCount) {
  return {
    prompt_tokens: tokens.prompt,
    completion_tokens: tokens.generated,
    total_tokens: tokens.prompt + tokens.generated,
    prompt_tokens_details: { cached_tokens: tokens.cached }
  }
}

/** Writes the answer of a service call; keyReused if the recorded call was not a service call. */
export function writeServiceAnswer (res: http.ServerResponse, end: types.CallEnd): void {
  const { outcome } = end
  if (outcome.type === 'failed') return writeFailure(res, toRecordedFailure(outcome))
  if (outcome.type !== 'service') return writeFailure(res, createTargetMismatch('service'))
  writeJson(res, 200, { status: outcome.status, body: outcome.body, eelgrasswind: createTrailer(end) })
}

/** Writes a completion as one document; keyReused if the recorded call was not a model call. */
export function writeCompletionAnswer (res: http.ServerResponse, end: types.CallEnd, model: types.ModelId): void {
  const { outcome } = end
  if (outcome.type === 'failed') return writeFailure(res, toRecordedFailure(outcome))
  if (outcome.type !== 'message') return writeFailure(res, createTargetMismatch('model'))
  writeJson(res, 200, {
    id: end.key,
    object: 'chat.completion',
    model,
    choices: [{ index: 0, message: outcome.message, finish_reason: outcome.finishReason }],
    usage: toTokenUsage(end.tokens),
    eelgrasswind: createTrailer(end)
  })
}

/** Failure for a key whose recorded call has another type of target. */
function createTargetMismatch (expectedTarget: string): errors.Failure {
  return { tag: 'keyReused', verdict: 'notRun', message: `the key was already used by a call whose target is not a ${expectedTarget}` }
}

/**
 * Writes one completion as server-sent events. The response head is sent with the first event, so that a call refused
 * before it gets the HTTP status of its failure.
 */
export class CompletionStream implements types.CallSink {
  private isHeadSent = false
  private sentText = ''

  constructor (private readonly res: http.ServerResponse, private readonly key: types.RequestKey, private readonly model: types.ModelId) {}

  /** Sends a restart event, which tells the caller to discard the text of the previous attempt. */
  readonly onPlaced = (): void => {
    if (this.sentText === '') return
    this.sentText = ''
    this.writeEvent('restart', this.createChunk([]))
  }

  readonly onDelta = (text: string): void => {
    this.sentText += text
    this.writeData(this.createChunk([{ index: 0, delta: { content: text }, finish_reason: null }]))
  }

  /** Sends the end event, or the failure. */
  end (result: errors.Result<types.CallEnd>): void {
    if (!result.ok) return this.fail(result.failure)
    const { outcome } = result.value
    if (outcome.type === 'failed') return this.fail(toRecordedFailure(outcome))
    if (outcome.type !== 'message') return this.fail(createTargetMismatch('model'))
    this.sendUnsentText(getAnswerText(outcome))
    this.writeData({ ...this.createChunk([{ index: 0, delta: createFinalDelta(outcome.message), finish_reason: outcome.finishReason }]), usage: toTokenUsage(result.value.tokens) })
    this.writeEvent('end', { ...this.createChunk([]), eelgrasswind: createTrailer(result.value) })
    this.res.end('data: [DONE]\n\n')
  }

  /**
   * Sends the text that the deltas did not contain: all of it for an answer from the history. Where the sent text is not
   * a prefix of the final one, the stream restarts.
   */
  private sendUnsentText (text: string): void {
    if (text === this.sentText) return
    if (!text.startsWith(this.sentText)) this.onPlaced()
    this.onDelta(text.slice(this.sentText.length))
  }

  private fail (failure: errors.Failure): void {
    if (!this.isHeadSent) return writeFailure(this.res, failure)
    this.writeEvent('error', errorBody.toErrorBody(failure))
    this.res.end()
  }

  private createChunk (choices: readonly unknown[]) {
    return { id: this.key, object: 'chat.completion.chunk', model: this.model, choices }
  }

  private sendHead (): void {
    if (this.isHeadSent) return
    this.isHeadSent = true
    this.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  }

  private writeData (body: unknown): void {
    this.sendHead()
    this.res.write(`data: ${JSON.stringify(body)}\n\n`)
  }

  private writeEvent (name: string, body: unknown): void {
    this.sendHead()
    this.res.write(`event: ${name}\ndata: ${JSON.stringify(body)}\n\n`)
  }
}

/** The fields of a message other than its text, such as tool calls; the whole message where its content is not a string. */
function createFinalDelta (message: types.ChatMessage): Record<string, unknown> {
  const { content, ...otherFields } = message
  return typeof content === 'string' ? otherFields : message
}
