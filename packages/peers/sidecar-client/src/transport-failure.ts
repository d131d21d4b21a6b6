/** What a broken transport between two processes says about whether the request ran. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as connect from '@connectrpc/connect'

/** System errors of a connection that never came about. */
const neverConnected: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL'])

/** Time to come back after a peer could not be reached, in milliseconds. */
export const peerRetryAfterMs = 500

function systemCode (err: unknown): string | undefined {
  for (let at: unknown = err; at instanceof Error; at = at.cause) {
    const code = (at as NodeJS.ErrnoException).code
    if (typeof code === 'string') return code
  }
  return undefined
}

/** A peer that can't be reached, or can't any more. */
export function unreachable (verdict: types.Verdict, message: string): errors.Failure {
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs: peerRetryAfterMs }
}

/** The failure for an error thrown by a connect-es client. */
export function transportFailure (err: unknown): errors.Failure {
  const code = systemCode(err)
  const message = err instanceof Error ? err.message : String(err)
  const verdict = code !== undefined && neverConnected.has(code) ? 'notRun' : 'mayHaveRun'
  if (err instanceof connect.ConnectError && err.code === connect.Code.DeadlineExceeded) {
    return { tag: 'peerUnavailable', verdict: 'mayHaveRun', message: `no answer in time: ${message}`, retryAfterMs: peerRetryAfterMs }
  }
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs: peerRetryAfterMs }
}
