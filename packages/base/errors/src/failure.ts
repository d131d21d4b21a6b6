/** Every failure that can reach a caller or a peer. */
import type * as types from '@eelgrasswind/types'

interface CommonFields {
  readonly verdict: types.Verdict
  readonly message: string
}

/** A failure of a request. The tag selects the other fields; times are in milliseconds. */
export type Failure =
  /** A field of the request is invalid. */
  | CommonFields & { readonly tag: 'invalidRequest', readonly field: string, readonly expected: string }
  | CommonFields & { readonly tag: 'bodyTooLarge', readonly limitBytes: number }
  | CommonFields & { readonly tag: 'unauthorized' }
  | CommonFields & { readonly tag: 'unknownProgram' }
  | CommonFields & { readonly tag: 'unknownTarget', readonly field: string }
  /** The program id is in use: it was started with other parameters. */
  | CommonFields & { readonly tag: 'startConflict', readonly field: string }
  | CommonFields & { readonly tag: 'programFinished', readonly result: string }
  | CommonFields & { readonly tag: 'sequenceGap', readonly expectedSeq: number }
  | CommonFields & { readonly tag: 'sequenceRepeat', readonly expectedSeq: number }
  /** The idempotency key was used before with another request. */
  | CommonFields & { readonly tag: 'keyReused' }
  /** A call with the same key is still running; retry with the key to get its answer. */
  | CommonFields & { readonly tag: 'inProgress', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'budgetExceeded', readonly field: string, readonly remaining: number }
  | CommonFields & { readonly tag: 'notAdmitted', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'clientLimited', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'overloaded', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'logUnavailable', readonly retryAfterMs: number }
  /** The receiver is not the program's home; `home` is the one it knows of, or null. */
  | CommonFields & { readonly tag: 'notHome', readonly home: string | null, readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'peerUnavailable', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'upstreamUnavailable', readonly retryAfterMs: number }
  /** Too many upstreams have ended while they ran the request. */
  | CommonFields & { readonly tag: 'crashLimited', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'upstreamFailed', readonly status: number }
  /** The answer is incomplete, or belongs to another request. `detail`: `upstreamEndedDetail` if the upstream has ended. */
  | CommonFields & { readonly tag: 'answerBroken', readonly detail: string }
  | CommonFields & { readonly tag: 'timeout', readonly afterMs: number }
  /** The dispatch is addressed to another incarnation of the process. */
  | CommonFields & { readonly tag: 'wrongIncarnation' }
  /** The key was sealed: this process will never run it. */
  | CommonFields & { readonly tag: 'sealed' }
  /** Records of the program have expired, so its history is incomplete. */
  | CommonFields & { readonly tag: 'historyIncomplete' }
  | CommonFields & { readonly tag: 'shuttingDown', readonly retryAfterMs: number }
  | CommonFields & { readonly tag: 'cancelled' }
  | CommonFields & { readonly tag: 'internal' }

/** Detail of a failure whose upstream ended while it ran the request. */
export const upstreamEndedDetail = 'upstreamEnded'

export type FailureTag = Failure['tag']
/** The failures with a given tag. */
export type FailureOf<Tag extends FailureTag> = Extract<Failure, { tag: Tag }>

/** Carries a failure through code that throws. */
export class FailureError extends Error {
  override readonly name = 'FailureError'
  constructor (readonly failure: Failure, options?: ErrorOptions) {
    super(`${failure.tag}: ${failure.message}`, options)
  }
}

/** Converts a thrown value to a failure. Anything but a `FailureError` becomes `internal` with the verdict `mayHaveRun`. */
export function toFailure (err: unknown): Failure {
  if (err instanceof FailureError) return err.failure
  const message = err instanceof Error ? err.message : String(err)
  return { tag: 'internal', verdict: 'mayHaveRun', message }
}

/** Combines the verdicts of two attempts at one request: `ran` takes precedence over `mayHaveRun`, and that over `notRun`. */
export function combineVerdicts (a: types.Verdict, b: types.Verdict): types.Verdict {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'mayHaveRun' || b === 'mayHaveRun' ? 'mayHaveRun' : 'notRun'
}

/** Returns the retry-after time of a failure in milliseconds, or undefined if it has none. */
export function getRetryAfterMs (failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined
}

/** Marks the default branch of an exhaustive switch: the compiler rejects it while a case is missing. */
export function assertNever (value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
