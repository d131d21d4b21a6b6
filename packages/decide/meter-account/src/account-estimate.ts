/**
 * A host's side: what it believes is left of an account's limit. While there is plenty it lets requests through unasked
 * and reports them soon after; near the limit it asks the owner first. So an account well below its limit waits for
 * nobody, and one at its limit is counted exactly.
 */
import * as accountMeter from './account-meter.js'
import type * as meterRegistry from './meter-registry.js'

/** Plain state; replaced, never changed. */
export interface AccountEstimate {
  /** As the owner last said, and the term in which it did. */
  readonly confirmed: accountMeter.AccountMeter
  readonly term: number
  /** The same, less what was let through here since. */
  readonly meter: accountMeter.AccountMeter
  /** Let through here and not reported yet. */
  readonly unreported: accountMeter.RequestCounts
}

/** Requests go unasked while this share of the capacity is left: what all hosts together send before they hear of one another. */
const unaskedCapacityShare = 0.35

/** The belief after an answer of the owner; since: what was let through after the report that it answers. */
export function createEstimate (limit: accountMeter.MeterLimit, answer: meterRegistry.MeterAnswer, unreported: accountMeter.RequestCounts, now: number): AccountEstimate {
  const confirmed = accountMeter.createMeter(limit, answer.state, now)
  return { confirmed, term: answer.term, meter: accountMeter.spend(confirmed, unreported), unreported }
}

/**
 * Whether a request may be sent without asking. The first of a program never is: it stands for many, and hosts that let
 * programs in at the same moment would add up.
 */
export function canSendUnasked (estimate: AccountEstimate, position: accountMeter.RequestPosition): boolean {
  if (position === 'first') return false
  const { meter } = estimate
  return accountMeter.computeHeadroom(meter, position) >= unaskedCapacityShare * accountMeter.computeCapacity(meter.limit)
}

/** Counts a request that was let through here, or takes one back that did not run (`by` -1). */
export function countRequest (estimate: AccountEstimate, position: accountMeter.RequestPosition, delta: 1 | -1): AccountEstimate {
  const counts = { ...accountMeter.noRequests, [position]: delta }
  return { ...estimate, meter: accountMeter.spend(estimate.meter, counts), unreported: addCounts(estimate.unreported, counts) }
}

/** What the owner would have said at a time, in monotonic ms, had nobody sent anything since. */
export function computeConfirmedState (estimate: AccountEstimate, now: number): accountMeter.MeterState {
  return accountMeter.toState(accountMeter.refillMeter(estimate.confirmed, now))
}

/** The meter of a host that counts by itself: its share of the limit, and of what was left when the owner was last heard, monotonic ms. */
export function createFallbackMeter (limit: accountMeter.MeterLimit, estimate: AccountEstimate | undefined, hostCount: number, lastAnswerAt: number, now: number): accountMeter.AccountMeter {
  const ownLimit = divideLimit(limit, hostCount)
  if (estimate === undefined) return accountMeter.createMeter(ownLimit, accountMeter.createState(accountMeter.computeInitialLevel(ownLimit)), now)
  const state = computeConfirmedState(estimate, lastAnswerAt)
  const share = 1 / Math.max(1, hostCount)
  return accountMeter.createMeter(ownLimit, { ...state, level: state.level * share, uncommitted: state.uncommitted * share }, now)
}

/** The part of a limit that one of so many hosts may use by itself while nobody counts for all: together they stay within it. */
export function divideLimit (limit: accountMeter.MeterLimit, hostCount: number): accountMeter.MeterLimit {
  const share = 1 / Math.max(1, hostCount)
  return { requestsPerSecond: limit.requestsPerSecond * share, burst: limit.burst * share, slack: limit.slack * share }
}

/** Both together. */
export function addCounts (a: accountMeter.RequestCounts, b: accountMeter.RequestCounts): accountMeter.RequestCounts {
  return { first: a.first + b.first, further: a.further + b.further }
}

/** Whether there is nothing to report. */
export function isZero (counts: accountMeter.RequestCounts): boolean {
  return counts.first === 0 && counts.further === 0
}
