/** Decides when the heap is near its limit, at which Node.js ends the process without a log line. */

/** Old generation of the heap of this process, in bytes; buffers lie outside the heap. */
export interface HeapUse {
  readonly usedBytes: number
  /** As `--max-old-space-size` sets it. */
  readonly limitBytes: number
}

/** Share of the limit from which on the heap is near it. */
const nearShare = 0.85
/** Share below which it is no longer: the garbage collector lowers the use many times in a row. */
const clearShare = 0.7

/** Returns whether the heap is near its limit, given whether it was at the last look. */
export function isNearLimit (wasNear: boolean, { usedBytes, limitBytes }: HeapUse): boolean {
  return usedBytes >= limitBytes * (wasNear ? clearShare : nearShare)
}
