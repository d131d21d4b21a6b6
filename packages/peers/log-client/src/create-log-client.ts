/** Log client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as answers from './log-answers.js'
import type * as logClient from './log-client.js'

const maxConnections = 64
const maxAnswerBytes = 64 * 1024 * 1024

/** Creates the failure for a log that is unavailable; the verdict says whether an append may have taken effect. */
function createUnavailableFailure (verdict: types.Verdict, message: string, retryAfterMs: number): errors.Failure {
  return { tag: 'logUnavailable', verdict, message, retryAfterMs }
}

function toExchangeFailure (outcome: errors.FailedOutcome): errors.Failure {
  const verdict = errors.getVerdict(outcome) === 'notRun' ? 'notRun' : 'mayHaveRun'
  return createUnavailableFailure(verdict, errors.describeOutcome(outcome), errors.defaultRetryAfterMs)
}

function toStatusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  const message = `the log answered ${status}`
  if (errors.isRefusal(status)) return createUnavailableFailure('notRun', message, errors.parseRetryAfterMs(headers))
  if (status >= 500) return createUnavailableFailure('mayHaveRun', message, errors.defaultRetryAfterMs)
  return { tag: 'upstreamFailed', verdict: 'notRun', message, status }
}

function createInvalidAnswerFailure (): errors.Failure {
  return { tag: 'answerBroken', verdict: 'mayHaveRun', message: 'the log\'s answer is invalid', detail: 'invalid' }
}

/** Creates a log client. It connects on the first request and reuses connections. */
export function createLogClient (settings: logClient.LogClientSettings): logClient.LogClient {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const requestIdPrefix = crypto.randomUUID()
  const pool = new undici.Pool(settings.address, { ...errors.createPoolOptions(undici.buildConnector), connections: maxConnections })
  let requestCount = 0

  function createRequestId (): string {
    requestCount += 1
    return `${requestIdPrefix}-${requestCount}`
  }

  function formatRecordsPath (stream: types.StreamName): string {
    return `/v1/streams/${encodeURIComponent(stream)}/records`
  }

  async function append (stream: types.StreamName, data: string): Promise<errors.Result<logClient.AppendResult>> {
    const requestId = createRequestId()
    const headers = ['x-request-id', requestId, 'content-type', 'text/plain; charset=utf-8']
    const outcome = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      pool.dispatch({ path: formatRecordsPath(stream), method: 'POST', headers, body: Buffer.from(data) }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(toExchangeFailure(outcome))
    if (outcome.status !== 201) return errors.fail(toStatusFailure(outcome.status, outcome.headers))
    const appended = answers.parseAppended(outcome.body)
    return appended === undefined ? errors.fail(createInvalidAnswerFailure()) : errors.ok(appended)
  }

  async function read (stream: types.StreamName, from: types.LogOffset, options: logClient.ReadOptions = {}): Promise<errors.Result<logClient.LogPage>> {
    const requestId = createRequestId()
    const limitParameter = options.limit === undefined ? '' : `&limit=${options.limit}`
    const outcome = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      pool.dispatch({ path: `${formatRecordsPath(stream)}?from=${from}${limitParameter}`, method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(toExchangeFailure(outcome))
    if (outcome.status !== 200) return errors.fail(toStatusFailure(outcome.status, outcome.headers))
    const page = answers.parsePage(outcome.body, from)
    return page === undefined ? errors.fail(createInvalidAnswerFailure()) : errors.ok(page)
  }

  return { append, read, close: () => pool.close() }
}
