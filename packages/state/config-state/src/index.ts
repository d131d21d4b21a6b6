/** The published configuration: its schema, and a pure fold over its change records. */
export * from './schema.js'
export * from './config.js'
export * from './check.js'
export * from './change.js'
export * from './diff.js'
export * from './snapshot.js'
export * from './fold.js'
