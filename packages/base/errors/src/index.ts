/** The failures a request can end with, as one tagged union that always carries a verdict. */
export * from './failure.js'
export * from './result.js'
export * from './http-exchange.js'
export * from './http-failure.js'
