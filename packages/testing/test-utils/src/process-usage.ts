/** Memory and descriptors of another process, as Linux reports them. */
import * as fs from 'node:fs'

/** Largest resident memory since the start of the process, in MB. */
export function readPeakMemoryMb (pid: number): number {
  const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))!
  return Number(kilobytes) / 1_024
}

/** Number of descriptors that the process has open. */
export function countDescriptors (pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length
}

const sampleIntervalMs = 20

/** Samples the number of open descriptors until `stop`, which returns the largest. */
export function watchDescriptors (pid: number): { readonly stop: () => number } {
  let most = countDescriptors(pid)
  const timer = setInterval(() => {
    try {
      most = Math.max(most, countDescriptors(pid))
    } catch {
      // The process has ended, which its test notices.
      clearInterval(timer)
    }
  }, sampleIntervalMs)
  return {
    stop () {
      clearInterval(timer)
      return most
    }
  }
}
