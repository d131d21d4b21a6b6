/** Client limits handed out in shares, and retry budgets. */
export * from './client-limit.js'
export * from './share-owner.js'
export * from './share-holder.js'
export * from './retry-budget.js'
