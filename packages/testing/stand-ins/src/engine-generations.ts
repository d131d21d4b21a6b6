/** Runs the generations of the engine stand-in and shows their faults. */
import type * as timerService from '@eelgrasswind/timer-service'
import * as answer from './engine-answer.js'
import type * as engineBatch from './engine-batch.js'
import type * as engineCache from './engine-cache.js'
import * as engineText from './engine-text.js'
import type * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'
import type * as messages from './engine-messages.js'

export interface GenerationCounters {
  /** Generations that began, by request id. */
  readonly executions: Readonly<Record<string, number>>
  /** Requests that came in, run or not, by request id. */
  readonly requests: Readonly<Record<string, number>>
  /** Generations ended because the asker went away. */
  readonly cancelled: number
  readonly generatedTokens: number
}

export interface Generations {
  serve: (exchange: httpHost.Exchange, request: messages.ChatRequest, requestId: string) => void
  counters: () => GenerationCounters
  executions: (requestId: string) => number
}

export interface GenerationParts {
  readonly timers: timerService.TimerService
  readonly batch: engineBatch.Batch
  readonly cache: engineCache.EngineCache
  readonly faults: faultPlan.Faults<messages.EngineFault>
  readonly cacheCapacity: number
  /** Called after every change of what runs and waits. */
  readonly changed: () => void
}

const defaultRetryAfterMs = 1000
const unknownSource: answer.AnswerSource = { requestId: 'another-request', text: { tokens: ['other '], text: 'other ', finishReason: 'stop' } }

export function createGenerations (parts: GenerationParts): Generations {
  const { timers, batch, cache, faults } = parts
  const executions = new Map<string, number>()
  const requests = new Map<string, number>()
  let previous = unknownSource
  let cancelled = 0
  let generatedTokens = 0
  let nameless = 0

  function count (counts: Map<string, number>, requestId: string): void {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  }

  /** Shows the faults of requests that do not run; true where there is nothing more to do. */
  function refuses (exchange: httpHost.Exchange, requestId: string, fault: messages.EngineFault | undefined): boolean {
    const headers = { 'x-request-id': requestId }
    switch (fault?.type) {
      case 'refuse':
        httpHost.sendRefusal(exchange.res, 503, fault.retryAfterMs ?? defaultRetryAfterMs, headers)
        return true
      case 'reset':
        httpHost.resetConnection(exchange.res)
        return true
      case 'error':
        httpHost.sendJson(exchange.res, 500, { error: { message: 'failed' } }, headers)
        return true
      default:
        return false
    }
  }

  function planOf (request: messages.ChatRequest, own: answer.AnswerSource, fault: messages.EngineFault | undefined): answer.AnswerPlan {
    const other = previous
    const createdSeconds = Math.floor(timers.now() / 1000)
    const plan = { request, source: own, headerId: own.requestId, fault, createdSeconds }
    switch (fault?.type) {
      case 'wrongId':
        return { ...plan, source: { ...own, requestId: unknownSource.requestId }, headerId: unknownSource.requestId }
      case 'crossed':
        return { ...plan, source: other, headerId: other.requestId }
      case 'crossedBody':
        return { ...plan, source: other }
      default:
        return plan
    }
  }

  function serve (exchange: httpHost.Exchange, request: messages.ChatRequest, requestId: string): void {
    count(requests, requestId)
    const fault = faults.take(request.session ?? '', (one) => one.type !== 'control')
    if (refuses(exchange, requestId, fault)) return
    const promptTokens = request.messages.reduce((sum, one) => sum + engineText.messageTokens(one), 0)
    if (promptTokens + request.max_tokens > parts.cacheCapacity) {
      return httpHost.sendJson(exchange.res, 400, { error: { message: 'the prompt does not fit' } }, { 'x-request-id': requestId })
    }
    const text = engineText.answerTo({ model: request.model, messages: request.messages, maxTokens: request.max_tokens, ignoreEnd: request.ignore_eos })
    const own = { requestId, text }
    const plan = planOf(request, own, fault)
    previous = own
    run(exchange, request, own, plan, promptTokens)
  }

  function run (exchange: httpHost.Exchange, request: messages.ChatRequest, own: answer.AnswerSource, plan: answer.AnswerPlan, promptTokens: number): void {
    const { res } = exchange
    const { fault } = plan
    const writer = answer.createAnswerWriter(res, plan)
    const session = request.session ?? `nameless-${nameless++}`
    let lease: engineCache.CacheLease | undefined

    const sequence: engineBatch.Sequence = {
      priority: request.priority,
      generate: own.text.tokens.length,
      slowFactor: fault?.type === 'slow' ? fault.factor : 1,
      start () {
        lease = cache.acquire(session, request.messages, own.text.tokens.length)
        if (lease === undefined) return undefined
        count(executions, own.requestId)
        if (fault?.type !== 'loseAnswer') writer.start()
        return promptTokens - lease.cachedTokens
      },
      onToken (index) {
        generatedTokens += 1
        if (fault?.type !== 'loseAnswer') writer.token(index)
      },
      onEnd
    }

    function onEnd (): void {
      if (lease === undefined) throw new Error('ended before it started')
      const usage = { promptTokens, cachedTokens: lease.cachedTokens, generatedTokens: own.text.tokens.length }
      lease.finish({ role: 'assistant', content: own.text.text }, usage.generatedTokens)
      if (request.session === undefined) cache.release(session)
      res.off('close', onClose)
      if (fault?.type === 'loseAnswer') httpHost.resetConnection(res)
      else writer.end(usage)
      parts.changed()
    }

    function onClose (): void {
      cancelled += 1
      lease?.cancel()
      batch.remove(sequence)
      parts.changed()
    }

    res.on('close', onClose)
    batch.add(sequence)
    parts.changed()
  }

  function counters (): GenerationCounters {
    return { executions: Object.fromEntries(executions), requests: Object.fromEntries(requests), cancelled, generatedTokens }
  }

  return { serve, counters, executions: (requestId) => executions.get(requestId) ?? 0 }
}
