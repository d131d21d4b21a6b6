/** Learns, by kind, how long programs pause between calls and how many never return. */
import type * as types from '@eelgrasswind/types'

/** How the pauses of a kind are spread. */
export interface PauseStats {
  /** Pauses seen, recent ones counting most. */
  readonly samples: number
  /** Upper edges of the buckets, in milliseconds, ascending. */
  readonly edgesMs: readonly number[]
  /** Share of all pauses that ended by a return, by bucket. */
  readonly returned: readonly number[]
  /** Share of all pauses after which the program never returned, by the time at which that became known. */
  readonly gone: readonly number[]
}

/** How one pause ended. */
export type PauseEnd =
  | { readonly type: 'returned', readonly afterMs: number }
  /** The program finished, was cancelled or expired meanwhile. */
  | { readonly type: 'gone', readonly afterMs: number }

export interface PauseLearner {
  observe: (kind: types.KindId, end: PauseEnd) => void
  getStats: (kind: types.KindId) => PauseStats
}

/** Counts by bucket. */
interface Seen {
  returned: number[]
  gone: number[]
  samples: number
}

/** Bucket edges: a quarter of a second, doubling, up to about 17 minutes. */
export const pauseEdgesMs: readonly number[] = Array.from({ length: 13 }, (_, at) => 250 * 2 ** at)

/** Sample count at which older pauses begin to fade. */
const memorySamples = 400

export function createPauseLearner (): PauseLearner {
  const kinds = new Map<types.KindId, Seen>()

  function countsOf (kind: types.KindId): Seen {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created = { returned: pauseEdgesMs.map(() => 0), gone: pauseEdgesMs.map(() => 0), samples: 0 }
    kinds.set(kind, created)
    return created
  }

  function observe (kind: types.KindId, end: PauseEnd): void {
    const seen = countsOf(kind)
    if (seen.samples >= memorySamples) fade(seen)
    seen.samples += 1
    const counts = end.type === 'gone' ? seen.gone : seen.returned
    const bucket = pauseEdgesMs.findIndex((edge) => end.afterMs <= edge)
    const at = bucket < 0 ? pauseEdgesMs.length - 1 : bucket
    counts[at] = counts[at]! + 1
  }

  function stats (kind: types.KindId): PauseStats {
    const seen = countsOf(kind)
    const share = seen.samples === 0 ? 0 : 1 / seen.samples
    return {
      samples: seen.samples,
      edgesMs: pauseEdgesMs,
      returned: seen.returned.map((count) => count * share),
      gone: seen.gone.map((count) => count * share)
    }
  }

  return { observe, getStats: stats }
}

function fade (seen: Seen): void {
  seen.returned = seen.returned.map((count) => count / 2)
  seen.gone = seen.gone.map((count) => count / 2)
  seen.samples /= 2
}
