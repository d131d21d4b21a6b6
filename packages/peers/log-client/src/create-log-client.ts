/** The log client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as answers from './log-answers.js'
import type * as logClient from './log-client.js'

const maxConnections = 64
const maxAnswerBytes = 64 * 1024 * 1024

/** What the log's failures are to the system: it is unavailable, and an append has run or not. */
function unavailable (verdict: types.Verdict, message: string, retryAfterMs: number): errors.Failure {
  return { tag: 'logUnavailable', verdict, message, retryAfterMs }
}

function brokenFailure (end: errors.FailedOutcome): errors.Failure {
  const verdict = errors.getVerdict(end) === 'notRun' ? 'notRun' : 'mayHaveRun'
  return unavailable(verdict, errors.describeOutcome(end), errors.defaultRetryAfterMs)
}

function statusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  const message = `the log answered ${status}`
  if (errors.isRefusal(status)) return unavailable('notRun', message, errors.parseRetryAfterMs(headers))
  if (status >= 500) return unavailable('mayHaveRun', message, errors.defaultRetryAfterMs)
  return { tag: 'upstreamFailed', verdict: 'notRun', message, status }
}

function invalidAnswer (): errors.Failure {
  return { tag: 'answerBroken', verdict: 'mayHaveRun', message: 'the log\'s answer is not what was asked for', detail: 'invalid' }
}

/** Connects on the first request and keeps connections for the next ones. */
export function createLogClient (settings: logClient.LogClientSettings): logClient.LogClient {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const prefix = crypto.randomUUID()
  const pool = new undici.Pool(settings.address, { ...errors.poolOptions, connections: maxConnections })
  let requests = 0

  function nextRequestId (): string {
    requests += 1
    return `${prefix}-${requests}`
  }

  function pathOf (stream: types.StreamName): string {
    return `/v1/streams/${encodeURIComponent(stream)}/records`
  }

  async function append (stream: types.StreamName, data: string): Promise<errors.Result<logClient.AppendResult>> {
    const requestId = nextRequestId()
    const headers = ['x-request-id', requestId, 'content-type', 'text/plain; charset=utf-8']
    const end = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      pool.dispatch({ path: pathOf(stream), method: 'POST', headers, body: Buffer.from(data) }, handler)
    })
    if (end.type !== 'answered') return errors.fail(brokenFailure(end))
    if (end.status !== 201) return errors.fail(statusFailure(end.status, end.headers))
    const appended = answers.parseAppended(end.body)
    return appended === undefined ? errors.fail(invalidAnswer()) : errors.ok(appended)
  }

  async function read (stream: types.StreamName, from: types.LogOffset, options: logClient.ReadOptions = {}): Promise<errors.Result<logClient.LogPage>> {
    const requestId = nextRequestId()
    const limit = options.limit === undefined ? '' : `&limit=${options.limit}`
    const end = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      pool.dispatch({ path: `${pathOf(stream)}?from=${from}${limit}`, method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (end.type !== 'answered') return errors.fail(brokenFailure(end))
    if (end.status !== 200) return errors.fail(statusFailure(end.status, end.headers))
    const page = answers.parsePage(end.body, from)
    return page === undefined ? errors.fail(invalidAnswer()) : errors.ok(page)
  }

  return { append, read, close: () => pool.close() }
}
