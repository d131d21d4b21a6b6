/** Timers of the runtime. Periodic timers do not keep the process alive. */
import type * as timerService from './timer-service.js'

/** Creates timers on the clock of the process. */
export function createRealTimers (): timerService.TimerService {
  return {
    now: () => Date.now(),
    monotonic: () => performance.now(),
    after (delayMs, run) {
      const handle = setTimeout(run, delayMs)
      return { cancel: () => clearTimeout(handle) }
    },
    every (periodMs, run) {
      const handle = setInterval(run, periodMs)
      handle.unref()
      return { cancel: () => clearInterval(handle) }
    }
  }
}
