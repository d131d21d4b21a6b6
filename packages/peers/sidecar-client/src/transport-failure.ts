/** Converts transport errors between two processes to failures whose verdict says whether the request may have run. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as connect from '@connectrpc/connect'
import * as convert from './convert.js'

/** Error codes of connections that were never established, so that no request was sent. */
const connectFailureCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL'])

/** Header of an RPC error that a handler's failure is sent in, as JSON. */
const failureHeader = 'eelgrasswind-failure-bin'

/** Retry-after time of a request to an unavailable peer, in milliseconds. */
export const peerRetryAfterMs = 500

/** The first system error code in the chain of causes. */
function findSystemErrorCode (err: unknown): string | undefined {
  for (let current: unknown = err; current instanceof Error; current = current.cause) {
    const code = (current as NodeJS.ErrnoException).code
    if (typeof code === 'string') return code
  }
  return undefined
}

/** A peer that cannot be reached, or whose connection was lost. */
export function createPeerUnavailable (verdict: types.Verdict, message: string): errors.Failure {
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs: peerRetryAfterMs }
}

/** Converts an error thrown by a connect-es client; notRun only if the connection was never established. */
export function toTransportFailure (err: unknown): errors.Failure {
  const code = findSystemErrorCode(err)
  const message = err instanceof Error ? err.message : String(err)
  const verdict = code !== undefined && connectFailureCodes.has(code) ? 'notRun' : 'mayHaveRun'
  if (isTimeout(err)) {
    return { tag: 'peerUnavailable', verdict: 'mayHaveRun', message: `no answer in time: ${message}`, retryAfterMs: peerRetryAfterMs }
  }
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs: peerRetryAfterMs }
}

/** Creates the RPC error that carries the failure of a handler. */
export function toRpcError (failure: errors.Failure): connect.ConnectError {
  return new connect.ConnectError(failure.message, connect.Code.Aborted, { [failureHeader]: connect.encodeBinaryHeader(convert.toJson(failure)) })
}

/** Returns the failure of a handler that an RPC error carries; undefined for any other error. */
export function findHandlerFailure (err: unknown): errors.Failure | undefined {
  const header = err instanceof connect.ConnectError ? err.metadata.get(failureHeader) : null
  return header === null ? undefined : convert.fromJson(connect.decodeBinaryHeader(header))
}

/** Whether a request failed because its answer did not arrive in time. */
export function isTimeout (err: unknown): boolean {
  return err instanceof connect.ConnectError && err.code === connect.Code.DeadlineExceeded
}
