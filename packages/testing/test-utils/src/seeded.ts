/** Seeded random choices, so that a schedule can be run again. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Seeded {
  /** From 0 up to, but without, 1. */
  readonly uniform: () => number
  readonly chance: (probability: number) => boolean
  /** A whole number from least to most, both possible. */
  readonly whole: (least: number, most: number) => number
  readonly pick: <T>(all: readonly T[]) => T
}

/** Spreads seeds that lie close together. */
const seedStep = 0x9e3779b1

/** An independent stream for each pair of seed and index. */
export function createSeeded (seed: number, index = 0): Seeded {
  const generator = xoroshiro128plus((Math.imul(seed + 1, seedStep) ^ Math.imul(index + 1, 0x85ebca6b)) | 0)
  const uniform = (): number => uniformFloat64(generator)
  const whole = (least: number, most: number): number => least + Math.floor(uniform() * (most - least + 1))
  return {
    uniform,
    whole,
    chance: (probability) => uniform() < probability,
    pick: (all) => all[whole(0, all.length - 1)]!
  }
}
