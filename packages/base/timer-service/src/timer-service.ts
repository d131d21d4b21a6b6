/** Interface of clock and timers. All times are in milliseconds. */

/** A running timer. */
export interface Subscription {
  /** Stops the timer; safe to call twice. */
  cancel: () => void
}

/** Clock and timers of a process. */
export interface TimerService {
  /** Wall-clock time, milliseconds since the epoch. May jump; use it only for times that processes compare. */
  now: () => number
  /** Monotonic time, in milliseconds from an arbitrary start. */
  monotonic: () => number
  /** Calls `run` once after a delay. */
  after: (delayMs: number, run: () => void) => Subscription
  /** Calls `run` periodically, the first time after one period. */
  every: (periodMs: number, run: () => void) => Subscription
}

/** Returns a promise that resolves after a delay. */
export function sleep (timers: TimerService, delayMs: number): Promise<void> {
  return new Promise((resolve) => { timers.after(delayMs, resolve) })
}

/** Resolves with the result, or with `undefined` if that takes longer than `limitMs` milliseconds. */
export async function withTimeout<T> (timers: TimerService, promise: Promise<T>, limitMs: number): Promise<T | undefined> {
  let timer: Subscription | undefined
  const timedOut = new Promise<undefined>((resolve) => { timer = timers.after(limitMs, () => { resolve(undefined) }) })
  try {
    return await Promise.race([promise, timedOut])
  } finally {
    timer?.cancel()
  }
}
