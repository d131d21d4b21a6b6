/** Failures that more than one part of a home gives. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** Time to come back while the log is not available, in milliseconds. */
export const logRetryMs = 1_000

export function logUnavailable (verdict: types.Verdict): errors.Failure {
  const message = verdict === 'ran' ? 'the answer is whole, its record waits for the log; ask again with the same key' : 'the log is not available'
  return { tag: 'logUnavailable', verdict, message, retryAfterMs: logRetryMs }
}

/** The failure of the way to an upstream, in place of the one for a process: that would be taken for this home by who asked it. */
export function wayToUpstream (failure: errors.Failure): errors.Failure {
  if (failure.tag !== 'peerUnavailable' && failure.tag !== 'shuttingDown') return failure
  const { verdict, message, retryAfterMs } = failure
  return { tag: 'upstreamUnavailable', verdict, message, retryAfterMs }
}
