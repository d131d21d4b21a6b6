/** A call in progress at its home, and the outcome of one attempt to run it. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'
import type * as reserve from './reserve-budget.js'
import type * as runningCalls from './running-call.js'

/** A call in progress, shared by all of its attempts. */
export interface Attempt {
  readonly program: local.LocalProgram
  readonly runningCall: runningCalls.RunningCall
  readonly estimate: reserve.CallEstimate
  readonly ctx: types.RequestContext
  /** Time on the monotonic clock in milliseconds, like `deadline`. */
  readonly startedAt: number
  readonly deadline: number
}

/** Outcome of an attempt: an answer, a failure to be recorded in the history, or a failure that is not recorded. */
export type AttemptOutcome =
  | { readonly type: 'answered', readonly answer: types.DispatchAnswer, readonly upstream: types.UpstreamId, readonly host: types.HostId, readonly startedAt: types.EpochMs }
  | { readonly type: 'recordFailure', readonly outcome: Extract<types.CallOutcome, { type: 'failed' }>, readonly upstream: types.UpstreamId, readonly startedAt: types.EpochMs }
  | { readonly type: 'failed', readonly failure: errors.Failure, readonly retry: 'mayRetry' | 'final' }
