/** One span for each hop, with W3C trace context. */
export * from './span.js'
export * from './traceparent.js'
export * from './tracing.js'
