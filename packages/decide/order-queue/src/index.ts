/** Scheduling: decides the order in which queued calls run. */
export * from './order-rule.js'
export * from './order-queue.js'
export * from './learn-remaining.js'
