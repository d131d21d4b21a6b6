/** The process beside each upstream host. */
export * from './settings.js'
export * from './sidecar.js'
