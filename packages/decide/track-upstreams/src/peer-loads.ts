/**
 * What the other processes have running at each upstream, from what they report. A process sees only its own share of
 * an upstream's load: with 29 processes before 24 upstreams of 8 slots, that is about one request in 29.
 */
import type * as types from '@eelgrasswind/types'

/** Requests that one process has running, by upstream; upstreams without any are left out. */
export type RunningCounts = ReadonlyMap<types.UpstreamId, number>

interface PeerReport {
  counts: RunningCounts
  receivedAt: number
}

/** A report older than this, in ms, says nothing any more: several reports were lost, or the process has ended. */
const reportTtlMs = 3_000

/** The latest report of each peer, and their sums. */
export class PeerLoads {
  private readonly reports = new Map<string, PeerReport>()
  private readonly sums = new Map<types.UpstreamId, number>()

  /** Takes the report of one peer in place of its former one. Monotonic ms. */
  applyReport (peer: string, counts: RunningCounts, now: number): void {
    const previous = this.reports.get(peer)
    if (previous !== undefined) this.add(previous.counts, -1)
    this.add(counts, 1)
    this.reports.set(peer, { counts, receivedAt: now })
  }

  /** Forgets the reports of peers that have fallen silent. */
  expire (now: number): void {
    for (const [peer, { counts, receivedAt }] of this.reports) {
      if (now - receivedAt <= reportTtlMs) continue
      this.add(counts, -1)
      this.reports.delete(peer)
    }
  }

  /** Peers whose reports count. */
  get peers (): Iterable<string> {
    return this.reports.keys()
  }

  get peerCount (): number {
    return this.reports.size
  }

  /** Requests that other processes have running there. */
  getRunning (upstream: types.UpstreamId): number {
    return this.sums.get(upstream) ?? 0
  }

  private add (counts: RunningCounts, sign: 1 | -1): void {
    for (const [upstream, count] of counts) {
      const sum = (this.sums.get(upstream) ?? 0) + sign * count
      if (sum === 0) this.sums.delete(upstream)
      else this.sums.set(upstream, sum)
    }
  }
}
