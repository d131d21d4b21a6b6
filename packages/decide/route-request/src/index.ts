/** Matches an HTTP request to a route and a target service of the published routing. */
export * from './routing.js'
export * from './route-table.js'
