/** Client of a plain service. */
export * from './service-client.js'
