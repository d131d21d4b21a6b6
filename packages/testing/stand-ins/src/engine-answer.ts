/** Writes one answer of the engine stand-in in the chat-completions form, whole or as server-sent events. */
import type * as http from 'node:http'
import type * as engineText from './engine-text.js'
import type * as messages from './engine-messages.js'
import * as httpHost from './http-host.js'

/** What an answer says and under which id. */
export interface AnswerSource {
  readonly requestId: string
  readonly text: engineText.AnswerText
}

export interface AnswerUsage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly generatedTokens: number
}

export interface AnswerPlan {
  readonly request: messages.ChatRequest
  readonly source: AnswerSource
  /** Id in the header of the response. */
  readonly headerId: string
  readonly fault: messages.EngineFault | undefined
  readonly createdSeconds: number
}

export interface AnswerWriter {
  /** Sends the headers of a streamed answer. */
  start: () => void
  token: (index: number) => void
  end: (usage: AnswerUsage) => void
}

const doneEvent = 'data: [DONE]\n\n'

function usageJson (usage: AnswerUsage, factor: number): object {
  const prompt = usage.promptTokens * factor
  const generated = usage.generatedTokens * factor
  return {
    prompt_tokens: prompt,
    completion_tokens: generated,
    total_tokens: prompt + generated,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  }
}

function usageFactor (fault: messages.EngineFault | undefined): number {
  return fault?.type === 'overReportUsage' ? fault.factor : 1
}

/** One answer as a single JSON body. */
function createWholeWriter (res: http.ServerResponse, plan: AnswerPlan): AnswerWriter {
  const { source, request, fault } = plan

  function end (usage: AnswerUsage): void {
    if (fault?.type === 'neverEnd') return
    const body = {
      id: source.requestId,
      object: 'chat.completion',
      created: plan.createdSeconds,
      model: request.model,
      choices: [{ index: 0, message: { role: 'assistant', content: source.text.text }, finish_reason: source.text.finishReason }],
      usage: usageJson(usage, usageFactor(fault))
    }
    const headers = { 'x-request-id': plan.headerId }
    if (fault?.type === 'truncate') httpHost.sendTruncated(res, JSON.stringify(body), headers)
    else httpHost.sendJson(res, 200, body, headers)
  }

  return { start: () => {}, token: () => {}, end }
}

/** One answer as server-sent events, closed by a usage event where it was asked for and by [DONE]. */
function createStreamWriter (res: http.ServerResponse, plan: AnswerPlan): AnswerWriter {
  const { source, request, fault } = plan
  const { tokens, finishReason } = source.text
  const sent: string[] = []
  let isCut = false
  let isCorked = false

  /** Sends what is written in one turn of the loop as one piece. */
  function cork (): void {
    if (isCorked) return
    isCorked = true
    res.cork()
    process.nextTick(() => {
      isCorked = false
      res.uncork()
    })
  }

  function event (choices: readonly object[], more: object = {}): string {
    const chunk = { id: source.requestId, object: 'chat.completion.chunk', created: plan.createdSeconds, model: request.model, choices, ...more }
    return `data: ${JSON.stringify(chunk)}\n\n`
  }

  function delta (content: object, reason: string | null): string {
    return event([{ index: 0, delta: content, finish_reason: reason }])
  }

  function write (text: string): void {
    if (isCut || res.destroyed) return
    if (fault?.type === 'duplicate') sent.push(text)
    cork()
    res.write(text)
  }

  function start (): void {
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': plan.headerId })
    write(delta({ role: 'assistant', content: '' }, null))
  }

  function token (index: number): void {
    if (fault?.type === 'truncate' && index === fault.afterTokens) return cut(fault.clean)
    const text = tokens[index]
    if (text !== undefined) write(delta({ content: text }, null))
  }

  function cut (clean: boolean): void {
    if (isCut || res.destroyed) return
    isCut = true
    if (clean) res.end()
    else res.write('data: {"id":', () => { res.req.socket.destroy() })
  }

  function end (usage: AnswerUsage): void {
    if (fault?.type === 'neverEnd') return
    if (fault?.type === 'truncate') return cut(fault.clean)
    // The answer of another request may be longer than the tokens that this one ran for.
    for (const text of tokens.slice(usage.generatedTokens)) write(delta({ content: text }, null))
    write(delta({}, finishReason))
    if (request.stream_options?.include_usage === true) write(event([], { usage: usageJson(usage, usageFactor(fault)) }))
    write(doneEvent)
    if (!res.destroyed) res.end(sent.join(''))
  }

  return { start, token, end }
}

export function createAnswerWriter (res: http.ServerResponse, plan: AnswerPlan): AnswerWriter {
  return plan.request.stream ? createStreamWriter(res, plan) : createWholeWriter(res, plan)
}
