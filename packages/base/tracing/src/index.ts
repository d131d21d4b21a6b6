/** Tracing with one span for each hop of a request and W3C trace context. */
export * from './span.js'
export * from './traceparent.js'
export * from './tracing.js'
