/** Client of the platform's rate-limited weight store. */
export * from './weight-store-client.js'
export * from './create-weight-store-client.js'
