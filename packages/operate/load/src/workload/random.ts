/** Seeded random numbers, and the distributions that a workload draws from. */
import * as uniform from 'pure-rand/distribution/uniformFloat64'
import * as pureRand from 'pure-rand/generator/xoroshiro128plus'

/** A log-normal distribution, cut at a maximum. */
export interface Spread {
  readonly median: number
  /** Standard deviation of the logarithm; near 1 the tail is heavy. */
  readonly sigma: number
  readonly max: number
}

export interface Random {
  /** From 0 up to, but without, 1. */
  readonly uniform: () => number
  readonly chance: (probability: number) => boolean
  readonly exponential: (mean: number) => number
  readonly draw: (spread: Spread) => number
}

/** Odd, so that streams of neighbouring indexes begin far apart. */
const indexStep = 0x9e3779b1
/** Below 2^32, and prime. */
const seedStep = 0x85ebca6b

/** An independent stream for each pair of seed and index. */
export function createRandom (seed: number, index: number): Random {
  const generator = pureRand.xoroshiro128plus((Math.imul(seed, seedStep) + Math.imul(index + 1, indexStep)) | 0)
  const next = (): number => uniform.uniformFloat64(generator)
  const exponential = (mean: number): number => -mean * Math.log1p(-next())

  function draw (spread: Spread): number {
    // Box-Muller: the squared length of a pair of normal numbers is exponential with mean 2.
    const normal = Math.sqrt(exponential(2)) * Math.cos(2 * Math.PI * next())
    return Math.min(spread.max, spread.median * Math.exp(spread.sigma * normal))
  }

  return { uniform: next, chance: (probability) => next() < probability, exponential, draw }
}
