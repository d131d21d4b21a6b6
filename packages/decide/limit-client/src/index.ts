/** Distributed rate limiting of clients by leased shares of a limit, and retry budgets. */
export * from './client-limit.js'
export * from './share-owner.js'
export * from './share-holder.js'
export * from './retry-budget.js'
