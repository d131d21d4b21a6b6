/** Client of a model engine. */
export * from './engine-client.js'
export * from './create-engine-client.js'
