/** HTTP/1.1 server that ends its connections during a graceful shutdown without cutting off a request. */
export * from './drain-server.js'
export * from './limit-reading.js'
export type * from './unread-answers.js'
export { countChunk } from './collect-garbage.js'
