/** The front process on the entry hosts: accepts HTTP requests, routes them to upstreams, and owns a share of the programs. */
export * from './dialect.js'
export * from './front.js'
export * from './run-front.js'
export * from './settings.js'
