/** A rate limit by token bucket. */
import type * as timerService from '@eelgrasswind/timer-service'

export interface TokenBucket {
  /** Takes one token: 0 when it was there, otherwise the milliseconds until the next one. */
  take: () => number
}

/** Seconds of the rate that may come at once. */
const burstSeconds = 0.1

export function createTokenBucket (timers: timerService.TimerService, perSecond: number): TokenBucket {
  const capacity = Math.max(1, perSecond * burstSeconds)
  let tokens = capacity
  let last = timers.monotonic()

  function take (): number {
    const now = timers.monotonic()
    tokens = Math.min(capacity, tokens + (now - last) / 1000 * perSecond)
    last = now
    if (tokens < 1) return Math.ceil((1 - tokens) / perSecond * 1000)
    tokens -= 1
    return 0
  }

  return { take }
}
