/** One span for each hop, with W3C trace context. */
export {}
