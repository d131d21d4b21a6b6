/** Metrics, sent over UDP by hot-shots. */
export * from './metric-table.js'
export * from './metrics.js'
