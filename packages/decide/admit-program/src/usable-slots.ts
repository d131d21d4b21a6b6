/** How many calls an engine really runs at once: long prompts fill its memory before its batch is full. */

export interface EngineCapacity {
  /** Streams of a batch. */
  readonly slots: number
  /** Tokens that the engine's memory holds, for running calls and cached prefixes together. */
  readonly cacheTokens: number
  /** Mean of prompt and answer tokens over running calls, long ones counting for longer. */
  readonly meanCallTokens: number
}

/** Part of the memory for running calls; the rest is left for the prefixes of programs that pause. */
const runningCallShare = 0.6

export function computeUsableSlots (capacity: EngineCapacity): number {
  return Math.min(capacity.slots, runningCallShare * capacity.cacheTokens / Math.max(1, capacity.meanCallTokens))
}
