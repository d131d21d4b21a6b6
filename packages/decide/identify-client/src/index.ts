/** Decides who sends a request, from its key, its route and the client accounts of the configuration. Pure. */
export * from './account-directory.js'
export * from './identify.js'
