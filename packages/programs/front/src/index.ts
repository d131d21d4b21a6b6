/** The process on the entry hosts: takes HTTP requests, routes them, and owns a share of the programs. */
export * from './dialect.js'
export * from './front.js'
export * from './run-front.js'
export * from './settings.js'
