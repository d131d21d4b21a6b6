/** Tracks which hosts report to this process as the owner of an account group, and the newest owner that they know. */
import type * as meterCall from './meter-call.js'

/** Reports that this process has received for one group. */
export class GroupTenure {
  /** When each host reported last, in monotonic ms. */
  private readonly reportedAt = new Map<string, number>()
  private newestKnownTerm = -1

  /** Notes a call. A host that may use its share of the limits does not count as reporting until it calls again. */
  noteReport ({ host, knownTerm, usesShare }: Pick<meterCall.MeterCall, 'host' | 'knownTerm' | 'usesShare'>, now: number): void {
    if (!usesShare) this.reportedAt.set(host, now)
    this.newestKnownTerm = Math.max(this.newestKnownTerm, knownTerm)
  }

  /** The highest ownership term that a host has heard of; -1 if none has. */
  get newestTerm (): number {
    return this.newestKnownTerm
  }

  /** Number of hosts that reported within the last `ttlMs`. Forgets the others. */
  countReporters (ttlMs: number, now: number): number {
    for (const [host, at] of this.reportedAt) {
      if (now - at > ttlMs) this.reportedAt.delete(host)
    }
    return this.reportedAt.size
  }
}
