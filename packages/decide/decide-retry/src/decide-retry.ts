/**
 * Decides whether a failed request is sent again. A request that is not idempotent is sent again only when it
 * certainly did not run; nothing is sent again past its deadline or beyond the retry budgets.
 */
import * as errors from '@eelgrasswind/errors'

/** Retries that a budget still allows. */
export interface RetryAllowance {
  readonly retriesLeft: number
}

export interface RetryInput {
  readonly failure: errors.Failure
  readonly idempotent: boolean
  /** Attempts made so far, from 1. */
  readonly attempt: number
  readonly programBudget: RetryAllowance
  readonly processBudget: RetryAllowance
  readonly now: number
  /** When the request has to be answered, on the clock of `now`, in milliseconds. */
  readonly deadline: number
  /** From 0 up to, but without, 1. */
  readonly random: () => number
}

export interface RetrySettings {
  readonly maxAttempts: number
  /** Longest wait before the second attempt; it doubles with each further one. */
  readonly firstWaitMs: number
  readonly maxWaitMs: number
}

export const defaultRetrySettings: RetrySettings = { maxAttempts: 4, firstWaitMs: 100, maxWaitMs: 5_000 }

/** Why a request is not sent again. */
export type GiveUpReason =
  /** The same request would fail in the same way. */
  | 'permanent'
  /** It is not idempotent and may have run, or ran. */
  | 'mayRepeat'
  | 'attemptsUsed'
  | 'programBudgetUsed'
  | 'processBudgetUsed'
  /** The next attempt would begin after the deadline. */
  | 'deadline'

export type RetryDecision =
  | { readonly type: 'retry', readonly afterMs: number, readonly reason: 'transient' }
  | { readonly type: 'giveUp', readonly reason: GiveUpReason }

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

/** Exponential backoff with jitter, but never before the time that the failure names. */
function computeBackoffMs (input: RetryInput, settings: RetrySettings): number {
  const maxBackoffMs = Math.min(settings.maxWaitMs, settings.firstWaitMs * 2 ** (input.attempt - 1))
  const backoffMs = maxBackoffMs / 2 + input.random() * maxBackoffMs / 2
  return Math.round((errors.retryAfterMs(input.failure) ?? 0) + backoffMs)
}

/** Whether another attempt, perhaps elsewhere, may end otherwise. */
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
    // Final and at once: the caller is told when to come back.
    case 'notAdmitted':
    case 'clientLimited':
    case 'overloaded':
      return false
    // A second attempt would wait as long as the first one; the time is spent.
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
      return errors.unreachable(failure)
  }
}
