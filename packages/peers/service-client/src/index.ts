/** Client of a plain service. */
export * from './service-client.js'
export * from './create-service-client.js'
