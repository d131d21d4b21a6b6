/** Log and metrics of decisions: a closed union of events, one log line each, within a limit of lines per second. */
export * from './decisions.js'
export * from './decision-log.js'
export * from './decision-metrics.js'
