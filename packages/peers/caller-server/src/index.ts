/** The HTTP interface that callers use. */
export * from './caller-handlers.js'
export * from './caller-server.js'
export * from './error-body.js'
export * from './request-schema.js'
