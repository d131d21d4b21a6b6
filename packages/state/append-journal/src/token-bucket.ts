/** Limits appends a second for the whole process; those who wait are served in the order of asking. */
import type * as timerService from '@eelgrasswind/timer-service'

const msPerSecond = 1000

export class TokenBucket {
  private tokens: number
  private filledAt: number
  private readonly waiters: (() => void)[] = []
  private timer: timerService.Subscription | undefined

  /** `burst` tokens may be used at once after a quiet time, so that a lone append goes at once. */
  constructor (private readonly timers: timerService.TimerService, private readonly perSecond: number, private readonly burst: number) {
    this.tokens = burst
    this.filledAt = timers.monotonic()
  }

  /** Calls back once there is a token, at once if there is one now. */
  take (run: () => void): void {
    this.waiters.push(run)
    this.serve()
  }

  close (): void {
    this.timer?.cancel()
    this.waiters.length = 0
  }

  private serve (): void {
    this.fill()
    while (this.tokens >= 1) {
      const run = this.waiters.shift()
      if (run === undefined) return
      this.tokens -= 1
      run()
    }
    if (this.waiters.length > 0) this.serveLater()
  }

  private fill (): void {
    const now = this.timers.monotonic()
    this.tokens = Math.min(this.burst, this.tokens + (now - this.filledAt) / msPerSecond * this.perSecond)
    this.filledAt = now
  }

  private serveLater (): void {
    if (this.timer !== undefined) return
    // Rounded up, so that the token is there when the timer runs.
    const waitMs = Math.max(1, Math.ceil((1 - this.tokens) / this.perSecond * msPerSecond))
    this.timer = this.timers.after(waitMs, () => {
      this.timer = undefined
      this.serve()
    })
  }
}
