/** What a part of the system may do with spans, whether they are sent or not. */

/** How a hop ended. */
export type SpanStatus = 'ok' | 'error'

/** What a span says of its hop. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

/** The span of one hop. */
export interface Span {
  /** To be passed on, so that the next hop's span becomes a child of this one. */
  readonly traceparent: string
  end: (status: SpanStatus, attributes?: SpanAttributes) => void
}

/** Where spans begin. */
export interface Tracing {
  /** Starts a span under the caller's one, or a new trace where the caller names none. */
  startSpan: (name: string, parentTraceparent?: string, attributes?: SpanAttributes) => Span
  /** Sends the spans that have ended. */
  close: () => Promise<void>
}
