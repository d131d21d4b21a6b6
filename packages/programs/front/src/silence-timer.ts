/** A timeout that each piece of data starts again. */
import type * as timerService from '@eelgrasswind/timer-service'

/** Timers of the runtime may fire this much early by the monotonic clock, in ms. */
const earlyMs = 1

/** Calls back once the timeout has passed since the last restart. Later restarts only move the due time, as data arrives far more often than the timeout passes. */
export class SilenceTimer {
  private pending: { readonly subscription: timerService.Subscription, readonly firesAt: number } | undefined
  /** Monotonic ms. */
  private dueAt = Infinity
  private onSilence: (() => void) | undefined

  constructor (private readonly timers: timerService.TimerService) {}

  /** Starts the timeout, in ms, again. */
  restart (timeoutMs: number, onSilence: () => void): void {
    this.dueAt = this.timers.monotonic() + timeoutMs
    this.onSilence = onSilence
    if (this.pending === undefined || this.pending.firesAt > this.dueAt) this.schedule(timeoutMs)
  }

  cancel (): void {
    this.pending?.subscription.cancel()
    this.pending = undefined
    this.onSilence = undefined
  }

  private schedule (delayMs: number): void {
    this.pending?.subscription.cancel()
    this.pending = { subscription: this.timers.after(delayMs, () => { this.fire() }), firesAt: this.dueAt }
  }

  private fire (): void {
    const { onSilence } = this
    const leftMs = this.dueAt - this.timers.monotonic()
    if (leftMs > earlyMs) {
      this.schedule(leftMs)
      return
    }
    this.cancel()
    onSilence?.()
  }
}
