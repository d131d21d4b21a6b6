/** Exponential mean of the utilization (calls of admitted programs per slot) over the last minutes. */

/** An exponential mean. Times are in milliseconds. */
export interface MeanUtilization {
  /** Records the utilization since the last call; call it often compared with the decay time, such as with every load report. */
  observe: (utilization: number, now: number) => void
  mean: () => number
}

/** Time constant of the decay: after this time an old value counts about a third. */
export const meanUtilizationDecayMs = 120_000

/** Creates a mean that starts at 0; `now` and `decayMs` in milliseconds. */
export function createMeanUtilization (now: number, decayMs = meanUtilizationDecayMs): MeanUtilization {
  let mean = 0
  let lastObservedAt = now

  function observe (utilization: number, at: number): void {
    const weight = 1 - Math.exp(-Math.max(0, at - lastObservedAt) / decayMs)
    mean += weight * (utilization - mean)
    lastObservedAt = Math.max(lastObservedAt, at)
  }

  return { observe, mean: () => mean }
}
