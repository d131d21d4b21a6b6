/** Decides the order in which waiting calls run. */
export * from './order-rule.js'
export * from './order-queue.js'
export * from './learn-remaining.js'
