/** OpenTelemetry spans, exported in batches by OTLP over HTTP. */
import * as otel from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'
import type * as span from './span.js'
import * as traceparents from './traceparent.js'

const otelStatusCodes: Readonly<Record<span.SpanStatus, otel.SpanStatusCode>> = {
  ok: otel.SpanStatusCode.OK,
  error: otel.SpanStatusCode.ERROR
}

function toParentContext (parentTraceparent: string | undefined): otel.Context {
  const parent = traceparents.parseTraceparent(parentTraceparent)
  if (parent === undefined) return otel.ROOT_CONTEXT
  const traceFlags = parent.sampled ? otel.TraceFlags.SAMPLED : otel.TraceFlags.NONE
  return otel.trace.setSpanContext(otel.ROOT_CONTEXT, { traceId: parent.traceId, spanId: parent.spanId, traceFlags, isRemote: true })
}

function wrapOtelSpan (otelSpan: otel.Span): span.Span {
  const { traceId, spanId, traceFlags } = otelSpan.spanContext()
  const sampled = (traceFlags & otel.TraceFlags.SAMPLED) !== 0

  function end (status: span.SpanStatus, attributes: span.SpanAttributes = {}): void {
    otelSpan.setAttributes(attributes)
    otelSpan.setStatus({ code: otelStatusCodes[status] })
    otelSpan.end()
  }

  return { traceparent: traceparents.formatTraceparent({ traceId, spanId, sampled }), end }
}

/** Creates tracing that exports spans; the trace of an unsampled caller is propagated but not exported. */
export function createExportedTracing (serviceName: string, url: string): span.Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': serviceName }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }))]
  })
  const tracer = provider.getTracer('eelgrasswind')

  function startSpan (name: string, parentTraceparent?: string, attributes: span.SpanAttributes = {}): span.Span {
    return wrapOtelSpan(tracer.startSpan(name, { attributes }, toParentContext(parentTraceparent)))
  }

  async function close (): Promise<void> {
    // An unreachable collector must not make the shutdown fail.
    await provider.shutdown().catch(() => {})
  }

  return { startSpan, close }
}
