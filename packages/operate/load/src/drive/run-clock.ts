/** Time of one run, from its start, and pauses that end with it. */
import * as timerService from '@eelgrasswind/timer-service'

export interface RunClock {
  /** Start of the run, in milliseconds since the epoch. */
  readonly startedAt: number
  /** Milliseconds since the start of the run. */
  readonly now: () => number
  /** Resolves after so many milliseconds, or never where the clock is closed before. */
  readonly pause: (ms: number) => Promise<void>
  /** Calls back periodically until the clock is closed. */
  readonly every: (ms: number, run: () => void) => void
  readonly close: () => void
}

export function createRunClock (timers: timerService.TimerService = timerService.createRealTimers()): RunClock {
  const startedAt = timers.now()
  const origin = performance.now()
  const open = new Set<timerService.Subscription>()

  function pause (ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = timers.after(Math.max(0, ms), () => {
        open.delete(timer)
        resolve()
      })
      open.add(timer)
    })
  }

  function close (): void {
    for (const timer of open) timer.cancel()
    open.clear()
  }

  return { startedAt, now: () => performance.now() - origin, pause, every: (ms, run) => { open.add(timers.every(ms, run)) }, close }
}
