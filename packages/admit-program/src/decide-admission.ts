/** Decides, at the start of a program only, whether it is admitted. What was started is never refused later. */
import * as errors from '@eelgrasswind/errors'

export type AdmissionRule =
  | { readonly type: 'none' }
  /** Refuses while more calls wait for each slot than `waitingPerSlot`. */
  | { readonly type: 'queueBound', readonly waitingPerSlot: number }
  /** Refuses a program whose likelihood of finishing in time is below `minLikelihood`, divided by its weight. */
  | { readonly type: 'inTime', readonly minLikelihood: number, readonly maxUse: number }

/** What admission is decided from; times in milliseconds. */
export interface AdmissionInput {
  readonly now: number
  readonly deadline: number
  /** Weight of the program's kind, above 0; 1 is ordinary. */
  readonly weight: number
  /** Calls that the engine of the program's home runs at once at full speed. */
  readonly slots: number
  /** Calls waiting there. */
  readonly waiting: number
  /** Slot time that programs admitted there still need, all together: their expected remaining call time. */
  readonly admittedWorkMs: number
  /** Slot time that the new program is expected to need. */
  readonly workMs: number
  /** Expected time from start to finish if nothing waits, pauses included. */
  readonly expectedMs: number
  /** Mean absolute deviation of the same. */
  readonly expectedMsDeviation: number
  /** Time that finished calls lately took, waiting included, as a multiple of the time they would have run alone. */
  readonly stretch: number
}

export type AdmissionReason =
  | { readonly type: 'rule' }
  | { readonly type: 'queue', readonly waiting: number, readonly most: number }
  | { readonly type: 'likelihood', readonly likelihood: number, readonly least: number, readonly use: number }
  /** Too little time is left even on an idle system; coming back does not help. */
  | { readonly type: 'deadlineTooClose', readonly likelihood: number }

export type AdmissionDecision =
  | { readonly type: 'admit', readonly reason: AdmissionReason }
  | { readonly type: 'refuse', readonly retryAfterMs: number, readonly reason: AdmissionReason }

export const defaultAdmissionRule: AdmissionRule = { type: 'inTime', minLikelihood: 0.6, maxUse: 1 }

/** Shortest time to come back that is worth naming. */
const shortestRetryAfterMs = 1_000
/** Longest one: the estimate does not reach further. */
const longestRetryAfterMs = 300_000

export function decideAdmission (rule: AdmissionRule, input: AdmissionInput): AdmissionDecision {
  switch (rule.type) {
    case 'none': return { type: 'admit', reason: { type: 'rule' } }
    case 'queueBound': return boundQueue(rule, input)
    case 'inTime': return weighLikelihood(rule, input)
    default: return errors.unreachable(rule)
  }
}

function boundQueue (rule: Extract<AdmissionRule, { type: 'queueBound' }>, input: AdmissionInput): AdmissionDecision {
  const most = rule.waitingPerSlot * input.slots
  const reason: AdmissionReason = { type: 'queue', waiting: input.waiting, most }
  if (input.waiting <= most) return { type: 'admit', reason }
  return { type: 'refuse', retryAfterMs: drainMs(input.admittedWorkMs / 2, input.slots), reason }
}

function weighLikelihood (rule: Extract<AdmissionRule, { type: 'inTime' }>, input: AdmissionInput): AdmissionDecision {
  const least = rule.minLikelihood / Math.max(1, input.weight)
  const alone = likelihood(input, 1)
  if (alone < least) {
    const retryAfterMs = clampRetryAfter(input.deadline - input.now)
    return { type: 'refuse', retryAfterMs, reason: { type: 'deadlineTooClose', likelihood: alone } }
  }
  const stretch = Math.max(1, input.stretch)
  const now = likelihood(input, stretch)
  const use = useOf(input)
  const reason: AdmissionReason = { type: 'likelihood', likelihood: now, least, use }
  if (now >= least && use <= rule.maxUse) return { type: 'admit', reason }
  return { type: 'refuse', retryAfterMs: drainMs(excessMs(rule, input), input.slots), reason }
}

/** Likelihood that the program finishes in time when its calls take `stretch` times as long as alone. */
function likelihood (input: AdmissionInput, stretch: number): number {
  const needMs = input.expectedMs + (stretch - 1) * input.workMs
  const spareMs = input.deadline - input.now - needMs
  return logistic(spareMs / Math.max(1, input.expectedMsDeviation))
}

/** Share of the slot time up to the deadline that admitted work and the new program need. */
function useOf (input: AdmissionInput): number {
  const availableMs = input.slots * Math.max(1, input.deadline - input.now)
  return (input.admittedWorkMs + input.workMs) / availableMs
}

/** Slot time that has to be worked off before the program would fit. */
function excessMs (rule: Extract<AdmissionRule, { type: 'inTime' }>, input: AdmissionInput): number {
  const fits = rule.maxUse * input.slots * Math.max(1, input.deadline - input.now)
  return Math.max(input.workMs, input.admittedWorkMs + input.workMs - fits)
}

function drainMs (workMs: number, slots: number): number {
  return clampRetryAfter(workMs / Math.max(1, slots))
}

function clampRetryAfter (ms: number): number {
  return Math.round(Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, ms)))
}

/** Close to the normal distribution when its argument is in mean absolute deviations. */
function logistic (x: number): number {
  const steepness = 1.36
  return 1 / (1 + Math.exp(-steepness * x))
}
