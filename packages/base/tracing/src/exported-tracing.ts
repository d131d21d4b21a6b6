/** Spans by OpenTelemetry, sent in batches by OTLP over HTTP. */
import * as otel from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'
import * as traceparents from './traceparent.js'
import type * as tracing from './tracing.js'

const statusCodes: Readonly<Record<tracing.SpanStatus, otel.SpanStatusCode>> = {
  ok: otel.SpanStatusCode.OK,
  error: otel.SpanStatusCode.ERROR
}

function contextOf (parentTraceparent: string | undefined): otel.Context {
  const parent = traceparents.parseTraceparent(parentTraceparent)
  if (parent === undefined) return otel.ROOT_CONTEXT
  const traceFlags = parent.sampled ? otel.TraceFlags.SAMPLED : otel.TraceFlags.NONE
  return otel.trace.setSpanContext(otel.ROOT_CONTEXT, { traceId: parent.traceId, spanId: parent.spanId, traceFlags, isRemote: true })
}

function wrap (inner: otel.Span): tracing.Span {
  const { traceId, spanId, traceFlags } = inner.spanContext()
  const sampled = (traceFlags & otel.TraceFlags.SAMPLED) !== 0

  function end (status: tracing.SpanStatus, attributes: tracing.SpanAttributes = {}): void {
    inner.setAttributes(attributes)
    inner.setStatus({ code: statusCodes[status] })
    inner.end()
  }

  return { traceparent: traceparents.formatTraceparent({ traceId, spanId, sampled }), end }
}

/** Spans of an unsampled caller are passed on but not sent. */
export function createExportedTracing (serviceName: string, url: string): tracing.Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': serviceName }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }))]
  })
  const tracer = provider.getTracer('eelgrasswind')

  function startSpan (name: string, parentTraceparent?: string, attributes: tracing.SpanAttributes = {}): tracing.Span {
    return wrap(tracer.startSpan(name, { attributes }, contextOf(parentTraceparent)))
  }

  async function close (): Promise<void> {
    // A collector that is gone must not fail a shutdown.
    await provider.shutdown().catch(() => {})
  }

  return { startSpan, close }
}
