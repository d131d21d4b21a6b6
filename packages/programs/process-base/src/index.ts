/** Shared parts of entry and sidecar processes: settings, host directory, configuration, metrics, start and shutdown. */
export * from './base-settings.js'
export * from './host-directory.js'
export * from './load-settings.js'
export * from './process-base.js'
export * from './process-metrics.js'
export * from './run-process.js'
