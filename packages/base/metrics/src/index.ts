/** Metrics by hot-shots over UDP. */
export * from './metric-table.js'
export * from './metrics.js'
