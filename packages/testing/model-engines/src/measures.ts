/** What a run is judged by. */
import * as hdr from 'hdr-histogram-js'
import type * as workload from './workload.js'

export type ProgramEnd = 'inTime' | 'late' | 'expired' | 'refused' | 'abandoned' | 'looped'

/** How one program ended. */
export interface ProgramResult {
  readonly script: workload.Script
  readonly end: ProgramEnd
  /** From being offered first to the end, in milliseconds. */
  readonly latencyMs: number
  /** Tries to start it. */
  readonly tries: number
}

export interface Percentiles {
  readonly p50: number
  readonly p95: number
  readonly p99: number
}

/** Measures of the programs offered in one span of a run. */
export interface SpanMeasures {
  /** Programs that are judged: all but those that loop or whose caller goes away. */
  readonly programs: number
  /** Latency of admitted programs in milliseconds; an expired one counts with its whole wall-time budget. */
  readonly latencyMs: Percentiles
  /** Weight of the programs in time, of the weight of all offered ones; a refused one is not in time. */
  readonly inTimeShare: number
  /** The same, of the admitted ones alone. */
  readonly admittedInTimeShare: number
  /** Share of offered programs that were refused for good. */
  readonly refusedShare: number
}

export interface RunMeasures extends SpanMeasures {
  /** Prefix tokens computed again, and token-seconds held for programs that never returned, for each judged program. */
  readonly recomputedTokens: number
  readonly heldTokenSeconds: number
  readonly waste: number
  /** Attempts for each first attempt. */
  readonly attemptFactor: number
  /** Of the programs that were refused once and came back: the share that was admitted, and in time. */
  readonly secondTries: number
  readonly secondTryAdmitted: number
  readonly secondTryInTime: number
  /** Longest time that a call waited in a queue, in milliseconds. */
  readonly longestWaitMs: number
}

const windowMs = 10_000

/** Gathers what happens in a run. */
export class Recorder {
  readonly results: ProgramResult[] = []
  recomputedTokens = 0
  heldTokenSeconds = 0
  firstAttempts = 0
  attempts = 0
  longestWaitMs = 0
  /** Sum and number of call stretches, by window. */
  readonly #stretches: { sum: number, calls: number }[] = []

  /** A call ended; `stretch` is its time, waiting included, as a multiple of its time alone. */
  callEnded (at: number, stretch: number, waitedMs: number): void {
    const window = Math.floor(at / windowMs)
    const seen = this.#stretches[window] ?? { sum: 0, calls: 0 }
    this.#stretches[window] = seen
    seen.sum += stretch
    seen.calls += 1
    this.longestWaitMs = Math.max(this.longestWaitMs, waitedMs)
  }

  /** Mean stretch of the calls that ended in a span. */
  stretchBetween (fromMs: number, toMs: number): number {
    let sum = 0
    let calls = 0
    for (let window = Math.ceil(fromMs / windowMs); (window + 1) * windowMs <= toMs; window += 1) {
      const seen = this.#stretches[window]
      sum += seen?.sum ?? 0
      calls += seen?.calls ?? 0
    }
    return calls === 0 ? 1 : sum / calls
  }

  /**
   * Time from a fault until calls take, for three windows in a row, no more than a quarter longer than before it;
   * undefined if they never do.
   */
  recoveryMs (faultAt: number, untilMs: number): number | undefined {
    const windowsInRow = 3
    const usual = this.stretchBetween(faultAt - 120_000, faultAt)
    for (let from = faultAt; from + windowsInRow * windowMs <= untilMs; from += windowMs) {
      const calm = Array.from({ length: windowsInRow }, (_, at) => this.stretchBetween(from + at * windowMs, from + (at + 1) * windowMs))
      if (calm.every((stretch) => stretch <= 1.25 * usual)) return from - faultAt
    }
    return undefined
  }

  measures (fromMs: number, toMs: number): RunMeasures {
    const span = this.spanMeasures(fromMs, toMs)
    const programs = Math.max(1, this.#judged(0, Infinity).length)
    const second = this.#judged(fromMs, toMs).filter((result) => result.tries > 1)
    const admitted = second.filter((result) => result.end !== 'refused')
    return {
      ...span,
      recomputedTokens: this.recomputedTokens / programs,
      heldTokenSeconds: this.heldTokenSeconds / programs,
      waste: (this.recomputedTokens + this.heldTokenSeconds) / programs,
      attemptFactor: this.attempts / Math.max(1, this.firstAttempts),
      secondTries: second.length,
      secondTryAdmitted: second.length === 0 ? 0 : admitted.length / second.length,
      secondTryInTime: second.length === 0 ? 0 : admitted.filter((result) => result.end === 'inTime').length / second.length,
      longestWaitMs: this.longestWaitMs
    }
  }

  /** Measures of the programs offered in a span. */
  spanMeasures (fromMs: number, toMs: number): SpanMeasures {
    const judged = this.#judged(fromMs, toMs)
    const admitted = judged.filter((result) => result.end !== 'refused')
    const inTime = weightOf(judged.filter((result) => result.end === 'inTime'))
    return {
      programs: judged.length,
      latencyMs: percentilesOf(admitted.map((result) => result.latencyMs)),
      inTimeShare: share(inTime, weightOf(judged)),
      admittedInTimeShare: share(inTime, weightOf(admitted)),
      refusedShare: share(judged.length - admitted.length, judged.length)
    }
  }

  #judged (fromMs: number, toMs: number): ProgramResult[] {
    return this.results.filter(({ script }) => script.fate === 'finishes' && script.offeredAt >= fromMs && script.offeredAt < toMs)
  }
}

function share (part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole
}

function weightOf (results: readonly ProgramResult[]): number {
  return results.reduce((sum, { script }) => sum + script.profile.weight, 0)
}

function percentilesOf (values: readonly number[]): Percentiles {
  const histogram = hdr.build({ highestTrackableValue: 24 * 3_600_000, numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(Math.round(value))
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99)
  }
}
