/** The engine client over HTTP: chat completions as server-sent events, and short control requests. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as assembleAnswer from './assemble-answer.js'
import * as answers from './engine-answers.js'
import type * as engineClient from './engine-client.js'
import * as eventStream from './event-stream.js'

const maxConnections = 256
const defaultMaxAnswerBytes = 64 * 1024 * 1024

/** Statuses by which an engine refuses a request before it runs. */
const refusedUnrun: ReadonlySet<number> = new Set([400, 401, 403, 404, 409, 413, 422, 507])

type Method = 'GET' | 'POST' | 'DELETE'

function statusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  if (errors.isRefusal(status)) return errors.toUpstreamRefusal(status, headers)
  const verdict = refusedUnrun.has(status) ? 'notRun' : 'mayHaveRun'
  return { tag: 'upstreamFailed', verdict, message: `the engine answered ${status}`, status }
}

function brokenAnswer (detail: string): errors.Failure {
  return { tag: 'answerBroken', verdict: 'ran', message: 'the engine\'s answer is not whole', detail }
}

/** A chunk of another request says nothing about one's own. */
function assemblyFailure (fault: assembleAnswer.AnswerFault): errors.Failure {
  const failure = brokenAnswer(fault)
  return fault === 'otherRequest' ? { ...failure, verdict: 'mayHaveRun' } : failure
}

function chatBody (req: engineClient.EngineRequest): Buffer {
  return Buffer.from(JSON.stringify({
    ...req.options,
    model: req.model,
    messages: req.messages,
    max_tokens: req.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
    priority: req.priority,
    session: req.session
  }))
}

function chatHeaders (req: engineClient.EngineRequest, options: engineClient.CallOptions): string[] {
  const headers = ['content-type', 'application/json', 'accept', 'text/event-stream', 'x-request-id', req.requestId]
  if (options.traceparent !== undefined) headers.push('traceparent', options.traceparent)
  return headers
}

/** Connects on the first request and keeps connections for the next ones. Never sends a request twice. */
export function createEngineClient (settings: engineClient.EngineSettings): engineClient.EngineClient & engineClient.EngineCacheTransfer {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const maxBytes = settings.maxAnswerBytes ?? defaultMaxAnswerBytes
  const pool = new undici.Pool(settings.address, { ...errors.poolOptions, connections: maxConnections })

  async function complete (req: engineClient.EngineRequest, options: engineClient.CallOptions): Promise<errors.Result<engineClient.EngineAnswer>> {
    const { requestId } = req
    const stream = eventStream.createEventStream()
    const assembly = assembleAnswer.createAnswerAssembly(requestId, options.onDelta)
    const onData = (chunk: Buffer): boolean => stream.push(chunk).some(assembly.take)
    const end = await errors.runExchange({ requestId, maxBytes, signal: options.signal, onData }, (handler) => {
      pool.dispatch({ path: '/v1/chat/completions', method: 'POST', headers: chatHeaders(req, options), body: chatBody(req) }, handler)
    })
    if (end.type !== 'answered') return errors.fail(errors.toUpstreamFailure(end))
    if (end.status !== 200) return errors.fail(statusFailure(end.status, end.headers))
    const assembled = assembly.result()
    return assembled.type === 'whole' ? errors.ok(assembled.answer) : errors.fail(assemblyFailure(assembled.fault))
  }

  async function request<T> (method: Method, path: string, body: unknown, parse: answers.Parse<T>): Promise<errors.Result<T>> {
    const requestId = crypto.randomUUID()
    const headers = ['content-type', 'application/json', 'x-request-id', requestId]
    const bytes = body === undefined ? null : Buffer.from(JSON.stringify(body))
    const end = await errors.runExchange({ requestId, maxBytes, timeout }, (handler) => {
      pool.dispatch({ path, method, headers, body: bytes }, handler)
    })
    if (end.type !== 'answered') return errors.fail(errors.toUpstreamFailure(end))
    if (end.status !== 200) return errors.fail(statusFailure(end.status, end.headers))
    const value = answers.parseBody(end.body, parse)
    return value === undefined ? errors.fail(brokenAnswer('invalid')) : errors.ok(value)
  }

  async function command (method: Method, path: string, body: unknown): Promise<errors.Result<void>> {
    const result = await request(method, path, body, answers.parseDone)
    return result.ok ? errors.ok(undefined) : result
  }

  function sessionPath (session: types.ProgramId): string {
    return `/v1/sessions/${encodeURIComponent(session)}`
  }

  return {
    complete,
    getLoad: () => request('GET', '/v1/load', undefined, answers.parseLoad(settings.upstream)),
    hold: (session) => command('POST', `${sessionPath(session)}/hold`, undefined),
    release: (session) => command('DELETE', sessionPath(session), undefined),
    listHeldSessions: () => request('GET', '/v1/sessions', undefined, answers.parseSessions),
    readCacheEvents: (fromSeq) => request('GET', `/v1/cache/events?from=${fromSeq}`, undefined, answers.parseEvents),
    sendOrder: (order, fencing) => command('POST', '/v1/orders', { order, fencing }),
    getState: () => request('GET', '/v1/state', undefined, answers.parseState),
    exportCache: (session) => request('POST', '/v1/kv/export', { session }, answers.parseExport),
    importCache: (prefix) => command('POST', '/v1/kv/import', prefix),
    close: () => pool.close()
  }
}
