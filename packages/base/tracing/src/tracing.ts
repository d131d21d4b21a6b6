/** Creates tracing, with or without an exporter. */
import type * as span from './span.js'
import * as traceparents from './traceparent.js'

/** Settings of tracing. */
export interface TracingSettings {
  readonly serviceName: string
  /** OTLP endpoint over HTTP, such as `http://ip:port/v1/traces`; null disables export. */
  readonly exporterUrl: string | null
}

class PropagatedSpan implements span.Span {
  constructor (readonly traceparent: string) {}

  end (): void {}
}

/** Exports nothing, but propagates the trace of the caller. */
function createPropagatingTracing (): span.Tracing {
  function startSpan (_name: string, parentTraceparent?: string): span.Span {
    const parent = traceparents.parseTraceparent(parentTraceparent)
    const traceId = parent?.traceId ?? traceparents.createTraceId()
    const sampled = parent?.sampled ?? false
    return new PropagatedSpan(traceparents.formatTraceparent({ traceId, spanId: traceparents.createSpanId(), sampled }))
  }

  return { startSpan, close: async () => {} }
}

/** Creates tracing. OpenTelemetry is loaded only if there is an exporter. */
export async function createTracing (settings: TracingSettings): Promise<span.Tracing> {
  if (settings.exporterUrl === null) return createPropagatingTracing()
  const exportedTracing = await import('./exported-tracing.js')
  return exportedTracing.createExportedTracing(settings.serviceName, settings.exporterUrl)
}
