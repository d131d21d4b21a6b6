/** Client of the platform's append-only log service. */
export * from './log-client.js'
export * from './create-log-client.js'
