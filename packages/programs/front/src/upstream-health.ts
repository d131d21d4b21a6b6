/** What this process believes of its upstreams, from its own requests and from what other processes report. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** What it takes to judge upstreams. */
export interface UpstreamHealthPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** How many processes send to the upstreams, this one included. */
  readonly processes: () => number
  /** Tells the other processes. */
  readonly share: (upstream: types.UpstreamId, mark: trackUpstreams.Mark) => void
}

/** Keeps the beliefs that the choice of an upstream rests on. */
export class UpstreamHealth {
  private readonly outliers: trackUpstreams.OutlierDetector
  private readonly usual = new trackUpstreams.TypicalLatencies()

  constructor (private readonly ports: UpstreamHealthPorts) {
    this.outliers = new trackUpstreams.OutlierDetector(ports.upstreams)
  }

  noteSent (upstream: trackUpstreams.Upstream): void {
    this.outliers.countRequest(upstream.listed.service, this.ports.timers.monotonic())
  }

  /** The first bytes of an answer came, so many ms after the request was sent. */
  noteFirst (upstream: trackUpstreams.Upstream, route: routeRequest.Route, tookMs: number): void {
    if (this.usual.observe(route.name, tookMs, route.objectiveMs)) this.mark(upstream.listed.id, 'slow')
  }

  /** No usable answer came. */
  noteFailure (upstream: trackUpstreams.Upstream): void {
    trackUpstreams.noteFailure(upstream, this.ports.timers.monotonic())
    this.mark(upstream.listed.id, 'failed')
  }

  /** Nothing at all came for so long that the upstream's host is likely gone. */
  noteSilent (upstream: trackUpstreams.Upstream): void {
    trackUpstreams.noteUnresponsive(upstream, this.ports.timers.monotonic())
    this.mark(upstream.listed.id, 'failed')
  }

  /** The upstream answers, but this request got an error, an answer of no use, or none in time. */
  noteBadAnswer (upstream: trackUpstreams.Upstream): void {
    this.mark(upstream.listed.id, 'failed')
  }

  /** What another process reports. */
  takeMarks (marks: readonly trackUpstreams.MarkReport[]): void {
    for (const mark of marks) this.judge(mark, 'peer')
  }

  private mark (upstream: types.UpstreamId, mark: trackUpstreams.Mark): void {
    this.ports.share(upstream, mark)
    this.judge({ upstream, mark, count: 1 }, 'own')
  }

  private judge (report: trackUpstreams.MarkReport, source: 'own' | 'peer'): void {
    const ejection = this.outliers.applyReport(report, this.ports.processes(), this.ports.timers.monotonic())
    if (ejection === undefined) return
    this.ports.decisions.note({ event: 'upstreamEjected', ...ejection, marks: round(ejection.marks), requests: round(ejection.requests), source })
  }
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
