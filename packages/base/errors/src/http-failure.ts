/** Converts failed and refused HTTP requests to failures. */
import type * as failures from './failure.js'
import * as httpExchange from './http-exchange.js'

/** Retry-after time if the peer gives none, in milliseconds. */
export const defaultRetryAfterMs = 1000

/** Reads the retry-after time in milliseconds from `retry-after-ms`, or from `retry-after` in seconds; dates are ignored. */
export function parseRetryAfterMs (headers: httpExchange.RawHeaders): number {
  const milliseconds = Number(httpExchange.getHeader(headers, 'retry-after-ms') ?? NaN)
  if (Number.isFinite(milliseconds) && milliseconds >= 0) return milliseconds
  const seconds = Number(httpExchange.getHeader(headers, 'retry-after') ?? NaN)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : defaultRetryAfterMs
}

/** Describes the outcome of a failed exchange in an error message. */
export function describeOutcome (outcome: httpExchange.FailedOutcome): string {
  switch (outcome.type) {
    case 'foreign':
      return 'the x-request-id of the answer is not the one of the request'
    case 'tooLong':
      return `the answer is longer than ${outcome.limitBytes} bytes`
    case 'lost':
      return outcome.sent ? `connection lost: ${outcome.message}` : `could not connect: ${outcome.message}`
    case 'aborted':
      return outcome.reason instanceof Error ? outcome.reason.message : 'aborted by the caller'
  }
}

function getTimeoutMs (reason: unknown): number | undefined {
  if (reason instanceof httpExchange.ExchangeTimeout) return reason.afterMs
  return reason instanceof Error && reason.name === 'TimeoutError' ? 0 : undefined
}

/** Converts the outcome of a failed exchange with an upstream to a failure. */
export function toUpstreamFailure (outcome: httpExchange.FailedOutcome): failures.Failure {
  const verdict = httpExchange.getVerdict(outcome)
  const message = describeOutcome(outcome)
  if (outcome.type === 'aborted') {
    const afterMs = getTimeoutMs(outcome.reason)
    return afterMs === undefined ? { tag: 'cancelled', verdict, message } : { tag: 'timeout', verdict, message, afterMs }
  }
  if (verdict === 'notRun') return { tag: 'upstreamUnavailable', verdict, message, retryAfterMs: defaultRetryAfterMs }
  return { tag: 'answerBroken', verdict, message, detail: outcome.type }
}

/** Converts a refusal by status of an upstream to a failure. */
export function toUpstreamRefusal (status: number, headers: httpExchange.RawHeaders): failures.Failure {
  return { tag: 'upstreamUnavailable', verdict: 'notRun', message: `refused with status ${status}`, retryAfterMs: parseRetryAfterMs(headers) }
}
