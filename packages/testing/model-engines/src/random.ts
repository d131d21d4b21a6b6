/** Seeded random numbers and the distributions that the workloads draw from. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Random {
  /** From 0 up to, but without, 1. */
  uniform: () => number
  chance: (probability: number) => boolean
  exponential: (mean: number) => number
  /** `sigma` is the standard deviation of the logarithm; 1 is a heavy tail. */
  logNormal: (median: number, sigma: number) => number
}

/** Spreads seeds that lie close together. */
const seedStep = 0x9e3779b1

/** An independent stream of random numbers for each pair of seed and index. */
export function createRandom (seed: number, index = 0): Random {
  const generator = xoroshiro128plus((Math.imul(seed + 1, seedStep) ^ Math.imul(index + 1, 0x85ebca6b)) | 0)
  const uniform = (): number => uniformFloat64(generator)
  const exponential = (mean: number): number => -mean * Math.log(1 - uniform())

  function logNormal (median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - uniform()))
    const normal = radius * Math.cos(2 * Math.PI * uniform())
    return median * Math.exp(sigma * normal)
  }

  return { uniform, chance: (probability) => uniform() < probability, exponential, logNormal }
}
