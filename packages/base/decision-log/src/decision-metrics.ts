/** Prometheus counters and histograms; most of them are derived from decisions. */
import * as prometheus from 'prom-client'
import type * as decisions from './decisions.js'

/** The counters and histograms of one process. */
export interface DecisionMetrics {
  readonly countDecision: (decision: decisions.Decision) => void
  /** Observes one call to the store; `tookMs` is its duration. */
  readonly observeStoreCall: (call: string, outcome: string, tookMs: number) => void
  /** Registers a gauge whose value is read at each scrape. */
  readonly registerGauge: (name: string, help: string, read: () => number) => void
  readonly renderText: () => Promise<string>
  readonly contentType: string
}

/** Upper bounds in milliseconds: from a store call to the longest requests. */
const bucketBoundsMs = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400]
const metricPrefix = 'eelgrasswind_'

/** Creates metrics with their own registry, so that several fronts can run in one test process. */
export function createDecisionMetrics (): DecisionMetrics {
  const registry = new prometheus.Registry()
  const registers = [registry]
  const decisionCounter = new prometheus.Counter({ name: `${metricPrefix}decisions_total`, help: 'Decisions by event.', labelNames: ['event'], registers })
  const requestCounter = new prometheus.Counter({ name: `${metricPrefix}requests_total`, help: 'Ended requests by kind, outcome and status.', labelNames: ['kind', 'outcome', 'status'], registers })
  const refusalCounter = new prometheus.Counter({ name: `${metricPrefix}refusals_total`, help: 'Refused and broken turns and requests by reason.', labelNames: ['reason'], registers })
  const sendFailureCounter = new prometheus.Counter({ name: `${metricPrefix}send_failures_total`, help: 'Sends without a usable answer by cause and what followed.', labelNames: ['cause', 'next'], registers })
  const breakCounter = new prometheus.Counter({ name: `${metricPrefix}upstream_breaks_total`, help: 'Requests whose connection to an upstream broke, by whether the upstream had ended.', labelNames: ['evidence'], registers })
  const answerCounter = new prometheus.Counter({ name: `${metricPrefix}unmarked_answers_total`, help: 'Answers that broke off, or that only the end of their connection marked, by framing and end.', labelNames: ['framing', 'connection', 'whole'], registers })
  const closedCounter = new prometheus.Counter({ name: `${metricPrefix}connections_closed_total`, help: 'Connections closed because a listener had too many.', labelNames: ['listener'], registers })
  const firstEventHistogram = new prometheus.Histogram({ name: `${metricPrefix}first_event_ms`, help: 'Time to the head of the answer, ms.', labelNames: ['kind'], buckets: bucketBoundsMs, registers })
  const requestHistogram = new prometheus.Histogram({ name: `${metricPrefix}request_ms`, help: 'Time to the end of the answer, ms.', labelNames: ['kind', 'outcome'], buckets: bucketBoundsMs, registers })
  const shardOpenHistogram = new prometheus.Histogram({ name: `${metricPrefix}shard_open_ms`, help: 'Time to fence the former owner of a shard and read it, ms.', buckets: bucketBoundsMs, registers })
  const storeCallHistogram = new prometheus.Histogram({ name: `${metricPrefix}store_call_ms`, help: 'Calls to the store by call and outcome, ms.', labelNames: ['call', 'outcome'], buckets: bucketBoundsMs, registers })

  return {
    countDecision (decision) {
      decisionCounter.inc({ event: decision.event })
      switch (decision.event) {
        case 'ended':
          requestCounter.inc({ kind: decision.kind, outcome: decision.outcome, status: decision.status })
          requestHistogram.observe({ kind: decision.kind, outcome: decision.outcome }, decision.tookMs)
          if (decision.firstMs !== undefined) firstEventHistogram.observe({ kind: decision.kind }, decision.firstMs)
          break
        case 'overLimit':
        case 'unknownKey':
          refusalCounter.inc({ reason: decision.event })
          break
        case 'turnRefused':
        case 'streamBroken':
          refusalCounter.inc({ reason: decision.reason })
          break
        case 'upstreamBroke':
          breakCounter.inc({ evidence: decision.evidence })
          break
        case 'connectionsClosed':
          closedCounter.inc({ listener: decision.listener }, decision.closed)
          break
        case 'answerEnded':
          answerCounter.inc({ framing: decision.framing, connection: decision.connection, whole: String(decision.whole) })
          break
        case 'sendFailed':
          sendFailureCounter.inc({ cause: decision.failure.tag, next: decision.next })
          break
        case 'shardOpened':
          shardOpenHistogram.observe(decision.tookMs)
          break
      }
    },
    observeStoreCall: (call, outcome, tookMs) => { storeCallHistogram.observe({ call, outcome }, tookMs) },
    registerGauge (name, help, read) {
      const gauge: prometheus.Gauge = new prometheus.Gauge({ name: metricPrefix + name, help, registers, collect: () => { gauge.set(read()) } })
    },
    renderText: () => registry.metrics(),
    contentType: registry.contentType
  }
}
