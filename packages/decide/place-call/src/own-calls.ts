/** Counts a process's own calls in flight by upstream, now and at the time of a late report. */
import type * as types from '@eelgrasswind/types'

export interface InFlightHistory {
  begin: (upstream: types.UpstreamId, now: number) => void
  end: (upstream: types.UpstreamId, now: number) => void
  getInFlight: (upstream: types.UpstreamId) => number
  /** How many were in flight at a past time, as far back as `memoryMs`. */
  getInFlightAt: (upstream: types.UpstreamId, at: number) => number
}

interface Change {
  readonly at: number
  readonly after: number
}

/** How far back counts are kept: longer than load reports are late. */
export const ownCallsMemoryMs = 30_000

export function createInFlightHistory (memoryMs = ownCallsMemoryMs): InFlightHistory {
  const changes = new Map<types.UpstreamId, Change[]>()

  function change (upstream: types.UpstreamId, by: number, now: number): void {
    const known = changes.get(upstream) ?? []
    changes.set(upstream, known)
    known.push({ at: now, after: Math.max(0, inFlight(upstream) + by) })
    forget(known, now - memoryMs)
  }

  function inFlight (upstream: types.UpstreamId): number {
    return changes.get(upstream)?.at(-1)?.after ?? 0
  }

  function inFlightAt (upstream: types.UpstreamId, at: number): number {
    const known = changes.get(upstream) ?? []
    const last = known.findLast((one) => one.at <= at)
    return last?.after ?? 0
  }

  return {
    begin: (upstream, now) => change(upstream, 1, now),
    end: (upstream, now) => change(upstream, -1, now),
    getInFlight: inFlight,
    getInFlightAt: inFlightAt
  }
}

/** Drops all changes before a time but the last of them, once many have gathered. */
function forget (known: Change[], before: number): void {
  const sparse = 64
  if (known.length < sparse) return
  const keep = known.findLastIndex((one) => one.at <= before)
  if (keep > known.length / 2) known.splice(0, keep)
}
