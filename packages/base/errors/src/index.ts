/** The failures that a request can end with, as one tagged union; each has a verdict. Also the outcomes of HTTP exchanges. */
export * from './failure.js'
export * from './result.js'
export * from './http-exchange.js'
export * from './http-failure.js'
export * from './http-status.js'
