/** Computes the state of a program as a pure fold over its journal records. */
export * from './effect.js'
export * from './chain.js'
export * from './state.js'
export * from './queries.js'
export * from './request-digest.js'
export * from './batch.js'
