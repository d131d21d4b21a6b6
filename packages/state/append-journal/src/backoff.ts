/** Exponential backoff between attempts to reach the log. */
const initialDelayMs = 20
const maxDelayMs = 1000

/**
 * Computes the delay before the next attempt, in milliseconds. It doubles with each attempt, counted from 0, up to a
 * limit, and is jittered between half of that value and the whole. `random` returns a number from 0 to 1.
 */
export function computeBackoffMs (attempt: number, random: () => number): number {
  const fullDelayMs = Math.min(maxDelayMs, initialDelayMs * 2 ** attempt)
  return fullDelayMs / 2 + fullDelayMs / 2 * random()
}
