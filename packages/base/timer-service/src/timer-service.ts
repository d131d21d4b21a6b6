/** What parts of the system may ask of time. All times are in milliseconds. */

export interface Subscription {
  /** Stops the timer; safe to call twice. */
  cancel: () => void
}

export interface TimerService {
  /** Wall time, milliseconds since the epoch. May jump; only for what is compared between processes. */
  now: () => number
  /** Time that never goes back, in milliseconds from an arbitrary start. */
  monotonic: () => number
  /** Calls once after a delay. */
  after: (delayMs: number, run: () => void) => Subscription
  /** Calls again and again, the first time after one period. */
  every: (periodMs: number, run: () => void) => Subscription
}

/** A promise that resolves after a delay. */
export function sleep (timers: TimerService, delayMs: number): Promise<void> {
  return new Promise((resolve) => { timers.after(delayMs, resolve) })
}

/** The result, or `undefined` where it takes longer than the time given, in ms. */
export async function withTimeout<T> (timers: TimerService, result: Promise<T>, limitMs: number): Promise<T | undefined> {
  let limit: Subscription | undefined
  const late = new Promise<undefined>((resolve) => { limit = timers.after(limitMs, () => { resolve(undefined) }) })
  try {
    return await Promise.race([result, late])
  } finally {
    limit?.cancel()
  }
}
