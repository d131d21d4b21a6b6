/** Random numbers and windows for tests of account limits. */
import type * as meterAccount from '@eelgrasswind/meter-account'

/** Length of the window in which a limit is judged, in ms, and the part and the number of requests by which it may be exceeded. */
const windowMs = 5_000
const overshoot = 0.1
export const slack = 20

/** The part of a limit that a test chooses. */
export type Limit = Pick<meterAccount.MeterLimit, 'requestsPerSecond' | 'burst'>

/** Seeded random numbers, uniform in [0, 1). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** The most requests admitted in any window, as a fraction of the number that is allowed. */
export function computeMaxWindowLoad (sentAt: readonly number[], { requestsPerSecond, burst }: Limit): number {
  const allowed = (requestsPerSecond * windowMs / 1_000 + burst) * (1 + overshoot) + slack
  let from = 0
  let most = 0
  sentAt.forEach((at, to) => {
    while (at - sentAt[from]! > windowMs) from += 1
    most = Math.max(most, to - from + 1)
  })
  return most / allowed
}

/** Parses a range of seeds, FIRST-LAST; `undefined` without one. */
export function parseSeeds (text: string | undefined): number[] | undefined {
  const match = /^(\d+)-(\d+)$/.exec(text ?? '')
  if (match === null) return undefined
  const first = Number(match[1])
  return Array.from({ length: Number(match[2]) - first + 1 }, (_, index) => first + index)
}
