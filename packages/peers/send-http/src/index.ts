/** One HTTP request to an upstream or a peer: connection reuse, checked framing, cancellation, and a verdict on every failure. */
export * from './send-http.js'
export * from './send-whole.js'
