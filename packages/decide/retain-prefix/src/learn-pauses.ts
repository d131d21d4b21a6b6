/** Learns by kind how long programs pause between calls and what share never returns. */
import type * as types from '@eelgrasswind/types'

/** Distribution of the pauses of a kind. */
export interface PauseStats {
  /** Number of observed pauses; older ones count less. */
  readonly samples: number
  /** Upper edges of the buckets, in milliseconds, ascending. */
  readonly edgesMs: readonly number[]
  /** Share of all pauses that ended with another call, by bucket. */
  readonly returned: readonly number[]
  /** Share of all pauses after which the program made no further call, by the time at which that became known. */
  readonly gone: readonly number[]
}

/** How one pause ended. */
export type PauseEnd =
  | { readonly type: 'returned', readonly afterMs: number }
  /** The program finished, was cancelled or expired during the pause. */
  | { readonly type: 'gone', readonly afterMs: number }

/** Learns the distribution of pauses by kind. */
export interface PauseLearner {
  observe: (kind: types.KindId, end: PauseEnd) => void
  getStats: (kind: types.KindId) => PauseStats
}

/** Observed pauses of one kind, by bucket. */
interface PauseCounts {
  returned: number[]
  gone: number[]
  samples: number
}

/** Bucket edges: a quarter of a second, doubling, up to about 17 minutes. */
export const pauseEdgesMs: readonly number[] = Array.from({ length: 13 }, (_, index) => 250 * 2 ** index)

/** Number of samples at which all counts are halved, so that older pauses count less. */
const maxSamples = 400

/** Creates a learner without observations. */
export function createPauseLearner (): PauseLearner {
  const kinds = new Map<types.KindId, PauseCounts>()

  function getOrCreateCounts (kind: types.KindId): PauseCounts {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created = { returned: pauseEdgesMs.map(() => 0), gone: pauseEdgesMs.map(() => 0), samples: 0 }
    kinds.set(kind, created)
    return created
  }

  function observe (kind: types.KindId, end: PauseEnd): void {
    const pauseCounts = getOrCreateCounts(kind)
    if (pauseCounts.samples >= maxSamples) halveCounts(pauseCounts)
    pauseCounts.samples += 1
    const bucketCounts = end.type === 'gone' ? pauseCounts.gone : pauseCounts.returned
    const bucket = pauseEdgesMs.findIndex((edge) => end.afterMs <= edge)
    const bucketIndex = bucket < 0 ? pauseEdgesMs.length - 1 : bucket
    bucketCounts[bucketIndex] = bucketCounts[bucketIndex]! + 1
  }

  function getStats (kind: types.KindId): PauseStats {
    const pauseCounts = getOrCreateCounts(kind)
    const share = pauseCounts.samples === 0 ? 0 : 1 / pauseCounts.samples
    return {
      samples: pauseCounts.samples,
      edgesMs: pauseEdgesMs,
      returned: pauseCounts.returned.map((count) => count * share),
      gone: pauseCounts.gone.map((count) => count * share)
    }
  }

  return { observe, getStats }
}

function halveCounts (pauseCounts: PauseCounts): void {
  pauseCounts.returned = pauseCounts.returned.map((count) => count / 2)
  pauseCounts.gone = pauseCounts.gone.map((count) => count / 2)
  pauseCounts.samples /= 2
}
