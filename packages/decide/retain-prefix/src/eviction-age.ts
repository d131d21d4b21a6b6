/** Learns how long an unheld prefix survives in an engine's cache, from the evictions that it reports. */

export interface EvictionAgeTracker {
  /** A prefix was evicted so long after its last use. */
  observe: (ageMs: number, now: number) => void
  /** Time that an unheld prefix survives; infinite while nothing is being evicted. */
  getSurvivalMs: (now: number) => number
}

/** Weight of the newest eviction. */
const newestShare = 0.1
/** Without evictions for so long, the cache counts as large enough. */
const evictionIdleMs = 60_000

export function createEvictionAgeTracker (): EvictionAgeTracker {
  let meanMs = 0
  let lastEvictionAt = -Infinity

  function observe (ageMs: number, now: number): void {
    meanMs = now - lastEvictionAt > evictionIdleMs ? ageMs : meanMs + newestShare * (ageMs - meanMs)
    lastEvictionAt = now
  }

  return { observe, getSurvivalMs: (now) => now - lastEvictionAt > evictionIdleMs ? Infinity : meanMs }
}
