/** HTTP/1.1 client for upstreams and peers: reuses connections, checks framing, supports cancellation, and says for every failure whether the request may have run. */
export * from './send-http.js'
export * from './send-buffered.js'
export * from './open-connections.js'
export * from './probe-connection.js'
