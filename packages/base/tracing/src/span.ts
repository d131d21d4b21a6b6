/** Interface of tracing, the same whether spans are exported or not. */

/** How a hop ended. */
export type SpanStatus = 'ok' | 'error'

/** Attributes of a span. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

/** The span of one hop. */
export interface Span {
  /** Value of the `traceparent` header for the next hop, whose span becomes a child of this one. */
  readonly traceparent: string
  end: (status: SpanStatus, attributes?: SpanAttributes) => void
}

/** Starts spans. */
export interface Tracing {
  /** Starts a span as a child of the caller's, or a new trace if the caller has none. */
  startSpan: (name: string, parentTraceparent?: string, attributes?: SpanAttributes) => Span
  /** Exports the spans that have ended. */
  close: () => Promise<void>
}
