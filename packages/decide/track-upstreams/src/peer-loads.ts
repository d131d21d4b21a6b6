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

/** Keeps the latest report of each peer and the sums over all peers. */
export class PeerLoads {
  private readonly reports = new Map<string, PeerReport>()
  private readonly sums = new Map<types.UpstreamId, number>()

  /** Replaces the previous report of a peer; `now`: monotonic ms. */
  applyReport (peer: string, counts: RunningCounts, now: number): void {
    const previous = this.reports.get(peer)
    if (previous !== undefined) this.addToSums(previous.counts, -1)
    this.addToSums(counts, 1)
    this.reports.set(peer, { counts, receivedAt: now })
  }

  /** Drops reports that are too old. */
  expire (now: number): void {
    for (const [peer, { counts, receivedAt }] of this.reports) {
      if (now - receivedAt <= reportTtlMs) continue
      this.addToSums(counts, -1)
      this.reports.delete(peer)
    }
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
