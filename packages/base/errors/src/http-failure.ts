/** Failures that stand for broken or refused HTTP requests to a peer. */
import type * as failures from './failure.js'
import * as httpExchange from './http-exchange.js'

/** Time to come back where the peer names none, in milliseconds. */
export const defaultRetryAfterMs = 1000

/** Statuses by which a peer says that it did not run a request and when to come back. */
export function isRefusal (status: number): boolean {
  return status === 429 || status === 503
}

/** Time to come back in milliseconds: `retry-after-ms`, or `retry-after` in seconds. */
export function parseRetryAfterMs (headers: httpExchange.RawHeaders): number {
  const exact = Number(httpExchange.getHeader(headers, 'retry-after-ms') ?? NaN)
  if (Number.isFinite(exact) && exact >= 0) return exact
  const seconds = Number(httpExchange.getHeader(headers, 'retry-after') ?? NaN)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : defaultRetryAfterMs
}

/** What a broken exchange came to, in words. */
export function describeOutcome (end: httpExchange.FailedOutcome): string {
  switch (end.type) {
    case 'foreign':
      return 'the answer does not carry the id of the request'
    case 'tooLong':
      return `the answer is longer than ${end.limitBytes} bytes`
    case 'lost':
      return end.sent ? `the connection broke: ${end.message}` : `no connection: ${end.message}`
    case 'aborted':
      return end.reason instanceof Error ? end.reason.message : 'given up by the asker'
  }
}

function afterMsOf (reason: unknown): number | undefined {
  if (reason instanceof httpExchange.ExchangeTimeout) return reason.afterMs
  return reason instanceof Error && reason.name === 'TimeoutError' ? 0 : undefined
}

/** The failure of a broken request to an upstream. */
export function toUpstreamFailure (end: httpExchange.FailedOutcome): failures.Failure {
  const verdict = httpExchange.getVerdict(end)
  const message = describeOutcome(end)
  if (end.type === 'aborted') {
    const afterMs = afterMsOf(end.reason)
    return afterMs === undefined ? { tag: 'cancelled', verdict, message } : { tag: 'timeout', verdict, message, afterMs }
  }
  if (verdict === 'notRun') return { tag: 'upstreamUnavailable', verdict, message, retryAfterMs: defaultRetryAfterMs }
  return { tag: 'answerBroken', verdict, message, detail: end.type }
}

/** The failure of a request that an upstream refused by status. */
export function toUpstreamRefusal (status: number, headers: httpExchange.RawHeaders): failures.Failure {
  return { tag: 'upstreamUnavailable', verdict: 'notRun', message: `refused with ${status}`, retryAfterMs: parseRetryAfterMs(headers) }
}
