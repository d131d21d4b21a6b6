/** Timers whose time moves only by calls of `advance`, for tests and simulations. */
import type * as timerService from './timer-service.js'

interface PendingTimer {
  readonly dueMs: number
  readonly insertionOrder: number
  readonly run: () => void
  isCancelled: boolean
}

/** A timer service whose time is moved by the test. */
export interface ManualTimers extends timerService.TimerService {
  /** Advances the time by `ms` milliseconds and runs the timers that become due, in order of due time. */
  advance: (ms: number) => void
  /** Like `advance`, but lets pending promises settle after each timer. */
  advanceAsync: (ms: number) => Promise<void>
  /** Due time of the next timer in milliseconds, or undefined. */
  getNextDueMs: () => number | undefined
}

/** Runs the promise callbacks that are already queued. */
async function settlePromises (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

/** Creates manual timers that start at `startMs`; wall-clock and monotonic time are the same. */
export function createManualTimers (startMs = 1_000_000): ManualTimers {
  let currentMs = startMs
  let nextOrder = 0
  const heap: PendingTimer[] = []

  function isBefore (a: PendingTimer, b: PendingTimer): boolean {
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.insertionOrder < b.insertionOrder)
  }

  function push (item: PendingTimer): void {
    let at = heap.push(item) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isBefore(heap[at]!, heap[parent]!)) return
      swap(at, parent)
      at = parent
    }
  }

  function pop (): PendingTimer | undefined {
    const top = heap[0]
    const last = heap.pop()
    if (top === undefined || last === undefined || heap.length === 0) return top
    heap[0] = last
    siftDown()
    return top
  }

  function siftDown (): void {
    let at = 0
    for (;;) {
      const left = 2 * at + 1
      if (left >= heap.length) return
      const right = left + 1
      const child = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left
      if (!isBefore(heap[child]!, heap[at]!)) return
      swap(at, child)
      at = child
    }
  }

  function swap (a: number, b: number): void {
    const swapped = heap[a]!
    heap[a] = heap[b]!
    heap[b] = swapped
  }

  function dropCancelled (): void {
    while (heap[0]?.isCancelled === true) pop()
  }

  function takeDue (untilMs: number): PendingTimer | undefined {
    dropCancelled()
    const next = heap[0]
    if (next === undefined || next.dueMs > untilMs) return undefined
    pop()
    currentMs = Math.max(currentMs, next.dueMs)
    return next
  }

  function after (delayMs: number, run: () => void): timerService.Subscription {
    const item: PendingTimer = { dueMs: currentMs + Math.max(0, delayMs), insertionOrder: nextOrder++, run, isCancelled: false }
    push(item)
    return { cancel: () => { item.isCancelled = true } }
  }

  function every (periodMs: number, run: () => void): timerService.Subscription {
    let currentTimer = after(periodMs, runPeriod)
    let isStopped = false
    function runPeriod (): void {
      if (isStopped) return
      currentTimer = after(periodMs, runPeriod)
      run()
    }
    return { cancel: () => { isStopped = true; currentTimer.cancel() } }
  }

  function advance (ms: number): void {
    const untilMs = currentMs + ms
    for (let item = takeDue(untilMs); item !== undefined; item = takeDue(untilMs)) item.run()
    currentMs = untilMs
  }

  async function advanceAsync (ms: number): Promise<void> {
    const untilMs = currentMs + ms
    await settlePromises()
    for (let item = takeDue(untilMs); item !== undefined; item = takeDue(untilMs)) {
      item.run()
      await settlePromises()
    }
    currentMs = untilMs
  }

  function getNextDueMs (): number | undefined {
    dropCancelled()
    return heap[0]?.dueMs
  }

  return { now: () => currentMs, monotonic: () => currentMs, after, every, advance, advanceAsync, getNextDueMs }
}
