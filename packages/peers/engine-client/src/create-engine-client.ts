/** Engine client over HTTP: chat completions as server-sent events, and short control requests. */
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

/** HTTP statuses with which an engine rejects a request before running it. */
const notRunStatuses: ReadonlySet<number> = new Set([400, 401, 403, 404, 409, 413, 422, 507])

type Method = 'GET' | 'POST' | 'DELETE'

function toStatusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  if (errors.isRefusal(status)) return errors.toUpstreamRefusal(status, headers)
  const verdict = notRunStatuses.has(status) ? 'notRun' : 'mayHaveRun'
  return { tag: 'upstreamFailed', verdict, message: `the engine answered ${status}`, status }
}

function createBrokenAnswerFailure (detail: string): errors.Failure {
  return { tag: 'answerBroken', verdict: 'ran', message: 'the engine\'s answer is incomplete or invalid', detail }
}

/** A chunk that belongs to another request does not show whether this one ran. */
function toAssemblyFailure (fault: assembleAnswer.AnswerFault): errors.Failure {
  const failure = createBrokenAnswerFailure(fault)
  return fault === 'otherRequest' ? { ...failure, verdict: 'mayHaveRun' } : failure
}

function buildChatBody (req: engineClient.EngineRequest): Buffer {
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

function buildChatHeaders (req: engineClient.EngineRequest, options: engineClient.CallOptions): string[] {
  const headers = ['content-type', 'application/json', 'accept', 'text/event-stream', 'x-request-id', req.requestId]
  if (options.traceparent !== undefined) headers.push('traceparent', options.traceparent)
  return headers
}

/** Creates an engine client. It connects on the first request, reuses connections, and never sends a request twice. */
export function createEngineClient (settings: engineClient.EngineSettings): engineClient.EngineClient & engineClient.EngineCacheTransfer {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const maxBytes = settings.maxAnswerBytes ?? defaultMaxAnswerBytes
  const pool = new undici.Pool(settings.address, { ...errors.createPoolOptions(undici.buildConnector), connections: maxConnections })

  async function complete (req: engineClient.EngineRequest, options: engineClient.CallOptions): Promise<errors.Result<engineClient.EngineAnswer>> {
    const { requestId } = req
    const streamParser = eventStream.createEventStreamParser()
    const assembler = assembleAnswer.createAnswerAssembler(requestId, options.onDelta)
    const onData = (chunk: Buffer): boolean => streamParser.push(chunk).some(assembler.addEvent) || streamParser.isEndless
    const outcome = await errors.runExchange({ requestId, maxBytes, signal: options.signal, onData }, (handler) => {
      pool.dispatch({ path: '/v1/chat/completions', method: 'POST', headers: buildChatHeaders(req, options), body: buildChatBody(req) }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(errors.toUpstreamFailure(outcome))
    if (outcome.status !== 200) return errors.fail(toStatusFailure(outcome.status, outcome.headers))
    const assembled = assembler.getResult()
    if (assembled.type === 'broken' && streamParser.isEndless) return errors.fail(createBrokenAnswerFailure('endless'))
    return assembled.type === 'whole' ? errors.ok(assembled.answer) : errors.fail(toAssemblyFailure(assembled.fault))
  }

  async function sendRequest<T> (method: Method, path: string, body: unknown, parse: answers.Parser<T>): Promise<errors.Result<T>> {
    const requestId = crypto.randomUUID()
    const headers = ['content-type', 'application/json', 'x-request-id', requestId]
    const bodyBytes = body === undefined ? null : Buffer.from(JSON.stringify(body))
    const outcome = await errors.runExchange({ requestId, maxBytes, timeout }, (handler) => {
      pool.dispatch({ path, method, headers, body: bodyBytes }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(errors.toUpstreamFailure(outcome))
    if (outcome.status !== 200) return errors.fail(toStatusFailure(outcome.status, outcome.headers))
    const value = answers.parseBody(outcome.body, parse)
    return value === undefined ? errors.fail(createBrokenAnswerFailure('invalid')) : errors.ok(value)
  }

  async function sendCommand (method: Method, path: string, body: unknown): Promise<errors.Result<void>> {
    const result = await sendRequest(method, path, body, answers.parseAcknowledgement)
    return result.ok ? errors.ok(undefined) : result
  }

  function formatSessionPath (session: types.ProgramId): string {
    return `/v1/sessions/${encodeURIComponent(session)}`
  }

  return {
    complete,
    getLoad: () => sendRequest('GET', '/v1/load', undefined, answers.parseLoad(settings.upstream)),
    hold: (session) => sendCommand('POST', `${formatSessionPath(session)}/hold`, undefined),
    release: (session) => sendCommand('DELETE', formatSessionPath(session), undefined),
    listHeldSessions: () => sendRequest('GET', '/v1/sessions', undefined, answers.parseHeldSessions),
    readCacheEvents: (fromSeq) => sendRequest('GET', `/v1/cache/events?from=${fromSeq}`, undefined, answers.parseCacheEvents),
    sendOrder: (order, fencingToken) => sendCommand('POST', '/v1/orders', { order, fencing: fencingToken }),
    getState: () => sendRequest('GET', '/v1/state', undefined, answers.parseState),
    exportCache: (session) => sendRequest('POST', '/v1/kv/export', { session }, answers.parseCacheExport),
    importCache: (prefix) => sendCommand('POST', '/v1/kv/import', prefix),
    close: () => pool.close()
  }
}
