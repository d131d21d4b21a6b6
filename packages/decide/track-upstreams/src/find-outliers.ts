/**
 * Outlier detection: finds upstreams that fail or are slow far more often than the others of their service, from the
 * reports of all processes. A single process sees too few requests to one upstream: at one request every two seconds
 * and a failure rate of 45%, each process would lose several requests before noticing. With shared reports the whole
 * fleet loses about as many requests as one process would alone.
 */
import type * as types from '@eelgrasswind/types'
import type * as list from './upstream-list.js'

/** A bad outcome of one request to an upstream. */
export type Mark =
  /** No usable response was received. */
  | 'failed'
  /** The response took a multiple of the typical time. */
  | 'slow'

/** A number of marks of one upstream, as processes report them to one another. */
export interface MarkReport {
  readonly upstream: types.UpstreamId
  readonly mark: Mark
  readonly count: number
}

/** An upstream that is excluded from new requests for a time. */
export interface Ejection {
  readonly upstream: types.UpstreamId
  readonly mark: Mark
  /** Marks and estimated requests that caused the ejection, decayed over the window. */
  readonly marks: number
  readonly requests: number
  readonly forMs: number
}

/** Time constant of the decay of marks and requests, in ms: long enough to cover some requests to every upstream, short enough for a fault of 5 s. */
const windowMs = 2_000
/** A single mark may be chance: of 71 upstreams that lose 4% of their responses, one in 25 has two marks within the window. */
const minMarks = 2
/**
 * Minimum share of an upstream's requests with a mark. Upstreams with occasional losses fail up to 6% of their requests,
 * faulty ones 40% and more. By chance one request in 20 takes three times the mean; at an upstream that is five times
 * slower it is every second request.
 */
const minMarkedShare: Readonly<Record<Mark, number>> = { failed: 0.2, slow: 0.35 }
/** It must also have this multiple of the mean marks of its service: if all upstreams are slow, the service is overloaded. */
const minExcessFactor = 2
/**
 * Duration of the first ejection, in ms. Each further one within `ejectionMemoryMs` doubles it, since every return of a
 * faulty upstream costs two or three requests.
 */
const initialEjectionMs = 1_500
const maxEjectionMs = 6_000
const ejectionMemoryMs = 10_000
/** Maximum share of the upstreams of a service that are ejected at a time: if more look bad, the cause is not a single upstream. */
const maxEjectedShare = 0.34

/** A counter with exponential decay. */
class DecayingCount {
  private value = 0
  private updatedAt = 0

  add (count: number, now: number): void {
    this.value = this.get(now) + count
    this.updatedAt = now
  }

  get (now: number): number {
    return this.value * Math.exp((this.updatedAt - now) / windowMs)
  }
}

interface ServiceCounts {
  /** Requests that this process sent. */
  readonly sent: DecayingCount
  /** Marks of all processes. */
  readonly marks: Readonly<Record<Mark, DecayingCount>>
}

interface UpstreamState {
  readonly marks: Record<Mark, DecayingCount>
  ejections: number
  lastEjectedAt: number
}

/** Counts marks and requests and decides which upstreams are ejected. Times are monotonic ms. */
export class OutlierDetector {
  private readonly states = new Map<types.UpstreamId, UpstreamState>()
  private readonly services = new Map<types.ServiceId, ServiceCounts>()

  constructor (private readonly upstreams: list.UpstreamList) {}

  /** Counts a request that this process sent to the service. */
  countRequest (service: types.ServiceId, now: number): void {
    this.getOrCreateCounts(service).sent.add(1, now)
  }

  /**
   * Counts marks reported by this or another process and returns the ejection that they cause, if any. `processCount`
   * is the number of processes that send to the service, this one included; each is assumed to send as much as this one.
   */
  applyReport (report: MarkReport, processCount: number, now: number): Ejection | undefined {
    const upstream = this.upstreams.get(report.upstream)
    if (upstream === undefined) return undefined
    const { service } = upstream.listed
    const state = this.getOrCreateState(report.upstream)
    const counts = this.getOrCreateCounts(service)
    state.marks[report.mark].add(report.count, now)
    counts.marks[report.mark].add(report.count, now)
    if (upstream.ejectedUntil > now) return undefined
    const marks = state.marks[report.mark].get(now)
    const upstreamCount = Math.max(1, this.upstreams.getByService(service).length)
    // The expected requests and marks of an average upstream of the service.
    const requests = counts.sent.get(now) * processCount / upstreamCount
    const expectedMarks = counts.marks[report.mark].get(now) / upstreamCount
    if (marks < minMarks + expectedMarks * minExcessFactor || marks < requests * minMarkedShare[report.mark]) return undefined
    if (!this.canEject(service, now)) return undefined
    const forMs = this.eject(upstream, state, now)
    return { upstream: report.upstream, mark: report.mark, marks, requests, forMs }
  }

  private canEject (service: types.ServiceId, now: number): boolean {
    const serviceUpstreams = this.upstreams.getByService(service)
    const ejected = serviceUpstreams.filter((upstream) => upstream.ejectedUntil > now).length
    return ejected + 1 <= serviceUpstreams.length * maxEjectedShare
  }

  private eject (upstream: list.Upstream, state: UpstreamState, now: number): number {
    state.ejections = now - state.lastEjectedAt > ejectionMemoryMs ? 1 : state.ejections + 1
    state.lastEjectedAt = now
    state.marks.failed = new DecayingCount()
    state.marks.slow = new DecayingCount()
    const forMs = Math.min(maxEjectionMs, initialEjectionMs * 2 ** (state.ejections - 1))
    upstream.ejectedUntil = now + forMs
    return forMs
  }

  private getOrCreateState (id: types.UpstreamId): UpstreamState {
    const known = this.states.get(id)
    if (known !== undefined) return known
    this.removeUnlisted()
    const state: UpstreamState = { marks: createMarks(), ejections: 0, lastEjectedAt: -Infinity }
    this.states.set(id, state)
    return state
  }

  /** Every start of an upstream has a new id, so that the state of former ones has to be removed. */
  private removeUnlisted (): void {
    for (const id of this.states.keys()) {
      if (this.upstreams.get(id) === undefined) this.states.delete(id)
    }
  }

  private getOrCreateCounts (service: types.ServiceId): ServiceCounts {
    const known = this.services.get(service)
    if (known !== undefined) return known
    const counts: ServiceCounts = { sent: new DecayingCount(), marks: createMarks() }
    this.services.set(service, counts)
    return counts
  }
}

function createMarks (): Record<Mark, DecayingCount> {
  return { failed: new DecayingCount(), slow: new DecayingCount() }
}
