/** What every process of the system shares: settings, hosts, configuration and its end. */
export * from './base-settings.js'
export * from './host-directory.js'
export * from './load-settings.js'
export * from './process-base.js'
export * from './process-metrics.js'
export * from './run-process.js'
