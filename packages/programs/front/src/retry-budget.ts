/** Retries that this process may make of requests whose first attempt may still be running. */
import * as limitClient from '@eelgrasswind/limit-client'

/** Earned by first attempts, so that retries stay a small part of all requests. */
export class RetryBudget {
  private budget = limitClient.createRetryBudget(limitClient.processRetrySettings)

  /** A first attempt was made. */
  earn (): void {
    this.budget = limitClient.earnRetry(this.budget)
  }

  /** Whether a retry may be made now; if so, it is spent. */
  take (): boolean {
    if (this.budget.retriesLeft < 1) return false
    this.budget = limitClient.spendRetry(this.budget)
    return true
  }
}
