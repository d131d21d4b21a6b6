/** The largest of recent values. */
import type * as timerService from '@eelgrasswind/timer-service'

/** Remembers each value for at least the given time, in ms, and at most three times as long. */
export class RecentMaximum {
  private current = -Infinity
  private previous = -Infinity
  private periodStartedAt: number

  constructor (private readonly periodMs: number, private readonly timers: Pick<timerService.TimerService, 'monotonic'>) {
    this.periodStartedAt = timers.monotonic()
  }

  /** Adds a value and returns the maximum. */
  update (value: number): number {
    const now = this.timers.monotonic()
    if (now - this.periodStartedAt >= this.periodMs) {
      this.previous = now - this.periodStartedAt < 2 * this.periodMs ? this.current : -Infinity
      this.current = -Infinity
      this.periodStartedAt = now
    }
    this.current = Math.max(this.current, value)
    return Math.max(this.previous, this.current)
  }
}
