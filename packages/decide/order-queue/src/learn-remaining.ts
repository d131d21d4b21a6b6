/** Learns the remaining work of programs by kind and number of finished turns. */
import type * as types from '@eelgrasswind/types'

/** One finished call of a program, as the estimator sees it. */
export interface TurnWork {
  /** Prompt tokens that were not cached and generated tokens. */
  readonly tokens: number
  /** Time that the call ran, in milliseconds. */
  readonly runMs: number
  /** Run time plus the pause after the call, without queueing, in milliseconds. */
  readonly ms: number
}

/** Expected remaining work of a program; times in milliseconds. */
export interface RemainingWork {
  readonly calls: number
  readonly tokens: number
  readonly runMs: number
  readonly ms: number
  /** Mean absolute deviation of `ms`. */
  readonly msDeviation: number
  /** Number of programs behind the estimate, at most `1 / newestShare`; 0 if it is the prior. */
  readonly samples: number
}

/** Estimate for a kind without observations. */
export interface RemainingPrior {
  readonly calls: number
  readonly tokens: number
  readonly runMs: number
  readonly ms: number
}

/** Settings of an estimator. */
export interface RemainingSettings {
  readonly prior: RemainingPrior
  /** Minimum weight of the newest program in an estimate, 0 to 1. */
  readonly newestShare: number
}

export const defaultRemainingSettings: RemainingSettings = {
  prior: { calls: 4, tokens: 2_000, runMs: 8_000, ms: 20_000 },
  newestShare: 0.02
}

/** Estimates remaining work from finished programs. */
export interface RemainingEstimator {
  /** Records a finished program; turns in order. */
  observe: (kind: types.KindId, turns: readonly TurnWork[]) => void
  /** Remaining work of a program of this kind after a number of turns; 0 gives that of a whole program. */
  estimate: (kind: types.KindId, turns: number) => RemainingWork
}

interface Mean {
  calls: number
  tokens: number
  runMs: number
  ms: number
  msDeviation: number
  samples: number
}

/** Up to this number of turns each count has its own bucket; above it there is one per doubling. */
const maxExactTurns = 16

/** Creates an estimator without observations, which returns the prior. */
export function createRemainingEstimator (settings: RemainingSettings = defaultRemainingSettings): RemainingEstimator {
  const kinds = new Map<types.KindId, Mean[]>()

  function observe (kind: types.KindId, turns: readonly TurnWork[]): void {
    const means = getOrCreateMeans(kind)
    const remaining = { calls: 0, tokens: 0, runMs: 0, ms: 0 }
    for (let turnsDone = turns.length - 1; turnsDone >= 0; turnsDone -= 1) {
      const turn = turns[turnsDone]!
      remaining.calls += 1
      remaining.tokens += turn.tokens
      remaining.runMs += turn.runMs
      remaining.ms += turn.ms
      updateMean(means, computeBucket(turnsDone), remaining)
    }
  }

  function getOrCreateMeans (kind: types.KindId): Mean[] {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created: Mean[] = []
    kinds.set(kind, created)
    return created
  }

  function updateMean (means: Mean[], bucket: number, remaining: RemainingPrior): void {
    const mean = means[bucket] ?? { calls: 0, tokens: 0, runMs: 0, ms: 0, msDeviation: 0, samples: 0 }
    means[bucket] = mean
    mean.samples = Math.min(mean.samples + 1, 1 / settings.newestShare)
    const weight = 1 / mean.samples
    const deviation = Math.abs(remaining.ms - mean.ms)
    mean.msDeviation += mean.samples === 1 ? remaining.ms / 2 : weight * (deviation - mean.msDeviation)
    mean.calls += weight * (remaining.calls - mean.calls)
    mean.tokens += weight * (remaining.tokens - mean.tokens)
    mean.runMs += weight * (remaining.runMs - mean.runMs)
    mean.ms += weight * (remaining.ms - mean.ms)
  }

  function estimate (kind: types.KindId, turns: number): RemainingWork {
    const means = kinds.get(kind) ?? []
    for (let bucket = computeBucket(turns); bucket >= 0; bucket -= 1) {
      const mean = means[bucket]
      // A program with more turns than any observed one gets the estimate of the longest bucket.
      if (mean !== undefined) return { ...mean }
    }
    return { ...settings.prior, msDeviation: settings.prior.ms / 2, samples: 0 }
  }

  return { observe, estimate }
}

function computeBucket (turns: number): number {
  if (turns <= maxExactTurns) return turns
  return maxExactTurns + Math.ceil(Math.log2(turns / maxExactTurns))
}
