/** The sidecar process, one on each host that has upstreams. */
export * from './settings.js'
export * from './sidecar.js'
