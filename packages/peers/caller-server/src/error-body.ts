/** Converts failures to HTTP responses for callers: a status, Retry-After, and a JSON body with code, field and verdict. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** JSON body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly code: errors.FailureTag
    readonly message: string
    readonly verdict: types.Verdict
    readonly field: string | null
    /** Retry-after time in milliseconds; null where a retry does not help. */
    readonly retryAfterMs: number | null
  }
}

export function toErrorBody (failure: errors.Failure): ErrorBody {
  return {
    error: {
      code: failure.tag,
      message: failure.message,
      verdict: failure.verdict,
      field: 'field' in failure ? failure.field : null,
      retryAfterMs: errors.getRetryAfterMs(failure) ?? null
    }
  }
}

/** Value of the Retry-After header in seconds, rounded up, at least 1; undefined where a retry does not help. */
export function toRetryAfterSeconds (failure: errors.Failure): number | undefined {
  const ms = errors.getRetryAfterMs(failure)
  return ms === undefined ? undefined : Math.max(1, Math.ceil(ms / 1000))
}

export function toHttpStatus (failure: errors.Failure): number {
  switch (failure.tag) {
    case 'invalidRequest': return 400
    case 'unauthorized': return 401
    case 'budgetExceeded': return 402
    case 'unknownProgram':
    case 'unknownTarget': return 404
    case 'startConflict':
    case 'programFinished':
    case 'sequenceGap':
    case 'sequenceRepeat':
    case 'keyReused':
    case 'inProgress':
    case 'sealed': return 409
    case 'historyIncomplete': return 410
    case 'bodyTooLarge': return 413
    case 'notAdmitted':
    case 'clientLimited': return 429
    case 'internal': return 500
    case 'upstreamFailed':
    case 'answerBroken': return 502
    case 'overloaded':
    case 'crashLimited':
    case 'logUnavailable':
    case 'notHome':
    case 'peerUnavailable':
    case 'upstreamUnavailable':
    case 'wrongIncarnation':
    case 'shuttingDown':
    case 'cancelled': return 503
    case 'timeout': return 504
    default: return errors.assertNever(failure)
  }
}
