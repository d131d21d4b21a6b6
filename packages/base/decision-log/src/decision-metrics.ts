/** Counters and histograms, served as text. Counters of decisions come from the decisions themselves. */
import * as prometheus from 'prom-client'
import type * as decisions from './decisions.js'

/** The counters and histograms of one process. */
export interface DecisionMetrics {
  readonly countDecision: (decision: decisions.Decision) => void
  /** One call to the store. */
  readonly observeStoreCall: (call: string, outcome: string, tookMs: number) => void
  /** Values read when the page is asked for. */
  readonly registerGauge: (name: string, help: string, read: () => number) => void
  readonly renderText: () => Promise<string>
  readonly contentType: string
}

/** Upper bounds in ms: from a store answer to the longest request of any site. */
const buckets = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400]
const prefix = 'eelgrasswind_'

/** Creates an empty registry of its own, so that several fronts can live in one test process. */
export function createDecisionMetrics (): DecisionMetrics {
  const registry = new prometheus.Registry()
  const registers = [registry]
  const events = new prometheus.Counter({ name: `${prefix}decisions_total`, help: 'Decisions by event.', labelNames: ['event'], registers })
  const requests = new prometheus.Counter({ name: `${prefix}requests_total`, help: 'Ended requests by kind, outcome and status.', labelNames: ['kind', 'outcome', 'status'], registers })
  const refusals = new prometheus.Counter({ name: `${prefix}refusals_total`, help: 'Refused and broken turns and requests by reason.', labelNames: ['reason'], registers })
  const sendFailures = new prometheus.Counter({ name: `${prefix}send_failures_total`, help: 'Sends without a usable answer by cause and what followed.', labelNames: ['cause', 'next'], registers })
  const first = new prometheus.Histogram({ name: `${prefix}first_event_ms`, help: 'Time to the head of the answer, ms.', labelNames: ['kind'], buckets, registers })
  const whole = new prometheus.Histogram({ name: `${prefix}request_ms`, help: 'Time to the end of the answer, ms.', labelNames: ['kind', 'outcome'], buckets, registers })
  const opened = new prometheus.Histogram({ name: `${prefix}shard_open_ms`, help: 'Time to fence the former owner of a shard and read it, ms.', buckets, registers })
  const storeCalls = new prometheus.Histogram({ name: `${prefix}store_call_ms`, help: 'Calls to the store by call and outcome, ms.', labelNames: ['call', 'outcome'], buckets, registers })

  return {
    countDecision (decision) {
      events.inc({ event: decision.event })
      switch (decision.event) {
        case 'ended':
          requests.inc({ kind: decision.kind, outcome: decision.outcome, status: decision.status })
          whole.observe({ kind: decision.kind, outcome: decision.outcome }, decision.tookMs)
          if (decision.firstMs !== undefined) first.observe({ kind: decision.kind }, decision.firstMs)
          break
        case 'overLimit':
        case 'unknownKey':
          refusals.inc({ reason: decision.event })
          break
        case 'turnRefused':
        case 'streamBroken':
          refusals.inc({ reason: decision.reason })
          break
        case 'sendFailed':
          sendFailures.inc({ cause: decision.failure.tag, next: decision.next })
          break
        case 'shardOpened':
          opened.observe(decision.tookMs)
          break
      }
    },
    observeStoreCall: (call, outcome, tookMs) => { storeCalls.observe({ call, outcome }, tookMs) },
    registerGauge (name, help, read) {
      const gauge: prometheus.Gauge = new prometheus.Gauge({ name: prefix + name, help, registers, collect: () => { gauge.set(read()) } })
    },
    renderText: () => registry.metrics(),
    contentType: registry.contentType
  }
}
