/** Reports that readers get late and, where told so, with gaps. */
import type * as timerService from '@eelgrasswind/timer-service'

/** The latest value that is at least `lagMs` old. */
export interface LaggingValue<T> {
  set: (value: T) => void
  get: () => T
}

export function createLaggingValue<T> (timers: timerService.TimerService, lagMs: number, first: T): LaggingValue<T> {
  let samples = [{ at: timers.monotonic() - lagMs, value: first }]

  function prune (): void {
    const visible = timers.monotonic() - lagMs
    let at = 0
    while (at + 1 < samples.length && samples[at + 1]!.at <= visible) at += 1
    if (at > 0) samples = samples.slice(at)
  }

  function set (value: T): void {
    samples.push({ at: timers.monotonic(), value })
    prune()
  }

  function get (): T {
    prune()
    return samples[0]!.value
  }

  return { set, get }
}

export interface NumberedEvent<T> {
  readonly seq: number
  readonly event: T
}

/** Events numbered from 0; a reader sees them late, and some never. */
export interface EventFeed<T> {
  push: (event: T) => void
  from: (seq: number) => readonly NumberedEvent<T>[]
}

const maxEvents = 10_000

export function createEventFeed<T> (timers: timerService.TimerService, lagMs: number, lossEvery: number): EventFeed<T> {
  const events: (NumberedEvent<T> & { readonly at: number })[] = []
  let seq = 0

  function push (event: T): void {
    const lost = lossEvery > 0 && (seq + 1) % lossEvery === 0
    if (!lost) events.push({ seq, event, at: timers.monotonic() })
    seq += 1
    if (events.length > maxEvents) events.shift()
  }

  function from (first: number): readonly NumberedEvent<T>[] {
    const visible = timers.monotonic() - lagMs
    return events.filter((one) => one.seq >= first && one.at <= visible)
  }

  return { push, from }
}
