/** One call on its way through a home, and how an attempt at it ends. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'
import type * as reserve from './reserve-budget.js'
import type * as runningCalls from './running-call.js'

export interface Attempt {
  readonly program: local.LocalProgram
  readonly running: runningCalls.RunningCall
  readonly need: reserve.CallNeed
  readonly ctx: types.RequestContext
  /** On the monotonic clock, as the deadline. */
  readonly startedAt: number
  readonly deadline: number
}

/** How an attempt ended: with an answer, with a failure that stands in the history, or with one that does not. */
export type AttemptEnd =
  | { readonly type: 'answered', readonly answer: types.DispatchAnswer, readonly upstream: types.UpstreamId, readonly host: types.HostId, readonly startedAt: types.EpochMs }
  | { readonly type: 'recordFailure', readonly outcome: Extract<types.CallOutcome, { type: 'failed' }>, readonly upstream: types.UpstreamId, readonly startedAt: types.EpochMs }
  | { readonly type: 'failed', readonly failure: errors.Failure, readonly decided: 'mayRetry' | 'final' }
