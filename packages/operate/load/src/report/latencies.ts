/** Percentiles of durations, by a histogram. */
import * as hdr from 'hdr-histogram-js'

/** Durations in milliseconds; null where there are none. */
export interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/** The histogram holds whole microseconds. */
const microsPerMs = 1000
const significantDigits = 3

export function summarize (durationsMs: readonly number[]): LatencySummary | null {
  if (durationsMs.length === 0) return null
  const histogram = hdr.build({ numberOfSignificantValueDigits: significantDigits })
  for (const ms of durationsMs) histogram.recordValue(Math.max(0, Math.round(ms * microsPerMs)))
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsPerMs
  return { count: durationsMs.length, p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / microsPerMs }
}
