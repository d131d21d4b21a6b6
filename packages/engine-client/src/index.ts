/** Client of a model engine. */
export * from './engine-client.js'
