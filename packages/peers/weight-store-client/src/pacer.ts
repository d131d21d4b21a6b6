/** Spaces requests evenly to keep to a rate. */
import type * as timerService from '@eelgrasswind/timer-service'

/** Limits requests to a rate, without bursts. */
export interface Pacer {
  /** Resolves to true when the next request may be sent, or to false if the signal aborts first. */
  waitForSlot: (signal: AbortSignal) => Promise<boolean>
  setRate: (requestsPerSecond: number) => void
}

/** Resolves to true after a delay, or to false if the signal aborts first. */
export function delay (timers: timerService.TimerService, delayMs: number, signal: AbortSignal): Promise<boolean> {
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

/** Creates a pacer; the first request may be sent at once. */
export function createPacer (timers: timerService.TimerService, initialRequestsPerSecond: number): Pacer {
  let intervalMs = 1000 / initialRequestsPerSecond
  let nextSlotAtMs = timers.monotonic()

  async function waitForSlot (signal: AbortSignal): Promise<boolean> {
    const nowMs = timers.monotonic()
    const slotAtMs = Math.max(nowMs, nextSlotAtMs)
    nextSlotAtMs = slotAtMs + intervalMs
    return slotAtMs <= nowMs ? !signal.aborted : await delay(timers, slotAtMs - nowMs, signal)
  }

  return { waitForSlot, setRate: (requestsPerSecond) => { intervalMs = 1000 / requestsPerSecond } }
}
