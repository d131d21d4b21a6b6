/**
 * Two token buckets for the requests of one client account. One is charged for each request as it is sent, the other
 * for all expected requests of a program when it begins. With the first bucket alone, an account above its limit would
 * start all of its programs, and each would have some request refused in the middle. With both, as many programs as the
 * limit allows run completely, and the others are refused at their first request with a retry-after time.
 */

/** An account's limit. */
export interface MeterLimit {
  readonly requestsPerSecond: number
  /** Requests that may be sent at once after an idle time. */
  readonly burst: number
  /** Requests above the limit that the operator tolerates within a short time. */
  readonly slack: number
}

/** Position of a request in its program. */
export type RequestPosition =
  /** The first request of a program: many more follow if it is admitted. */
  | 'first'
  /** Any other request: refusing it may fail a program that is nearly done. */
  | 'further'

/** Numbers of requests by position. */
export type RequestCounts = Readonly<Record<RequestPosition, number>>

/** State of an account at one time. */
export interface MeterState {
  /** Requests that may be sent now; negative if more were sent than allowed. */
  readonly level: number
  /** Requests left for new programs after the expected requests of all started ones are deducted. */
  readonly uncommitted: number
  /** Recently started programs, most of whose requests are still to come; not yet counted in `recent`. */
  readonly young: number
  /** Recent programs and their requests, from which the mean requests per program are computed. */
  readonly recent: RequestCounts
}

/** Immutable state of the two buckets; every operation returns a new object. */
export interface AccountMeter extends MeterState {
  readonly limit: MeterLimit
  /** In ms of the clock that refills it. */
  readonly updatedAt: number
}

export const noRequests: RequestCounts = { first: 0, further: 0 }

/** Counts with one request at the given position. */
export function createSingleCount (position: RequestPosition): RequestCounts {
  return { ...noRequests, [position]: 1 }
}

/** Adds two counts by position. */
export function addCounts (a: RequestCounts, b: RequestCounts): RequestCounts {
  return { first: a.first + b.first, further: a.further + b.further }
}

/** Subtracts one count from another by position. */
export function subtractCounts (a: RequestCounts, b: RequestCounts): RequestCounts {
  return { first: a.first - b.first, further: a.further - b.further }
}

/** Number of requests at all positions. */
export function sumCounts ({ first, further }: RequestCounts): number {
  return first + further
}

/** Share of the slack that is added to the burst of an idle account. */
const burstSlackShare = 0.25
/** Share of the slack by which requests of running programs may exceed the limit. The rest covers hosts that send their shares at the same time. */
const debtSlackShare = 0.65
/** Expected requests per program while none has been observed. */
const initialRequestsPerProgram = 10
/** Weight of that initial value, in programs. */
const initialProgramWeight = 1
/** Time constant with which started programs move from `young` to `recent`, in ms: half to two thirds of a program's duration. */
const youngDecayMs = 1_500
/** Time constant of the decay of `recent`, in ms. */
const recentDecayMs = 10_000
/** Bounds of the retry-after time, in ms: an exhausted limit is soon worth another attempt, and no caller should wait for minutes. */
const minWaitMs = 100
const maxWaitMs = 5_000

/** The maximum that an idle account may send at once. */
export function computeCapacity (limit: MeterLimit): number {
  return Math.max(1, limit.burst + limit.slack * burstSlackShare)
}

/** Creates a state from the number of requests left alone. */
export function createState (level: number): MeterState {
  return { level, uncommitted: level, young: 0, recent: noRequests }
}

/** Creates a meter from a known state. */
export function createMeter (limit: MeterLimit, { level, uncommitted, young, recent }: MeterState, now: number): AccountMeter {
  return applyLimit({ limit, level, uncommitted, young, recent, updatedAt: now }, limit)
}

/** Extracts the state. */
export function toState ({ level, uncommitted, young, recent }: AccountMeter): MeterState {
  return { level, uncommitted, young, recent }
}

/** The lowest level that requests of running programs may bring a meter to. */
export function computeLowestLevel (limit: MeterLimit): number {
  return -limit.slack * debtSlackShare
}

/** Replaces the limit and caps both levels at its capacity. */
export function applyLimit (meter: AccountMeter, limit: MeterLimit): AccountMeter {
  const capacity = computeCapacity(limit)
  return { ...meter, limit, level: Math.min(meter.level, capacity), uncommitted: Math.min(meter.uncommitted, capacity) }
}

/** Refills both buckets for the time since the last update, and decays the counts. */
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

/** Charges admitted requests. Negative counts take back requests that did not run. */
export function spend (meter: AccountMeter, { first, further }: RequestCounts): AccountMeter {
  const recent = { first: meter.recent.first, further: Math.max(0, meter.recent.further + further) }
  return {
    ...meter,
    level: meter.level - first - further,
    uncommitted: meter.uncommitted - first * computeRequestsPerProgram(recent),
    young: Math.max(0, meter.young + first),
    recent
  }
}

/** Counts further requests as observed, without charging them. */
export function observe (meter: AccountMeter, further: number): AccountMeter {
  return { ...meter, recent: { first: meter.recent.first, further: Math.max(0, meter.recent.further + further) } }
}

/** Mean requests per program, as recently observed. */
function computeRequestsPerProgram ({ first, further }: RequestCounts): number {
  return (initialRequestsPerProgram * initialProgramWeight + first + further) / (initialProgramWeight + first)
}

/**
 * How many further requests at a position the meter allows; at 0 or above the next one may be sent. Expects a refilled
 * meter. The last admitted program may be charged more than is left, so that accounts with small limits can start one too.
 * `floor`: a level below which no request may bring the meter.
 */
export function computeHeadroom (meter: AccountMeter, position: RequestPosition, floor = -Infinity): number {
  const { limit, level, uncommitted } = meter
  return position === 'further'
    ? level - 1 - Math.max(floor, computeLowestLevel(limit))
    : Math.min(level - 1 - Math.max(floor, 0), uncommitted)
}

/**
 * Retry-after time, in ms, within bounds: until a request with a headroom below 0 is allowed at a rate that applies after
 * a delay, if nothing else is sent.
 */
export function computeWaitMs (headroom: number, requestsPerSecond: number, delayMs: number): number {
  const waitMs = requestsPerSecond > 0 ? delayMs - headroom / requestsPerSecond * 1_000 : maxWaitMs
  return Math.round(Math.min(maxWaitMs, Math.max(minWaitMs, waitMs)))
}
