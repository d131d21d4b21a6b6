/** Mean over the last minutes of the calls for each slot that admitted programs run. */

export interface MeanUtilization {
  /** The use was so until now; call it often against the memory, such as with every load report. */
  observe: (use: number, now: number) => void
  mean: () => number
}

/** Time after which an old use counts about a third. */
export const meanUseMemoryMs = 120_000

export function createMeanUtilization (now: number, memoryMs = meanUseMemoryMs): MeanUtilization {
  let mean = 0
  let lastAt = now

  function observe (use: number, at: number): void {
    const part = 1 - Math.exp(-Math.max(0, at - lastAt) / memoryMs)
    mean += part * (use - mean)
    lastAt = Math.max(lastAt, at)
  }

  return { observe, mean: () => mean }
}
