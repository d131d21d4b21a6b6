/** Finds the route of an HTTP request and the service that takes it, from the published routing. */
export * from './routing.js'
export * from './route-table.js'
