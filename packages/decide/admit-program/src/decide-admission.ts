/** Decides at the start of a program whether it is admitted. A started program is never refused later. */
import * as errors from '@eelgrasswind/errors'

/** The configured rule of admission control. */
export type AdmissionRule =
  | { readonly type: 'none' }
  /** Refuses while more than `waitingPerSlot` calls per slot are queued. */
  | { readonly type: 'queueBound', readonly waitingPerSlot: number }
  /**
   * Refuses a program whose likelihood of finishing in time is below `minLikelihood`, and any program while admitted
   * ones would run too many calls per slot. The limit is `peakUse` for a short time and `sustainedUse` after minutes of
   * utilization near that. It rises by `usePerDoubling` with each doubling of the program's value density (its weight
   * per second of expected run time) above the mean, and falls likewise below.
   */
  | { readonly type: 'inTime', readonly minLikelihood: number, readonly peakUse: number, readonly sustainedUse: number, readonly usePerDoubling: number }

/** Input of one decision; times in milliseconds. */
export interface AdmissionInput {
  readonly now: number
  readonly deadline: number
  /** Weight of the program's kind, above 0; 1 is ordinary. */
  readonly weight: number
  /** Calls that the live engines of the region run concurrently, from `computeUsableSlots`. */
  readonly slots: number
  /** Calls queued at these engines, as last reported. */
  readonly waiting: number
  /**
   * Calls that admitted programs are expected to run concurrently: the sum over them of expected remaining run time
   * divided by expected remaining time. Immediately known for programs of this process and late for others. A program
   * without calls for longer than `programIdleTimeoutMs` does not count: its caller is probably gone.
   */
  readonly demand: number
  /** Mean `demand` per slot over the last minutes, from `createMeanUtilization`. */
  readonly meanUtilization: number
  /** Expected total run time of the new program's calls. */
  readonly runMs: number
  /** Expected time from start to finish without queueing, pauses included. */
  readonly expectedMs: number
  /** Mean absolute deviation of `expectedMs`. */
  readonly expectedMsDeviation: number
  /** Mean of weight divided by `runMs` over the recently offered programs. */
  readonly meanValueDensity: number
  /** Time of recently finished calls, queueing included, as a multiple of their run time. */
  readonly slowdown: number
}

/** Why a program was admitted or refused. */
export type AdmissionReason =
  | { readonly type: 'rule' }
  | { readonly type: 'queue', readonly waiting: number, readonly most: number }
  /** Likelihood of finishing in time, and calls per slot with this program admitted (`use`) against the limit (`mostUse`). */
  | { readonly type: 'likelihood', readonly likelihood: number, readonly use: number, readonly mostUse: number }
  /** Too little time is left even on an idle system; a retry does not help. */
  | { readonly type: 'deadlineTooClose', readonly likelihood: number }

/** The decision; `retryAfterMs` is the time after which a retry is worthwhile. */
export type AdmissionDecision =
  | { readonly type: 'admit', readonly reason: AdmissionReason }
  | { readonly type: 'refuse', readonly retryAfterMs: number, readonly reason: AdmissionReason }

/** The `inTime` rule with its default settings. */
export const defaultAdmissionRule: AdmissionRule = { type: 'inTime', minLikelihood: 0.05, peakUse: 1, sustainedUse: 0.9, usePerDoubling: 0.1 }

/** Time without calls after which an admitted program does not count as demand until its next call. */
export const programIdleTimeoutMs = 30_000
/** Lower bound of the retry-after time. */
const minRetryAfterMs = 1_000
/** Share of the sustained use from which the limit is lowered. */
const sustainedThreshold = 0.8
/** Bound on the doublings of value density that change the limit. */
const maxDoublings = 2
/** Standard deviation of a normal distribution, as a multiple of its mean absolute deviation. */
const sigmaPerMeanDeviation = 1.25
/** Lower bound of the standard deviation, as a share of the mean. */
const minVariation = 0.1
/** Share of its spare time that a refused program is asked to wait. */
const spareTimeShare = 1 / 3
/** Upper bound of the retry-after time: the estimate does not extend further. */
const maxRetryAfterMs = 300_000

/** Decides by the rule whether a new program is admitted. */
export function decideAdmission (rule: AdmissionRule, input: AdmissionInput): AdmissionDecision {
  switch (rule.type) {
    case 'none': return { type: 'admit', reason: { type: 'rule' } }
    case 'queueBound': return applyQueueBound(rule, input)
    case 'inTime': return decideByLikelihood(rule, input)
    default: return errors.assertNever(rule)
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

/** Limit of calls per slot: falls from the peak to the sustained use as the mean utilization approaches the latter. */
function computeUseLimit (rule: Extract<AdmissionRule, { type: 'inTime' }>, input: AdmissionInput): number {
  const nearness = (input.meanUtilization / rule.sustainedUse - sustainedThreshold) / (1 - sustainedThreshold)
  const progress = Math.max(0, Math.min(1, nearness))
  return rule.peakUse - (rule.peakUse - rule.sustainedUse) * progress
}

/** Doublings of the program's value density relative to the mean, within bounds. */
function computeValueDoublings (input: AdmissionInput): number {
  const valueDensity = input.weight / Math.max(1, input.runMs)
  const doublings = Math.log2(valueDensity / input.meanValueDensity)
  return Math.max(-maxDoublings, Math.min(maxDoublings, doublings))
}

/** Likelihood that the program finishes in time if its calls take `slowdown` times their run time. */
function computeLikelihood (input: AdmissionInput, slowdown: number): number {
  const waitMs = (slowdown - 1) * input.runMs
  return computeLogNormalCdf(input.deadline - input.now - waitMs, input.expectedMs, input.expectedMsDeviation)
}

/**
 * Retry-after time of a refused program: until enough admitted programs are expected to end for this one to fit, or a
 * share of its spare time if that is longer, since the load may change within it.
 */
function computeRetryAfterMs (input: AdmissionInput, use: number, mostUse: number): number {
  const excess = Math.max(0, use - mostUse) / Math.max(use, Number.EPSILON)
  const spareMs = input.deadline - input.now - input.expectedMs
  return clampRetryAfter(Math.max(input.expectedMs * excess, spareMs * spareTimeShare))
}

function clampRetryAfter (ms: number): number {
  return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)))
}

/** Cumulative distribution function of a log-normal distribution; program times have a long tail. */
function computeLogNormalCdf (value: number, mean: number, meanDeviation: number): number {
  if (value <= 0) return 0
  const variation = sigmaPerMeanDeviation * meanDeviation / Math.max(1, mean)
  const sigma = Math.sqrt(Math.log(1 + Math.max(minVariation, variation) ** 2))
  const median = Math.max(1, mean) * Math.exp(-sigma * sigma / 2)
  return computeNormalCdf(Math.log(value / median) / sigma)
}

/** Cumulative distribution function of the standard normal distribution, approximated to within 0.01. */
function computeNormalCdf (x: number): number {
  const steepness = 1.702
  return 1 / (1 + Math.exp(-steepness * x))
}
