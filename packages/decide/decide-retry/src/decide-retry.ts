/**
 * Decides whether a failed request is retried. A request that is not idempotent is retried only if it certainly did not
 * run; no request is retried after its deadline or when a retry budget is exhausted.
 */
import * as errors from '@eelgrasswind/errors'

/** Number of retries that a budget still allows. */
export interface RetryAllowance {
  readonly retriesLeft: number
}

/** Input of one decision; times in milliseconds. */
export interface RetryInput {
  readonly failure: errors.Failure
  readonly idempotent: boolean
  /** Attempts made so far, from 1. */
  readonly attempt: number
  readonly programBudget: RetryAllowance
  readonly processBudget: RetryAllowance
  readonly now: number
  /** Deadline of the response, on the clock of `now`. */
  readonly deadline: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Limits of attempts and backoff. */
export interface RetrySettings {
  readonly maxAttempts: number
  /** Maximum backoff before the second attempt; it doubles with each further one, up to `maxWaitMs`. */
  readonly firstWaitMs: number
  readonly maxWaitMs: number
}

export const defaultRetrySettings: RetrySettings = { maxAttempts: 4, firstWaitMs: 100, maxWaitMs: 5_000 }

/** Why a request is not retried. */
export type GiveUpReason =
  /** The same request would fail in the same way. */
  | 'permanent'
  /** The request is not idempotent and ran or may have run. */
  | 'mayRepeat'
  | 'attemptsUsed'
  | 'programBudgetUsed'
  | 'processBudgetUsed'
  /** The next attempt would start after the deadline. */
  | 'deadline'

/** The decision; `afterMs` is the backoff before the next attempt. */
export type RetryDecision =
  | { readonly type: 'retry', readonly afterMs: number, readonly reason: 'transient' }
  | { readonly type: 'giveUp', readonly reason: GiveUpReason }

/** Decides whether a failed request is retried, and after which backoff. */
export function decideRetry (input: RetryInput, settings: RetrySettings = defaultRetrySettings): RetryDecision {
  const { failure } = input
  if (!isTransient(failure)) return giveUp('permanent')
  if (!input.idempotent && failure.verdict !== 'notRun') return giveUp('mayRepeat')
  if (input.attempt >= settings.maxAttempts) return giveUp('attemptsUsed')
  if (input.programBudget.retriesLeft < 1) return giveUp('programBudgetUsed')
  if (input.processBudget.retriesLeft < 1) return giveUp('processBudgetUsed')
  const afterMs = computeBackoffMs(input, settings)
  if (input.now + afterMs >= input.deadline) return giveUp('deadline')
  return { type: 'retry', afterMs, reason: 'transient' }
}

function giveUp (reason: GiveUpReason): RetryDecision {
  return { type: 'giveUp', reason }
}

/** Exponential backoff with jitter, added to the retry-after time of the failure. */
function computeBackoffMs (input: RetryInput, settings: RetrySettings): number {
  const maxBackoffMs = Math.min(settings.maxWaitMs, settings.firstWaitMs * 2 ** (input.attempt - 1))
  const backoffMs = maxBackoffMs / 2 + input.random() * maxBackoffMs / 2
  return Math.round((errors.getRetryAfterMs(input.failure) ?? 0) + backoffMs)
}

/** Whether another attempt, possibly at another upstream, may succeed. */
export function isTransient (failure: errors.Failure): boolean {
  switch (failure.tag) {
    case 'invalidRequest':
    case 'bodyTooLarge':
    case 'unauthorized':
    case 'unknownProgram':
    case 'unknownTarget':
    case 'startConflict':
    case 'programFinished':
    case 'sequenceGap':
    case 'sequenceRepeat':
    case 'keyReused':
    case 'budgetExceeded':
    case 'sealed':
    case 'historyIncomplete':
    case 'cancelled':
    case 'internal':
      return false
    // Not retried here: the caller gets the failure immediately, with a retry-after time.
    case 'notAdmitted':
    case 'clientLimited':
    case 'crashLimited':
    case 'overloaded':
      return false
    // A second attempt would wait as long as the first one, and that time is used up.
    case 'timeout':
      return false
    case 'inProgress':
    case 'logUnavailable':
    case 'notHome':
    case 'peerUnavailable':
    case 'upstreamUnavailable':
    case 'answerBroken':
    case 'wrongIncarnation':
    case 'shuttingDown':
      return true
    case 'upstreamFailed':
      return failure.status >= 500
    default:
      return errors.assertNever(failure)
  }
}
