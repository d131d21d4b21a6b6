/** Spans by OpenTelemetry, sent in batches by OTLP over HTTP. */
import * as otel from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'
import type * as span from './span.js'
import * as traceparents from './traceparent.js'

const statusCodes: Readonly<Record<span.SpanStatus, otel.SpanStatusCode>> = {
  ok: otel.SpanStatusCode.OK,
  error: otel.SpanStatusCode.ERROR
}

function contextOf (parentTraceparent: string | undefined): otel.Context {
  const parent = traceparents.parseTraceparent(parentTraceparent)
  if (parent === undefined) return otel.ROOT_CONTEXT
  const traceFlags = parent.sampled ? otel.TraceFlags.SAMPLED : otel.TraceFlags.NONE
  return otel.trace.setSpanContext(otel.ROOT_CONTEXT, { traceId: parent.traceId, spanId: parent.spanId, traceFlags, isRemote: true })
}

function wrap (inner: otel.Span): span.Span {
  const { traceId, spanId, traceFlags } = inner.spanContext()
  const sampled = (traceFlags & otel.TraceFlags.SAMPLED) !== 0

  function end (status: span.SpanStatus, attributes: span.SpanAttributes = {}): void {
    inner.setAttributes(attributes)
    inner.setStatus({ code: statusCodes[status] })
    inner.end()
  }

  return { traceparent: traceparents.formatTraceparent({ traceId, spanId, sampled }), end }
}

/** Spans of an unsampled caller are passed on but not sent. */
export function createExportedTracing (serviceName: string, url: string): span.Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': serviceName }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }))]
  })
  const tracer = provider.getTracer('eelgrasswind')

  function startSpan (name: string, parentTraceparent?: string, attributes: span.SpanAttributes = {}): span.Span {
    return wrap(tracer.startSpan(name, { attributes }, contextOf(parentTraceparent)))
  }

  async function close (): Promise<void> {
    // A collector that is gone must not fail a shutdown.
    await provider.shutdown().catch(() => {})
  }

  return { startSpan, close }
}
