/**
 * A retry budget: each first attempt earns a fraction of a retry. Retries are at most
 * `ratio * firstAttempts + reserve`, however many requests fail.
 */

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. */
  readonly ratio: number
  /** Retries that are available before any are earned. */
  readonly reserve: number
  /** Maximum number of saved retries. */
  readonly most: number
}

/** Immutable state; every operation returns a new object. */
export interface RetryBudget {
  readonly settings: RetryBudgetSettings
  /** Retries available now; a fraction of one can not be spent. */
  readonly retriesLeft: number
}

/** Budget for all requests of a process. */
export const processRetrySettings: RetryBudgetSettings = { ratio: 0.08, reserve: 3, most: 20 }
/** Budget for the requests of one program. */
export const programRetrySettings: RetryBudgetSettings = { ratio: 0.1, reserve: 3, most: 5 }

/** Creates a budget that contains its reserve. */
export function createRetryBudget (settings: RetryBudgetSettings): RetryBudget {
  return { settings, retriesLeft: settings.reserve }
}

/** Counts a first attempt. */
export function earnRetry (budget: RetryBudget): RetryBudget {
  const retriesLeft = Math.min(budget.settings.most, budget.retriesLeft + budget.settings.ratio)
  return { ...budget, retriesLeft }
}

/** Spends a retry; throws if less than one is left. */
export function spendRetry (budget: RetryBudget): RetryBudget {
  if (budget.retriesLeft < 1) throw new Error('the retry budget is exhausted')
  return { ...budget, retriesLeft: budget.retriesLeft - 1 }
}
