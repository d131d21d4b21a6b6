/** Counts this process's calls in flight by upstream, now and at past times, to correct delayed load reports. */
import type * as types from '@eelgrasswind/types'

/** Counts of calls in flight. Times are in milliseconds. */
export interface InFlightHistory {
  begin: (upstream: types.UpstreamId, now: number) => void
  end: (upstream: types.UpstreamId, now: number) => void
  getInFlight: (upstream: types.UpstreamId) => number
  /** Number of calls in flight at a past time, at most `historyMs` ago. */
  getInFlightAt: (upstream: types.UpstreamId, at: number) => number
}

interface Change {
  readonly at: number
  readonly countAfter: number
}

/** Time for which counts are kept: longer than the delay of load reports. */
export const inFlightHistoryMs = 30_000

/** Creates an empty history that covers the last `historyMs` milliseconds. */
export function createInFlightHistory (historyMs = inFlightHistoryMs): InFlightHistory {
  const changes = new Map<types.UpstreamId, Change[]>()

  function recordChange (upstream: types.UpstreamId, delta: number, now: number): void {
    const upstreamChanges = changes.get(upstream) ?? []
    changes.set(upstream, upstreamChanges)
    upstreamChanges.push({ at: now, countAfter: Math.max(0, getInFlight(upstream) + delta) })
    trimHistory(upstreamChanges, now - historyMs)
  }

  function getInFlight (upstream: types.UpstreamId): number {
    return changes.get(upstream)?.at(-1)?.countAfter ?? 0
  }

  function getInFlightAt (upstream: types.UpstreamId, at: number): number {
    const upstreamChanges = changes.get(upstream) ?? []
    const last = upstreamChanges.findLast((change) => change.at <= at)
    return last?.countAfter ?? 0
  }

  return {
    begin: (upstream, now) => recordChange(upstream, 1, now),
    end: (upstream, now) => recordChange(upstream, -1, now),
    getInFlight,
    getInFlightAt
  }
}

/** Drops all changes before a time except the last one, once many have accumulated. */
function trimHistory (upstreamChanges: Change[], before: number): void {
  const minChangesToTrim = 64
  if (upstreamChanges.length < minChangesToTrim) return
  const keepFrom = upstreamChanges.findLastIndex((change) => change.at <= before)
  if (keepFrom > upstreamChanges.length / 2) upstreamChanges.splice(0, keepFrom)
}
