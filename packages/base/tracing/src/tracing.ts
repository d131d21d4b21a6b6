/** A span for each hop of a request. */
import * as traceparents from './traceparent.js'

export type SpanStatus = 'ok' | 'error'

/** What a span says of its hop. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

export interface Span {
  /** To be passed on, so that the next hop's span becomes a child of this one. */
  readonly traceparent: string
  end: (status: SpanStatus, attributes?: SpanAttributes) => void
}

export interface Tracing {
  /** Starts a span under the caller's one, or a new trace where the caller names none. */
  startSpan: (name: string, parentTraceparent?: string, attributes?: SpanAttributes) => Span
  /** Sends the spans that have ended. */
  close: () => Promise<void>
}

export interface TracingSettings {
  readonly serviceName: string
  /** Where spans go, by OTLP over HTTP, as `http://ip:port/v1/traces`; null for nowhere. */
  readonly exporterUrl: string | null
}

class PassedOnSpan implements Span {
  constructor (readonly traceparent: string) {}

  end (): void {}
}

/** Records nothing, but passes the caller's trace on. */
function createOff (): Tracing {
  function startSpan (_name: string, parentTraceparent?: string): Span {
    const parent = traceparents.parseTraceparent(parentTraceparent)
    const traceId = parent?.traceId ?? traceparents.newTraceId()
    const sampled = parent?.sampled ?? false
    return new PassedOnSpan(traceparents.formatTraceparent({ traceId, spanId: traceparents.newSpanId(), sampled }))
  }

  return { startSpan, close: async () => {} }
}

/** Loads OpenTelemetry only where there is an exporter. */
export async function createTracing (settings: TracingSettings): Promise<Tracing> {
  if (settings.exporterUrl === null) return createOff()
  const exporting = await import('./exported-tracing.js')
  return exporting.createExportedTracing(settings.serviceName, settings.exporterUrl)
}
