/** Reaches the store through another process while the store turns this one away. */
export * from './relayed-log.js'
