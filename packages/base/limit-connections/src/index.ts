/** Bounds the open connections of an HTTP server, so that descriptors stay free for everything else. */
export * from './connection-order.js'
export * from './connection-bound.js'
export * from './limit-connections.js'
