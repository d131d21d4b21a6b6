/** Health of the upstreams, from this process's own requests and from the reports of other front processes. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** Dependencies for tracking the health of upstreams. */
export interface UpstreamHealthPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Number of front processes that send to the upstreams, including this one. */
  readonly countProcesses: () => number
  /** Reports a mark to the other front processes. */
  readonly publishMark: (upstream: types.UpstreamId, mark: trackUpstreams.Mark) => void
}

/** Updates the health state that upstream selection uses, and ejects outliers. */
export class UpstreamHealth {
  private readonly outlierDetector: trackUpstreams.OutlierDetector
  private readonly typicalLatencies = new trackUpstreams.TypicalLatencies()

  constructor (private readonly ports: UpstreamHealthPorts) {
    this.outlierDetector = new trackUpstreams.OutlierDetector(ports.upstreams)
  }

  /** Counts a request, as the basis of the outliers' failure rates. */
  noteSent (upstream: trackUpstreams.Upstream): void {
    this.outlierDetector.countRequest(upstream.listed.service, this.ports.timers.monotonic())
  }

  /** The first bytes of an answer arrived, `latencyMs` after the request was sent. */
  noteFirstBytes (upstream: trackUpstreams.Upstream, route: routeRequest.Route, latencyMs: number): void {
    if (this.typicalLatencies.observe(route.name, latencyMs, route.objectiveMs)) this.recordMark(upstream.listed.id, 'slow')
  }

  /** The request got no usable answer; new requests avoid the upstream for a while. */
  noteFailure (upstream: trackUpstreams.Upstream): void {
    trackUpstreams.noteFailure(upstream, this.ports.timers.monotonic())
    this.recordMark(upstream.listed.id, 'failed')
  }

  /** The bytes of an answer did not end; the upstream gets no requests for a while. */
  noteEndlessAnswer (upstream: trackUpstreams.Upstream): void {
    trackUpstreams.noteEndlessAnswer(upstream, this.ports.timers.monotonic())
    this.recordMark(upstream.listed.id, 'failed')
  }

  /** The upstream sent nothing for so long that its host has probably failed. */
  noteUnresponsive (upstream: trackUpstreams.Upstream): void {
    trackUpstreams.noteUnresponsive(upstream, this.ports.timers.monotonic())
    this.recordMark(upstream.listed.id, 'failed')
  }

  /** The upstream is responsive, but this request got an error, an unusable answer, or none in time. */
  noteFailedRequest (upstream: trackUpstreams.Upstream): void {
    this.recordMark(upstream.listed.id, 'failed')
  }

  /** Applies marks that another front process reported. */
  applyPeerMarks (marks: readonly trackUpstreams.MarkReport[]): void {
    for (const mark of marks) this.applyMark(mark, 'peer')
  }

  private recordMark (upstream: types.UpstreamId, mark: trackUpstreams.Mark): void {
    this.ports.publishMark(upstream, mark)
    this.applyMark({ upstream, mark, count: 1 }, 'own')
  }

  private applyMark (report: trackUpstreams.MarkReport, source: 'own' | 'peer'): void {
    const ejection = this.outlierDetector.applyReport(report, this.ports.countProcesses(), this.ports.timers.monotonic())
    if (ejection === undefined) return
    this.ports.decisions.record({ event: 'upstreamEjected', ...ejection, marks: roundToTenth(ejection.marks), requests: roundToTenth(ejection.requests), source })
  }
}

function roundToTenth (value: number): number {
  return Math.round(value * 10) / 10
}
