/** Every decision that is logged and counted: a closed union, one line each, bounded in volume. */
export * from './decisions.js'
export * from './decision-log.js'
export * from './decision-metrics.js'
