/** Learns, by kind and turns so far, what a program still has before it. */
import type * as types from '@eelgrasswind/types'

/** One finished call of a program, as the estimator sees it. */
export interface TurnWork {
  /** Prompt tokens that were not cached and generated tokens. */
  readonly tokens: number
  /** Time that the call ran, in milliseconds. */
  readonly runMs: number
  /** The same and the pause after it, without waiting in queues, in milliseconds. */
  readonly ms: number
}

/** What is expected of the rest of a program. */
export interface RemainingWork {
  readonly calls: number
  readonly tokens: number
  readonly runMs: number
  readonly ms: number
  /** Mean absolute deviation of `ms`. */
  readonly msDeviation: number
  /** Programs that the estimate rests on, recent ones counting most; 0 for the prior alone. */
  readonly samples: number
}

/** What is assumed of a kind of which nothing has been seen. */
export interface RemainingPrior {
  readonly calls: number
  readonly tokens: number
  readonly runMs: number
  readonly ms: number
}

export interface RemainingSettings {
  readonly prior: RemainingPrior
  /** Share that the newest program has in an estimate, 0 to 1. */
  readonly newestShare: number
}

export const defaultRemainingSettings: RemainingSettings = {
  prior: { calls: 4, tokens: 2_000, runMs: 8_000, ms: 20_000 },
  newestShare: 0.02
}

export interface RemainingEstimator {
  /** Learns from a program that ran to its end; its turns in order. */
  observe: (kind: types.KindId, turns: readonly TurnWork[]) => void
  /** What a program of this kind has before it after so many turns; 0 asks for the whole. */
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

/** Turn counts up to this one have a mean of their own; above it they share one for each doubling. */
const maxExactTurns = 16

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
      // A program beyond all that were seen is expected to go on like the longest of them.
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
