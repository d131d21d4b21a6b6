/** Decides, at the start of a program only, whether it is admitted. What was started is never refused later. */
import * as errors from '@eelgrasswind/errors'

export type AdmissionRule =
  | { readonly type: 'none' }
  /** Refuses while more calls wait for each slot than `waitingPerSlot`. */
  | { readonly type: 'queueBound', readonly waitingPerSlot: number }
  /**
   * Refuses a program whose likelihood of finishing in time is below `minLikelihood`, and any while admitted
   * programs would run too many calls for each slot: `peakUse` for a short time, `sustainedUse` when it has been
   * near that for minutes. `worthUse` more for each doubling of the program's worth (its weight for each second
   * that it is expected to run) above the usual one, and as much less below.
   */
  | { readonly type: 'inTime', readonly minLikelihood: number, readonly peakUse: number, readonly sustainedUse: number, readonly usePerDoubling: number }

/** What admission is decided from; times in milliseconds. */
export interface AdmissionInput {
  readonly now: number
  readonly deadline: number
  /** Weight of the program's kind, above 0; 1 is ordinary. */
  readonly weight: number
  /** Calls that the live engines of the region run at once, from `usableSlots`. */
  readonly slots: number
  /** Calls waiting there, as last reported. */
  readonly waiting: number
  /**
   * Calls that admitted programs are expected to run at once: the sum over them of expected run time divided by
   * expected time, both of what remains. Known at once for one's own programs and late for others'. A program that
   * has been silent for longer than `silentMs` does not count: its caller has probably gone away.
   */
  readonly demand: number
  /** `demand` for each slot, as a mean over the last minutes; from `createMeanUse`. */
  readonly meanUtilization: number
  /** Time that the new program's calls are expected to run. */
  readonly runMs: number
  /** Expected time from start to finish if nothing waits, pauses included. */
  readonly expectedMs: number
  /** Mean absolute deviation of the same. */
  readonly expectedMsDeviation: number
  /** Mean over the programs offered lately of weight divided by `runMs`. */
  readonly meanValueDensity: number
  /** Time that finished calls lately took, waiting included, as a multiple of the time that they ran. */
  readonly slowdown: number
}

export type AdmissionReason =
  | { readonly type: 'rule' }
  | { readonly type: 'queue', readonly waiting: number, readonly most: number }
  /** Likelihood of finishing in time, and calls for each slot that would run with this program admitted. */
  | { readonly type: 'likelihood', readonly likelihood: number, readonly use: number, readonly mostUse: number }
  /** Too little time is left even on an idle system; coming back does not help. */
  | { readonly type: 'deadlineTooClose', readonly likelihood: number }

export type AdmissionDecision =
  | { readonly type: 'admit', readonly reason: AdmissionReason }
  | { readonly type: 'refuse', readonly retryAfterMs: number, readonly reason: AdmissionReason }

export const defaultAdmissionRule: AdmissionRule = { type: 'inTime', minLikelihood: 0.05, peakUse: 1, sustainedUse: 0.9, usePerDoubling: 0.1 }

/** Silence after which an admitted program no longer counts as demand, until its next call. */
export const programIdleTimeoutMs = 30_000
/** Shortest time to come back that is worth naming. */
const minRetryAfterMs = 1_000
/** Part of the sustained use from which on the room shrinks. */
const sustainedThreshold = 0.8
/** Bounds what worth may do to a program's room. */
const maxDoublings = 2
/** Standard deviation of a normal distribution, in mean absolute deviations. */
const sigmaPerMeanDeviation = 1.25
/** Least standard deviation that is believed, as a part of the mean. */
const minVariation = 0.1
/** Part of its spare time that a refused program is asked to wait. */
const spareTimeShare = 1 / 3
/** Longest one: the estimate does not reach further. */
const maxRetryAfterMs = 300_000

export function decideAdmission (rule: AdmissionRule, input: AdmissionInput): AdmissionDecision {
  switch (rule.type) {
    case 'none': return { type: 'admit', reason: { type: 'rule' } }
    case 'queueBound': return applyQueueBound(rule, input)
    case 'inTime': return decideByLikelihood(rule, input)
    default: return errors.unreachable(rule)
  }
}

function applyQueueBound (rule: Extract<AdmissionRule, { type: 'queueBound' }>, input: AdmissionInput): AdmissionDecision {
  const most = rule.waitingPerSlot * input.slots
  const reason: AdmissionReason = { type: 'queue', waiting: input.waiting, most }
  if (input.waiting <= most) return { type: 'admit', reason }
  const retryAfterMs = clampRetryAfter((input.waiting - most) / Math.max(1, input.slots) * input.runMs)
  return { type: 'refuse', retryAfterMs, reason }
}

function decideByLikelihood (rule: Extract<AdmissionRule, { type: 'inTime' }>, input: AdmissionInput): AdmissionDecision {
  const idleLikelihood = computeLikelihood(input, 1)
  if (idleLikelihood < rule.minLikelihood) {
    const retryAfterMs = clampRetryAfter(input.deadline - input.now)
    return { type: 'refuse', retryAfterMs, reason: { type: 'deadlineTooClose', likelihood: idleLikelihood } }
  }
  const likelihood = computeLikelihood(input, Math.max(1, input.slowdown))
  const use = (input.demand + input.runMs / Math.max(1, input.expectedMs)) / Math.max(1, input.slots)
  const mostUse = computeUseLimit(rule, input) + rule.usePerDoubling * computeValueDoublings(input)
  const reason: AdmissionReason = { type: 'likelihood', likelihood, use, mostUse }
  if (likelihood >= rule.minLikelihood && use <= mostUse) return { type: 'admit', reason }
  return { type: 'refuse', retryAfterMs: computeRetryAfterMs(input, use, mostUse), reason }
}

/** Calls for each slot that may run: falls from the peak to the sustained figure as the mean approaches the latter. */
function computeUseLimit (rule: Extract<AdmissionRule, { type: 'inTime' }>, input: AdmissionInput): number {
  const nearness = (input.meanUtilization / rule.sustainedUse - sustainedThreshold) / (1 - sustainedThreshold)
  const progress = Math.max(0, Math.min(1, nearness))
  return rule.peakUse - (rule.peakUse - rule.sustainedUse) * progress
}

/** Doublings of the usual worth, within bounds. */
function computeValueDoublings (input: AdmissionInput): number {
  const valueDensity = input.weight / Math.max(1, input.runMs)
  const doublings = Math.log2(valueDensity / input.meanValueDensity)
  return Math.max(-maxDoublings, Math.min(maxDoublings, doublings))
}

/** Likelihood that the program finishes in time when its calls take `stretch` times as long as they run. */
function computeLikelihood (input: AdmissionInput, slowdown: number): number {
  const waitMs = (slowdown - 1) * input.runMs
  return computeLogNormalCdf(input.deadline - input.now - waitMs, input.expectedMs, input.expectedMsDeviation)
}

/**
 * When another try is worth it: when so many admitted programs have ended that this one would fit, or else after a
 * part of the time that it can spare, in which the load may have changed.
 */
function computeRetryAfterMs (input: AdmissionInput, use: number, mostUse: number): number {
  const excess = Math.max(0, use - mostUse) / Math.max(use, Number.EPSILON)
  const spareMs = input.deadline - input.now - input.expectedMs
  return clampRetryAfter(Math.max(input.expectedMs * excess, spareMs * spareTimeShare))
}

function clampRetryAfter (ms: number): number {
  return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)))
}

/** Share of a log-normal distribution below a value; program times have a long tail. */
function computeLogNormalCdf (value: number, mean: number, meanDeviation: number): number {
  if (value <= 0) return 0
  const variation = sigmaPerMeanDeviation * meanDeviation / Math.max(1, mean)
  const sigma = Math.sqrt(Math.log(1 + Math.max(minVariation, variation) ** 2))
  const median = Math.max(1, mean) * Math.exp(-sigma * sigma / 2)
  return computeNormalCdf(Math.log(value / median) / sigma)
}

/** Share of the normal distribution below a value in standard deviations, within 0.01. */
function computeNormalCdf (x: number): number {
  const steepness = 1.702
  return 1 / (1 + Math.exp(-steepness * x))
}
