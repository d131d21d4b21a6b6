/** Relays store calls through another process while the store does not serve this one. */
export * from './relayed-log.js'
