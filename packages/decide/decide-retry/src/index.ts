/** The only place that decides whether a failed request may be retried. */
export * from './decide-retry.js'
