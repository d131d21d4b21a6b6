/**
 * Finds upstreams that fail or lag far more often than is usual, from what all processes report. Each process alone
 * sees too few requests of one upstream: at one in two seconds, a fault of 45 in 100 takes it several lost requests to
 * notice; with all reports it takes the whole fleet about as many as one process alone.
 */
import type * as types from '@eelgrasswind/types'
import type * as list from './upstream-list.js'

/** What went wrong with one request at an upstream. */
export type Mark =
  /** No usable answer came. */
  | 'failed'
  /** The answer took a multiple of the usual time. */
  | 'slow'

/** Marks by upstream, as processes tell one another. */
export interface MarkReport {
  readonly upstream: types.UpstreamId
  readonly mark: Mark
  readonly count: number
}

/** An upstream that new requests avoid for a while. */
export interface Ejection {
  readonly upstream: types.UpstreamId
  readonly mark: Mark
  /** Marks and requests that decided it, decayed over the window. */
  readonly marks: number
  readonly requests: number
  readonly forMs: number
}

/** Marks and requests fade with this time constant, in ms: some requests of every upstream, yet within a fault of 5 s. */
const windowMs = 2_000
/** One mark may be chance: of 71 upstreams that lose 4 in 100 of their answers, one in 25 shows two within the window. */
const minMarks = 2
/**
 * Share of an upstream's requests that must bear a mark. Upstreams that lose some answers lose up to 6 in 100; faulty
 * ones fail 40 and more. One call in 20 takes three times the mean by chance, of an upstream five times slower every second.
 */
const minMarkedShare: Readonly<Record<Mark, number>> = { failed: 0.2, slow: 0.35 }
/** Beyond that it must bear this many times the marks of the usual upstream: where all lag, the service has too much to do. */
const minExcessFactor = 2
/** The first ejection, in ms; each further one within `forgetMs` doubles it: longer than what a trial costs, two or three requests. */
const initialEjectionMs = 1_500
const maxEjectionMs = 6_000
const ejectionMemoryMs = 10_000
/** No more than this share of a service is ejected: beyond it the fault is not that of single upstreams. */
const maxEjectedShare = 0.34

/** A count that fades. */
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

/** Counts marks and requests and decides who is ejected. Times are monotonic ms. */
export class OutlierDetector {
  private readonly states = new Map<types.UpstreamId, UpstreamState>()
  private readonly services = new Map<types.ServiceId, ServiceCounts>()

  constructor (private readonly upstreams: list.UpstreamList) {}

  /** This process has sent a request to the service. */
  countRequest (service: types.ServiceId, now: number): void {
    this.getOrCreateCounts(service).sent.add(1, now)
  }

  /**
   * Counts marks of this or another process. Processes: how many send to the service, this one included; they are
   * taken to send as much as this one does. Returns the ejection that this brings about, if any.
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
    // What one upstream of the service gets, and the marks it would bear if it were like all others.
    const requests = counts.sent.get(now) * processCount / upstreamCount
    const expectedMarks = counts.marks[report.mark].get(now) / upstreamCount
    if (marks < minMarks + expectedMarks * minExcessFactor || marks < requests * minMarkedShare[report.mark]) return undefined
    if (!this.canEject(service, now)) return undefined
    const forMs = this.eject(upstream, state, now)
    return { upstream: report.upstream, mark: report.mark, marks, requests, forMs }
  }

  private canEject (service: types.ServiceId, now: number): boolean {
    const all = this.upstreams.getByService(service)
    const ejected = all.filter((upstream) => upstream.ejectedUntil > now).length
    return ejected + 1 <= all.length * maxEjectedShare
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

  /** Every start of an upstream has an id of its own: without this they would add up. */
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
