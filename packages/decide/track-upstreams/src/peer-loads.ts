/**
 * Sums up the requests that other processes report to have in flight at each upstream. A process sees only its own
 * share of an upstream's load: with 29 processes in front of 24 upstreams of 8 slots, about one request in 29.
 */
import type * as types from '@eelgrasswind/types'

/** Requests that one process has in flight, by upstream; upstreams without any are omitted. */
export type RunningCounts = ReadonlyMap<types.UpstreamId, number>

interface PeerReport {
  counts: RunningCounts
  receivedAt: number
}

/** A report older than this, in ms, is stale: several later reports were lost, or the process has ended. */
const reportTtlMs = 3_000
/** How long it is remembered when a peer reported last, in ms: a peer that was heard and is silent is told from one that was never heard. */
const reportMemoryMs = 30_000

/** Keeps the latest report of each peer and the sums over all peers. */
export class PeerLoads {
  private readonly reports = new Map<string, PeerReport>()
  private readonly sums = new Map<types.UpstreamId, number>()
  /** When each peer last reported, monotonic ms; kept longer than the reports. */
  private readonly reportedAt = new Map<string, number>()

  /** Replaces the previous report of a peer; `now`: monotonic ms. */
  applyReport (peer: string, counts: RunningCounts, now: number): void {
    const previous = this.reports.get(peer)
    if (previous !== undefined) this.addToSums(previous.counts, -1)
    this.addToSums(counts, 1)
    this.reports.set(peer, { counts, receivedAt: now })
    this.reportedAt.set(peer, now)
  }

  /** Drops reports that are too old. */
  expire (now: number): void {
    for (const [peer, { counts, receivedAt }] of this.reports) {
      if (now - receivedAt <= reportTtlMs) continue
      this.addToSums(counts, -1)
      this.reports.delete(peer)
    }
    for (const [peer, reportedAt] of this.reportedAt) if (now - reportedAt > reportMemoryMs) this.reportedAt.delete(peer)
  }

  /** Time since the last report of a peer, in ms; infinite if it has sent none lately. `now`: monotonic ms. */
  getReportAgeMs (peer: string, now: number): number {
    return now - (this.reportedAt.get(peer) ?? -Infinity)
  }

  /** Peers with a current report. */
  get peers (): Iterable<string> {
    return this.reports.keys()
  }

  get peerCount (): number {
    return this.reports.size
  }

  /** Requests that other processes have in flight at the upstream. */
  getRunning (upstream: types.UpstreamId): number {
    return this.sums.get(upstream) ?? 0
  }

  private addToSums (counts: RunningCounts, sign: 1 | -1): void {
    for (const [upstream, count] of counts) {
      const sum = (this.sums.get(upstream) ?? 0) + sign * count
      if (sum === 0) this.sums.delete(upstream)
      else this.sums.set(upstream, sum)
    }
  }
}
