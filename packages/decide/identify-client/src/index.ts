/** Identifies the client account of a request from its key, its route and the configured accounts. Pure. */
export * from './account-directory.js'
export * from './identify.js'
