/** Memory and processor time of one piece of work in this process. */
import * as process from 'node:process'

/** Collects garbage; the process must run with --expose-gc. */
export function collectGarbage (): void {
  if (globalThis.gc === undefined) throw new Error('run node with --expose-gc')
  globalThis.gc()
  globalThis.gc()
}

function heldBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Bytes of heap and buffers that the result of a piece of work holds. */
export function bytesHeld<T> (build: () => T): { readonly bytes: number, readonly held: T } {
  const before = heldBytes()
  const held = build()
  const bytes = heldBytes() - before
  return { bytes, held }
}

/** As bytesHeld, for work that ends later. */
export async function bytesHeldAsync<T> (build: () => Promise<T>): Promise<{ readonly bytes: number, readonly held: T }> {
  const before = heldBytes()
  const held = await build()
  const bytes = heldBytes() - before
  return { bytes, held }
}

/** Resident memory of the process in bytes, after a collection. */
export function residentBytes (): number {
  collectGarbage()
  return process.memoryUsage.rss()
}

/** Least processor time of one measurement in microseconds, against the coarseness of its clock. */
const leastCpuUs = 50_000

function usedUs (since: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(since)
  return user + system
}

/** Processor time of one run in microseconds, all threads of the process together; repeats the run until that is enough to measure. */
export function cpuUs (run: () => void): number {
  run()
  const since = process.cpuUsage()
  let runs = 0
  while (usedUs(since) < leastCpuUs) {
    run()
    runs += 1
  }
  return usedUs(since) / runs
}

/** As cpuUs, for runs that end later. */
export async function cpuUsAsync (run: () => Promise<void>): Promise<number> {
  await run()
  const since = process.cpuUsage()
  let runs = 0
  while (usedUs(since) < leastCpuUs) {
    await run()
    runs += 1
  }
  return usedUs(since) / runs
}
