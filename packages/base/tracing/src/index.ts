/** One span for each hop, with W3C trace context. */
export * from './traceparent.js'
export * from './tracing.js'
