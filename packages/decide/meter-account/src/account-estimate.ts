/**
 * The host's side: its estimate of what is left of an account's limit. While enough is left, the host admits requests
 * by itself and reports them afterwards; near the limit it asks the owner first. An account well below its limit thus
 * gets no extra latency, and one at its limit is counted exactly.
 */
import * as accountMeter from './account-meter.js'
import type * as meterRegistry from './meter-registry.js'

/** Immutable state; every operation returns a new object. */
export interface AccountEstimate {
  /** The meter as last confirmed by the owner. `term` is the ownership term of that answer. */
  readonly confirmed: accountMeter.AccountMeter
  readonly term: number
  /** The confirmed meter less the requests that this host admitted since. */
  readonly meter: accountMeter.AccountMeter
  /** Requests that this host admitted and has not reported yet. */
  readonly unreported: accountMeter.RequestCounts
}

/** A host admits requests without asking while this share of the capacity is left. It covers what all hosts together send between two reports. */
const unaskedCapacityShare = 0.35

/** Creates an estimate from an answer of the owner; `unreported`: requests admitted after the report that it answers. */
export function createEstimate (limit: accountMeter.MeterLimit, answer: meterRegistry.MeterAnswer, unreported: accountMeter.RequestCounts, now: number): AccountEstimate {
  const confirmed = accountMeter.createMeter(limit, answer.state, now)
  return { confirmed, term: answer.term, meter: accountMeter.spend(confirmed, unreported), unreported }
}

/**
 * Whether a request may be sent without asking the owner. Never true for the first request of a program: many more
 * follow it, and programs that several hosts admit at the same time could exceed the limit together.
 */
export function canSendUnasked (estimate: AccountEstimate, position: accountMeter.RequestPosition): boolean {
  if (position === 'first') return false
  const { meter } = estimate
  return accountMeter.computeHeadroom(meter, position) >= unaskedCapacityShare * accountMeter.computeCapacity(meter.limit)
}

/** Counts a request that this host admitted, or takes back one that did not run (`delta` -1). */
export function countRequest (estimate: AccountEstimate, position: accountMeter.RequestPosition, delta: 1 | -1): AccountEstimate {
  const counts = { ...accountMeter.noRequests, [position]: delta }
  return { ...estimate, meter: accountMeter.spend(estimate.meter, counts), unreported: addCounts(estimate.unreported, counts) }
}

/** The confirmed state extrapolated to `now`, in monotonic ms, as if nothing had been sent since. */
export function computeConfirmedState (estimate: AccountEstimate, now: number): accountMeter.MeterState {
  return accountMeter.toState(accountMeter.refillMeter(estimate.confirmed, now))
}

/**
 * Hosts without an owner use this part of their share of the limit and of what was left. An owner keeps as much back for
 * the hosts that do not report to it, so that all together stay within the limit.
 */
export const fallbackShare = 0.5

/** The limit of one host while the owner is unreachable. */
export function computeFallbackLimit (limit: accountMeter.MeterLimit, hostCount: number): accountMeter.MeterLimit {
  return divideLimit(limit, hostCount / fallbackShare)
}

/**
 * Creates the meter that a host uses while the owner is unreachable: its share of the limit and of what was left in its
 * estimate. Without an estimate nothing is known to be left. `roundUp`: uniform in [0, 1); of a share below one request,
 * so many hosts may send one that together they use about the whole.
 */
export function createFallbackMeter (limit: accountMeter.MeterLimit, estimate: AccountEstimate | undefined, hostCount: number, roundUp: number, now: number): accountMeter.AccountMeter {
  const ownLimit = computeFallbackLimit(limit, hostCount)
  const state = estimate === undefined ? accountMeter.createState(0) : accountMeter.toState(estimate.meter)
  const share = fallbackShare / Math.max(1, hostCount)
  const level = Math.floor(Math.max(0, state.level) * share + roundUp)
  const uncommitted = Math.max(0, state.uncommitted) * share
  return { ...state, limit: ownLimit, level, uncommitted, updatedAt: now }
}

/** Divides a limit evenly among hosts, so that together they stay within it while there is no owner. */
export function divideLimit (limit: accountMeter.MeterLimit, hostCount: number): accountMeter.MeterLimit {
  const share = 1 / Math.max(1, hostCount)
  return { requestsPerSecond: limit.requestsPerSecond * share, burst: limit.burst * share, slack: limit.slack * share }
}

/** Adds two counts by position. */
export function addCounts (a: accountMeter.RequestCounts, b: accountMeter.RequestCounts): accountMeter.RequestCounts {
  return { first: a.first + b.first, further: a.further + b.further }
}

/** Whether both counts are 0. */
export function isZero (counts: accountMeter.RequestCounts): boolean {
  return counts.first === 0 && counts.further === 0
}
