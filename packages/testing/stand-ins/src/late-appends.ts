/** Appends whose first copy lands late, after the writer has given up on it. */
import type * as timerService from '@eelgrasswind/timer-service'

/** When a late append lands. */
export interface Lateness {
  /** After so many further appends to its stream. */
  readonly afterAppends?: number | undefined
  /** After so many milliseconds. */
  readonly delayMs?: number | undefined
}

export interface LateAppends {
  add: (stream: string, data: string, lateness: Lateness) => void
  /** Tells of an append to the stream. */
  appended: (stream: string) => void
  close: () => void
}

interface Pending {
  readonly stream: string
  readonly data: string
  appendsLeft: number
}

export function createLateAppends (timers: timerService.TimerService, store: (stream: string, data: string) => void): LateAppends {
  const delayed: timerService.Subscription[] = []
  let pending: Pending[] = []

  function add (stream: string, data: string, lateness: Lateness): void {
    if (lateness.afterAppends !== undefined) pending.push({ stream, data, appendsLeft: lateness.afterAppends })
    if (lateness.delayMs !== undefined) delayed.push(timers.after(lateness.delayMs, () => store(stream, data)))
  }

  function appended (stream: string): void {
    for (const one of pending) if (one.stream === stream) one.appendsLeft -= 1
    const due = pending.filter((one) => one.appendsLeft <= 0)
    pending = pending.filter((one) => one.appendsLeft > 0)
    for (const one of due) store(one.stream, one.data)
  }

  function close (): void {
    for (const one of delayed) one.cancel()
  }

  return { add, appended, close }
}
