/** Failures returned by several modules of this package. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** Retry-after time while the log is unavailable; also the delay before an append is tried again. */
export const logRetryAfterMs = 1_000

/** Failure for a call that can't be recorded now. */
export function createLogUnavailableFailure (verdict: types.Verdict): errors.Failure {
  const message = verdict === 'ran' ? 'the answer is complete but not yet recorded, as the log is unavailable; retry with the same key' : 'the log is unavailable'
  return { tag: 'logUnavailable', verdict, message, retryAfterMs: logRetryAfterMs }
}

/**
 * Turns a failure to reach the sidecar of an upstream into `upstreamUnavailable`. The entry would take the original
 * failure for one of this home, and try another host.
 */
export function toUpstreamFailure (failure: errors.Failure): errors.Failure {
  if (failure.tag !== 'peerUnavailable' && failure.tag !== 'shuttingDown') return failure
  const { verdict, message, retryAfterMs } = failure
  return { tag: 'upstreamUnavailable', verdict, message, retryAfterMs }
}
