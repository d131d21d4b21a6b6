/** Estimates how many calls an engine runs concurrently: long prompts fill its cache memory before its batch is full. */

/** Capacity of an engine and the mean size of its calls. */
export interface EngineCapacity {
  /** Maximum number of streams in a batch. */
  readonly slots: number
  /** Capacity of the cache memory in tokens, for running calls and cached prefixes together. */
  readonly cacheTokens: number
  /** Mean of prompt and output tokens over running calls, weighted by their run time. */
  readonly meanCallTokens: number
}

/** Share of the memory for running calls; the rest is left for the cached prefixes of paused programs. */
const runningCallShare = 0.6

/** Number of calls that the engine can run concurrently, at most `slots`; may be a fraction. */
export function computeUsableSlots (capacity: EngineCapacity): number {
  return Math.min(capacity.slots, runningCallShare * capacity.cacheTokens / Math.max(1, capacity.meanCallTokens))
}
