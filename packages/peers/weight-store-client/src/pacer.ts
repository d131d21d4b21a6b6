/** Spaces requests evenly by a rate. */
import type * as timerService from '@eelgrasswind/timer-service'

export interface Pacer {
  /** Resolves when the next request may go: true, or false where the signal came first. */
  next: (signal: AbortSignal) => Promise<boolean>
  setRate: (perSecond: number) => void
}

/** Resolves after a delay: true, or false where the signal came first. */
export function wait (timers: timerService.TimerService, delayMs: number, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false)
  return new Promise((resolve) => {
    const timer = timers.after(delayMs, () => {
      signal.removeEventListener('abort', onAbort)
      resolve(true)
    })
    function onAbort (): void {
      timer.cancel()
      resolve(false)
    }
    signal.addEventListener('abort', onAbort, { once: true })
  })
}

export function createPacer (timers: timerService.TimerService, perSecond: number): Pacer {
  let intervalMs = 1000 / perSecond
  let nextAt = timers.monotonic()

  async function next (signal: AbortSignal): Promise<boolean> {
    const now = timers.monotonic()
    const at = Math.max(now, nextAt)
    nextAt = at + intervalMs
    return at <= now ? !signal.aborted : await wait(timers, at - now, signal)
  }

  return { next, setRate: (rate) => { intervalMs = 1000 / rate } }
}
