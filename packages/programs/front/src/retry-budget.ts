/** Retry budget of this process for requests whose first attempt may still be running. */
import * as limitClient from '@eelgrasswind/limit-client'

/** First attempts add to the budget and retries spend from it, so retries stay a small fraction of all requests. */
export class RetryBudget {
  private budget = limitClient.createRetryBudget(limitClient.processRetrySettings)

  /** Adds to the budget for a first attempt. */
  creditFirstAttempt (): void {
    this.budget = limitClient.earnRetry(this.budget)
  }

  /** Spends one retry if the budget allows it. */
  trySpend (): boolean {
    if (this.budget.retriesLeft < 1) return false
    this.budget = limitClient.spendRetry(this.budget)
    return true
  }
}
