/** Mean over the last minutes of the calls for each slot that admitted programs run. */

export interface MeanUtilization {
  /** The use was so until now; call it often against the memory, such as with every load report. */
  observe: (utilization: number, now: number) => void
  mean: () => number
}

/** Time after which an old use counts about a third. */
export const meanUtilizationDecayMs = 120_000

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
