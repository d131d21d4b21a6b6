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
const exactTurns = 16

export function createRemainingEstimator (settings: RemainingSettings = defaultRemainingSettings): RemainingEstimator {
  const kinds = new Map<types.KindId, Mean[]>()

  function observe (kind: types.KindId, turns: readonly TurnWork[]): void {
    const means = meansOf(kind)
    const rest = { calls: 0, tokens: 0, runMs: 0, ms: 0 }
    for (let done = turns.length - 1; done >= 0; done -= 1) {
      const turn = turns[done]!
      rest.calls += 1
      rest.tokens += turn.tokens
      rest.runMs += turn.runMs
      rest.ms += turn.ms
      learn(means, bucketOf(done), rest)
    }
  }

  function meansOf (kind: types.KindId): Mean[] {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created: Mean[] = []
    kinds.set(kind, created)
    return created
  }

  function learn (means: Mean[], bucket: number, rest: RemainingPrior): void {
    const mean = means[bucket] ?? { calls: 0, tokens: 0, runMs: 0, ms: 0, msDeviation: 0, samples: 0 }
    means[bucket] = mean
    mean.samples = Math.min(mean.samples + 1, 1 / settings.newestShare)
    const share = 1 / mean.samples
    const off = Math.abs(rest.ms - mean.ms)
    mean.msDeviation += mean.samples === 1 ? rest.ms / 2 : share * (off - mean.msDeviation)
    mean.calls += share * (rest.calls - mean.calls)
    mean.tokens += share * (rest.tokens - mean.tokens)
    mean.runMs += share * (rest.runMs - mean.runMs)
    mean.ms += share * (rest.ms - mean.ms)
  }

  function expect (kind: types.KindId, turns: number): RemainingWork {
    const means = kinds.get(kind) ?? []
    for (let bucket = bucketOf(turns); bucket >= 0; bucket -= 1) {
      const mean = means[bucket]
      // A program beyond all that were seen is expected to go on like the longest of them.
      if (mean !== undefined) return { ...mean }
    }
    return { ...settings.prior, msDeviation: settings.prior.ms / 2, samples: 0 }
  }

  return { observe, estimate: expect }
}

function bucketOf (turns: number): number {
  if (turns <= exactTurns) return turns
  return exactTurns + Math.ceil(Math.log2(turns / exactTurns))
}
