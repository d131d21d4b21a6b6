/** Seeded workloads against a running system, with reports. */
export * from './measure/overhead.js'
export * from './measure/process-usage.js'
export * from './run-load.js'
