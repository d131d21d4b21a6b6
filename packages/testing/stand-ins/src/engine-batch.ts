/** Continuous batching: the sequences that run together slow one another down. */
import type * as timerService from '@eelgrasswind/timer-service'

export interface BatchSpeed {
  /** Milliseconds between tokens of a sequence that runs alone; 0 for no delay at all. */
  readonly tokenMs: number
  /** Added for each further sequence, as a share of tokenMs. */
  readonly batchSlowdown: number
  /** Prompt tokens computed in a second; null for no delay. */
  readonly prefillTokensPerSecond: number | null
  /** Sequences that run together. */
  readonly maxBatch: number
}

export interface Sequence {
  /** Lower runs first. */
  readonly priority: number
  readonly generate: number
  /** Takes memory and says how many prompt tokens are to be computed; undefined while there is no room. */
  readonly start: () => number | undefined
  readonly onToken: (index: number) => void
  readonly onEnd: () => void
  /** Multiplies the time of each of its steps. */
  readonly slowFactor: number
}

export interface Batch {
  add: (sequence: Sequence) => void
  /** Takes a sequence out, whether it runs or waits. */
  remove: (sequence: Sequence) => void
  running: () => number
  waiting: () => number
  close: () => void
}

interface Running {
  readonly sequence: Sequence
  prefillLeft: number
  produced: number
}

/** Prompt tokens computed in one step. */
const prefillChunkTokens = 2048

export function createBatch (timers: timerService.TimerService, speed: BatchSpeed): Batch {
  const waiting: Sequence[] = []
  let running: Running[] = []
  let timer: timerService.Subscription | null = null
  let due = 0
  let idle = true
  let stepping = false

  function add (sequence: Sequence): void {
    const at = waiting.findIndex((other) => other.priority > sequence.priority)
    waiting.splice(at < 0 ? waiting.length : at, 0, sequence)
    schedule()
  }

  function remove (sequence: Sequence): void {
    const at = waiting.indexOf(sequence)
    if (at >= 0) waiting.splice(at, 1)
    running = running.filter((one) => one.sequence !== sequence)
    schedule()
  }

  function admit (): void {
    while (waiting.length > 0 && running.length < speed.maxBatch) {
      const sequence = waiting[0]!
      const prefillLeft = sequence.start()
      if (prefillLeft === undefined) return
      waiting.shift()
      running.push({ sequence, prefillLeft, produced: 0 })
    }
  }

  /** Computes prompt tokens of those that lack them; gives how many. */
  function prefill (): number {
    let left = prefillChunkTokens
    for (const one of running) {
      const part = Math.min(left, one.prefillLeft)
      one.prefillLeft -= part
      left -= part
    }
    return prefillChunkTokens - left
  }

  function stepMs (decoding: readonly Running[], prefilled: number): number {
    const slowest = decoding.reduce((most, one) => Math.max(most, one.sequence.slowFactor), 1)
    const decodeMs = decoding.length === 0 ? 0 : speed.tokenMs * (1 + speed.batchSlowdown * (decoding.length - 1)) * slowest
    const prefillMs = speed.prefillTokensPerSecond === null ? 0 : prefilled / speed.prefillTokensPerSecond * 1000
    return decodeMs + prefillMs
  }

  function schedule (): void {
    if (timer !== null || stepping) return
    stepping = true
    while (timer === null) {
      admit()
      idle ||= running.length === 0
      if (running.length === 0) break
      const decoding = running.filter((one) => one.prefillLeft === 0)
      const durationMs = stepMs(decoding, prefill())
      if (durationMs === 0) produce(decoding)
      else wait(decoding, durationMs)
    }
    stepping = false
  }

  function wait (decoding: readonly Running[], durationMs: number): void {
    const now = timers.monotonic()
    // A late timer is made up for by a shorter next step; time without work is not.
    due = idle ? now + durationMs : Math.max(due, now - durationMs) + durationMs
    idle = false
    timer = timers.after(due - now, () => {
      timer = null
      stepping = true
      produce(decoding)
      stepping = false
      schedule()
    })
  }

  function produce (decoding: readonly Running[]): void {
    for (const one of decoding) {
      if (!running.includes(one)) continue
      one.sequence.onToken(one.produced)
      one.produced += 1
      if (one.produced < one.sequence.generate) continue
      running = running.filter((other) => other !== one)
      one.sequence.onEnd()
    }
  }

  function close (): void {
    timer?.cancel()
    waiting.length = 0
    running = []
  }

  return { add, remove, running: () => running.length, waiting: () => waiting.length, close }
}
