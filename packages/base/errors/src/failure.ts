/** Every failure that can reach a caller or a peer. */
import type * as types from '@eelgrasswind/types'

interface FailureBase {
  readonly verdict: types.Verdict
  readonly message: string
}

export type Failure =
  /** A field of the request is wrong. */
  | FailureBase & { readonly tag: 'invalidRequest', readonly field: string, readonly expected: string }
  | FailureBase & { readonly tag: 'bodyTooLarge', readonly limitBytes: number }
  | FailureBase & { readonly tag: 'unauthorized' }
  | FailureBase & { readonly tag: 'unknownProgram' }
  | FailureBase & { readonly tag: 'unknownTarget', readonly field: string }
  /** The program id is taken by a start with other content. */
  | FailureBase & { readonly tag: 'startConflict', readonly field: string }
  | FailureBase & { readonly tag: 'programFinished', readonly result: string }
  | FailureBase & { readonly tag: 'sequenceGap', readonly expectedSeq: number }
  | FailureBase & { readonly tag: 'sequenceRepeat', readonly expectedSeq: number }
  /** The same key came with another request. */
  | FailureBase & { readonly tag: 'keyReused' }
  /** The same key is running now; ask again for its answer. */
  | FailureBase & { readonly tag: 'inProgress', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'budgetExceeded', readonly field: string, readonly remaining: number }
  | FailureBase & { readonly tag: 'notAdmitted', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'clientLimited', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'overloaded', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'logUnavailable', readonly retryAfterMs: number }
  /** The receiver is not the program's home; it names the one it knows, if any. */
  | FailureBase & { readonly tag: 'notHome', readonly home: string | null, readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'peerUnavailable', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'upstreamUnavailable', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'upstreamFailed', readonly status: number }
  /** The answer was cut, or belongs to another request. */
  | FailureBase & { readonly tag: 'answerBroken', readonly detail: string }
  | FailureBase & { readonly tag: 'timeout', readonly afterMs: number }
  /** The dispatch named another run of the process. */
  | FailureBase & { readonly tag: 'wrongIncarnation' }
  /** The key was sealed: it will never run here. */
  | FailureBase & { readonly tag: 'sealed' }
  /** Records of the program have expired: what is left is not the whole history. */
  | FailureBase & { readonly tag: 'historyIncomplete' }
  | FailureBase & { readonly tag: 'shuttingDown', readonly retryAfterMs: number }
  | FailureBase & { readonly tag: 'cancelled' }
  | FailureBase & { readonly tag: 'internal' }

export type FailureTag = Failure['tag']
export type FailureOf<Tag extends FailureTag> = Extract<Failure, { tag: Tag }>

/** Carries a failure through code that throws. */
export class FailureError extends Error {
  override readonly name = 'FailureError'
  constructor (readonly failure: Failure, options?: ErrorOptions) {
    super(`${failure.tag}: ${failure.message}`, options)
  }
}

/** The failure that something thrown stands for; what is unknown may have run. */
export function toFailure (err: unknown): Failure {
  if (err instanceof FailureError) return err.failure
  const message = err instanceof Error ? err.message : String(err)
  return { tag: 'internal', verdict: 'mayHaveRun', message }
}

/** What two attempts at one request say together: the one that promises less. */
export function combineVerdicts (a: types.Verdict, b: types.Verdict): types.Verdict {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'mayHaveRun' || b === 'mayHaveRun' ? 'mayHaveRun' : 'notRun'
}

/** Time to come back in milliseconds, where the failure names one. */
export function getRetryAfterMs (failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined
}

/** For the default branch of an exhaustive switch. */
export function assertNever (value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
