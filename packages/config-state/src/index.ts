/** The published configuration: its schema and the pure fold over its change records. */
export * from './schema.js'
export * from './config.js'
