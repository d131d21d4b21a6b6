/** Token bucket that limits the appends per second of the whole process. Waiters get tokens in FIFO order. */
import type * as timerService from '@eelgrasswind/timer-service'

const msPerSecond = 1000

/** Hands out tokens at a steady rate. */
export class TokenBucket {
  private tokens: number
  private refilledAt: number
  private readonly waiters: (() => void)[] = []
  private timer: timerService.Subscription | undefined

  /** The bucket starts full and holds up to `burst` tokens, so that an append after an idle time does not wait. */
  constructor (private readonly timers: timerService.TimerService, private readonly perSecond: number, private readonly burst: number) {
    this.tokens = burst
    this.refilledAt = timers.monotonic()
  }

  /** Calls `onToken` when a token is available, synchronously if there is one now. */
  take (onToken: () => void): void {
    this.waiters.push(onToken)
    this.serveWaiters()
  }

  close (): void {
    this.timer?.cancel()
    this.waiters.length = 0
  }

  private serveWaiters (): void {
    this.refill()
    while (this.tokens >= 1) {
      const onToken = this.waiters.shift()
      if (onToken === undefined) return
      this.tokens -= 1
      onToken()
    }
    if (this.waiters.length > 0) this.scheduleServe()
  }

  private refill (): void {
    const now = this.timers.monotonic()
    this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAt) / msPerSecond * this.perSecond)
    this.refilledAt = now
  }

  private scheduleServe (): void {
    if (this.timer !== undefined) return
    // Rounded up, so that a token is available when the timer fires.
    const waitMs = Math.max(1, Math.ceil((1 - this.tokens) / this.perSecond * msPerSecond))
    this.timer = this.timers.after(waitMs, () => {
      this.timer = undefined
      this.serveWaiters()
    })
  }
}
