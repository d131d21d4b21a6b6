/** Pauses of a stand-in, which end with it. */
import type * as timerService from '@eelgrasswind/timer-service'

export interface Pauses {
  /** Resolves after the delay, or never where the stand-in is closed before. */
  pause: (delayMs: number) => Promise<void>
  close: () => void
}

export function createPauses (timers: timerService.TimerService): Pauses {
  const open = new Set<timerService.Subscription>()

  function pause (delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = timers.after(delayMs, () => {
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

  return { pause, close }
}
