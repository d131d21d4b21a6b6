/** Timers that move only when told to, for tests and for comparing rules. */
import type * as timerService from './timer-service.js'

interface Pending {
  readonly due: number
  readonly order: number
  readonly run: () => void
  cancelled: boolean
}

export interface ManualTimers extends timerService.TimerService {
  /** Moves time forward and runs what falls due on the way, in order of due time. */
  advance: (ms: number) => void
  /** As advance, but lets pending promises settle after each timer. */
  advanceAsync: (ms: number) => Promise<void>
  /** Due time of the next timer, or undefined. */
  getNextDueMs: () => number | undefined
}

/** Lets promise callbacks that are already due run. */
async function settlePromises (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

export function createManualTimers (startMs = 1_000_000): ManualTimers {
  let time = startMs
  let order = 0
  const heap: Pending[] = []

  function before (a: Pending, b: Pending): boolean {
    return a.due < b.due || (a.due === b.due && a.order < b.order)
  }

  function push (item: Pending): void {
    let at = heap.push(item) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!before(heap[at]!, heap[parent]!)) return
      swap(at, parent)
      at = parent
    }
  }

  function pop (): Pending | undefined {
    const top = heap[0]
    const last = heap.pop()
    if (top === undefined || last === undefined || heap.length === 0) return top
    heap[0] = last
    sink()
    return top
  }

  function sink (): void {
    let at = 0
    for (;;) {
      const left = 2 * at + 1
      if (left >= heap.length) return
      const right = left + 1
      const child = right < heap.length && before(heap[right]!, heap[left]!) ? right : left
      if (!before(heap[child]!, heap[at]!)) return
      swap(at, child)
      at = child
    }
  }

  function swap (a: number, b: number): void {
    const held = heap[a]!
    heap[a] = heap[b]!
    heap[b] = held
  }

  function dropCancelled (): void {
    while (heap[0]?.cancelled === true) pop()
  }

  function takeDue (until: number): Pending | undefined {
    dropCancelled()
    const next = heap[0]
    if (next === undefined || next.due > until) return undefined
    pop()
    time = Math.max(time, next.due)
    return next
  }

  function after (delayMs: number, run: () => void): timerService.Subscription {
    const item: Pending = { due: time + Math.max(0, delayMs), order: order++, run, cancelled: false }
    push(item)
    return { cancel: () => { item.cancelled = true } }
  }

  function every (periodMs: number, run: () => void): timerService.Subscription {
    let current = after(periodMs, tick)
    let stopped = false
    function tick (): void {
      if (stopped) return
      current = after(periodMs, tick)
      run()
    }
    return { cancel: () => { stopped = true; current.cancel() } }
  }

  function advance (ms: number): void {
    const until = time + ms
    for (let item = takeDue(until); item !== undefined; item = takeDue(until)) item.run()
    time = until
  }

  async function advanceAsync (ms: number): Promise<void> {
    const until = time + ms
    await settlePromises()
    for (let item = takeDue(until); item !== undefined; item = takeDue(until)) {
      item.run()
      await settlePromises()
    }
    time = until
  }

  function nextDue (): number | undefined {
    dropCancelled()
    return heap[0]?.due
  }

  return { now: () => time, monotonic: () => time, after, every, advance, advanceAsync, getNextDueMs: nextDue }
}
