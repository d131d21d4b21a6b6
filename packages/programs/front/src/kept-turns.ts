/** Bounds the memory of the turns that a process keeps for later ones. */

/** Share of the memory of a process that kept turns may take before it takes no new programs; those that run go on, and a takeover adds what others kept. */
const keptShare = 1 / 4
/** Memory of a process that was not told it, in MB. */
const defaultMemoryMb = 256
const bytesPerMb = 1_000_000

/** Retry-after, in ms: the oldest turns expire all the time, and another host may take over shards. */
export const turnsFullRetryMs = 1_000

/** Memory that kept turns may take, in bytes. `memoryMb`: memory of the process, in MB; `undefined` if it is not known. */
export function computeMaxKeptBytes (memoryMb: number | undefined): number {
  return Math.floor((memoryMb ?? defaultMemoryMb) * bytesPerMb * keptShare)
}
