/**
 * Two token buckets for the requests of one client account: one counts each request as it is sent, the other charges a
 * program with all that it is likely to send when it begins. It answers an account that sends more than its limit:
 * without it all of its programs begin and each loses some request in the middle; with it as many programs as the limit
 * holds go through whole, and the rest are told at their first request when to come back.
 */

/** A limit in force. */
export interface MeterLimit {
  readonly requestsPerSecond: number
  /** Requests that may be sent at once after a quiet time. */
  readonly burst: number
  /** Requests beyond the limit that the operator tolerates in a short time. */
  readonly slack: number
}

/** Where a request stands in its program. */
export type RequestPosition =
  /** The first of a program: many more follow if it is let in. */
  | 'first'
  /** Anything else: refusing it may cost a program that is nearly done. */
  | 'further'

/** Requests by their part. */
export type RequestCounts = Readonly<Record<RequestPosition, number>>

/** What is known of an account at one time, as hosts tell one another. */
export interface MeterState {
  /** Requests that may be sent now; below 0 where more were sent than there were. */
  readonly level: number
  /** Requests that are left for new programs once those that have begun are paid in full. */
  readonly uncommitted: number
  /** Programs that began so lately that most of their requests are still to come: they say nothing yet of what a program takes. */
  readonly young: number
  /** Lately counted programs and their requests: what a program takes in all. */
  readonly recent: RequestCounts
}

/** Plain state; replaced, never changed. */
export interface AccountMeter extends MeterState {
  readonly limit: MeterLimit
  /** Monotonic ms. */
  readonly updatedAt: number
}

/** No requests. */
export const noRequests: RequestCounts = { first: 0, further: 0 }

/** One request. */
export function createSingleCount (position: RequestPosition): RequestCounts {
  return { ...noRequests, [position]: 1 }
}

/** The part of the slack that a quiet account gets on top of its burst. */
const burstSlackShare = 0.25
/** The part of it by which requests of programs under way may go beyond the limit. The rest covers what hosts learn late. */
const debtSlackShare = 0.5
/** What a program takes before any was seen to end, in requests. */
const initialRequestsPerProgram = 10
/** Programs that the preset weighs as much as. */
const initialProgramWeight = 1
/** Half to two thirds of a program's time, in ms: the pace at which programs come to be counted. */
const youngDecayMs = 1_500
/** Pace at which counts of requests are forgotten, in ms. */
const recentDecayMs = 10_000
/** Bounds of the time to come back, in ms: a limit that is empty now is worth another question soon, and none waits for minutes. */
const minWaitMs = 100
const maxWaitMs = 5_000

/** The most that a quiet account may send at once. */
export function computeCapacity (limit: MeterLimit): number {
  return Math.max(1, limit.burst + limit.slack * burstSlackShare)
}

/** A meter of which no more is known than how many requests are left. */
export function createState (level: number): MeterState {
  return { level, uncommitted: level, young: 0, recent: noRequests }
}

/** A meter that goes on from what is known; now: monotonic ms. */
export function createMeter (limit: MeterLimit, { level, uncommitted, young, recent }: MeterState, now: number): AccountMeter {
  return applyLimit({ limit, level, uncommitted, young, recent, updatedAt: now }, limit)
}

/** What hosts and owners tell one another of a meter. */
export function toState ({ level, uncommitted, young, recent }: AccountMeter): MeterState {
  return { level, uncommitted, young, recent }
}

/** The level that an account starts with where nobody knows what it has sent: a second's worth, as a restart takes longer. */
export function computeInitialLevel (limit: MeterLimit): number {
  return Math.min(computeCapacity(limit), limit.requestsPerSecond + limit.slack * burstSlackShare)
}

/** Another limit is in force. */
export function applyLimit (meter: AccountMeter, limit: MeterLimit): AccountMeter {
  const capacity = computeCapacity(limit)
  return { ...meter, limit, level: Math.min(meter.level, capacity), uncommitted: Math.min(meter.uncommitted, capacity) }
}

/** Adds what has become free since. */
export function refillMeter (meter: AccountMeter, now: number): AccountMeter {
  const { limit, level, uncommitted, young, recent } = meter
  const capacity = computeCapacity(limit)
  const elapsedMs = Math.max(0, now - meter.updatedAt)
  const refilled = limit.requestsPerSecond * elapsedMs / 1_000
  const decayFactor = Math.exp(-elapsedMs / recentDecayMs)
  const remainingYoung = young * Math.exp(-elapsedMs / youngDecayMs)
  return {
    limit,
    level: Math.min(capacity, level + refilled),
    uncommitted: Math.min(capacity, uncommitted + refilled),
    young: remainingYoung,
    recent: { first: recent.first * decayFactor + young - remainingYoung, further: recent.further * decayFactor },
    updatedAt: Math.max(now, meter.updatedAt)
  }
}

/** Counts requests that were let through. Negative counts take some back that did not run. */
export function spend (meter: AccountMeter, counts: RequestCounts): AccountMeter {
  const { first, further } = counts
  return {
    ...meter,
    level: meter.level - first - further,
    uncommitted: meter.uncommitted - first * computeRequestsPerProgram(meter),
    young: Math.max(0, meter.young + first),
    recent: { first: meter.recent.first, further: Math.max(0, meter.recent.further + further) }
  }
}

/** Requests that a program takes from its first to its last, as lately seen. */
function computeRequestsPerProgram (meter: AccountMeter): number {
  const { first, further } = meter.recent
  return (initialRequestsPerProgram * initialProgramWeight + first + further) / (initialProgramWeight + first)
}

/**
 * How many requests a part has to spare, a filled meter taken for granted: at 0 or above the next one may be sent. The
 * last program that begins may be charged beyond what is left, so that small accounts get theirs as well.
 */
export function computeHeadroom (meter: AccountMeter, position: RequestPosition): number {
  const { limit, level, uncommitted } = meter
  return position === 'further' ? level - 1 + limit.slack * debtSlackShare : Math.min(level - 1, uncommitted)
}

/** When a part that has no room now will have some if nobody else asks, in ms. */
export function computeWaitMs (meter: AccountMeter, position: RequestPosition): number {
  const { requestsPerSecond } = meter.limit
  const waitMs = requestsPerSecond > 0 ? -computeHeadroom(meter, position) / requestsPerSecond * 1_000 : maxWaitMs
  return Math.round(Math.min(maxWaitMs, Math.max(minWaitMs, waitMs)))
}
