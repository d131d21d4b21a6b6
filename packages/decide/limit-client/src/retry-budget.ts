/**
 * A budget of retries: each first attempt earns a part of a retry. Retries are at most
 * `ratio * firstAttempts + reserve`, whatever the upstreams do.
 */

export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. */
  readonly ratio: number
  /** Retries that may be made before any were earned. */
  readonly reserve: number
  /** Most retries saved up. */
  readonly most: number
}

/** Plain state; replaced, never changed. */
export interface RetryBudget {
  readonly settings: RetryBudgetSettings
  /** Retries that may be made now; a part of one does not count. */
  readonly retriesLeft: number
}

/** For all requests that a process sends. */
export const processRetrySettings: RetryBudgetSettings = { ratio: 0.08, reserve: 3, most: 20 }
/** For one program. */
export const programRetrySettings: RetryBudgetSettings = { ratio: 0.1, reserve: 3, most: 5 }

export function createRetryBudget (settings: RetryBudgetSettings): RetryBudget {
  return { settings, retriesLeft: settings.reserve }
}

/** Counts a first attempt. */
export function earnRetry (budget: RetryBudget): RetryBudget {
  const retriesLeft = Math.min(budget.settings.most, budget.retriesLeft + budget.settings.ratio)
  return { ...budget, retriesLeft }
}

/** Spends a retry; call only after the decision to retry. */
export function spendRetry (budget: RetryBudget): RetryBudget {
  if (budget.retriesLeft < 1) throw new Error('the retry budget is used up')
  return { ...budget, retriesLeft: budget.retriesLeft - 1 }
}
