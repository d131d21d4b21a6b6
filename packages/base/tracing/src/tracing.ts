/** A span for each hop of a request. */
import type * as span from './span.js'
import * as traceparents from './traceparent.js'

export interface TracingSettings {
  readonly serviceName: string
  /** Where spans go, by OTLP over HTTP, as `http://ip:port/v1/traces`; null for nowhere. */
  readonly exporterUrl: string | null
}

class PassedOnSpan implements span.Span {
  constructor (readonly traceparent: string) {}

  end (): void {}
}

/** Records nothing, but passes the caller's trace on. */
function createOff (): span.Tracing {
  function startSpan (_name: string, parentTraceparent?: string): span.Span {
    const parent = traceparents.parseTraceparent(parentTraceparent)
    const traceId = parent?.traceId ?? traceparents.newTraceId()
    const sampled = parent?.sampled ?? false
    return new PassedOnSpan(traceparents.formatTraceparent({ traceId, spanId: traceparents.newSpanId(), sampled }))
  }

  return { startSpan, close: async () => {} }
}

/** Loads OpenTelemetry only where there is an exporter. */
export async function createTracing (settings: TracingSettings): Promise<span.Tracing> {
  if (settings.exporterUrl === null) return createOff()
  const exporting = await import('./exported-tracing.js')
  return exporting.createExportedTracing(settings.serviceName, settings.exporterUrl)
}
