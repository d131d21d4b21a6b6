/** Learns how long an unheld prefix stays in an engine's cache, from the evictions that the engine reports. */

/** Tracks the age of evicted prefixes. Times are in milliseconds. */
export interface EvictionAgeTracker {
  /** Records that a prefix was evicted `ageMs` after its last use. */
  observe: (ageMs: number, now: number) => void
  /** Mean time until an unheld prefix is evicted; infinite while nothing is evicted. */
  getSurvivalMs: (now: number) => number
}

/** Weight of the newest eviction. */
const newestShare = 0.1
/** After this time without evictions the cache counts as large enough. */
const evictionIdleMs = 60_000

/** Creates a tracker without evictions. */
export function createEvictionAgeTracker (): EvictionAgeTracker {
  let meanMs = 0
  let lastEvictionAt = -Infinity

  function observe (ageMs: number, now: number): void {
    meanMs = now - lastEvictionAt > evictionIdleMs ? ageMs : meanMs + newestShare * (ageMs - meanMs)
    lastEvictionAt = now
  }

  return { observe, getSurvivalMs: (now) => now - lastEvictionAt > evictionIdleMs ? Infinity : meanMs }
}
