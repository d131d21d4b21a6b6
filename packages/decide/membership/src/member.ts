/** The facts that this process has about one host, and the state derived from them. */
import type * as types from '@eelgrasswind/types'
import type * as config from './settings.js'

/** State of a host from the viewpoint of one process. */
export type HostState =
  /** Gets new work. */
  | 'live'
  /** Drains: finishes its work and gets no new work. */
  | 'leaving'
  /** Did not respond, or recovered too often (flapping); gets no new work from this process. */
  | 'suspect'
  /** No longer in the host list. */
  | 'gone'

/** Number of former incarnations that are kept, to recognize their late responses. */
const maxEarlierIncarnations = 4

/** Facts about one host. Times are in milliseconds on the caller's clock. */
export interface Member {
  entry: types.HostEntry
  /** State in the current view; undefined before the first batch with the host. */
  publishedState: HostState | undefined
  /** Since when the host list lacks it; undefined while it is listed. */
  missingSince: number | undefined
  /** Whether the list that removed it lost implausibly many hosts at once. */
  isMassLoss: boolean
  incarnation: types.Incarnation | undefined
  earlierIncarnations: types.Incarnation[]
  /** When it last reported to be leaving; undefined while it is not. */
  leavingAt: number | undefined
  /** Failures since the last response. */
  failures: number
  /** Times at which it became live again, within the flap window. */
  recoveryTimes: number[]
  nextProbeAt: number
  probeBackoffMs: number
}

/** Creates a member that is not yet in the view. */
export function createMember (entry: types.HostEntry): Member {
  return {
    entry,
    publishedState: undefined,
    missingSince: undefined,
    isMassLoss: false,
    incarnation: undefined,
    earlierIncarnations: [],
    leavingAt: undefined,
    failures: 0,
    recoveryTimes: [],
    nextProbeAt: 0,
    probeBackoffMs: 0
  }
}

/** Records the incarnation that responded; false if the response is from a former one and has to be ignored. */
export function acceptIncarnation (member: Member, incarnation: types.Incarnation): boolean {
  if (member.incarnation === incarnation) return true
  if (member.earlierIncarnations.includes(incarnation)) return false
  if (member.incarnation !== undefined) {
    member.earlierIncarnations = [member.incarnation, ...member.earlierIncarnations].slice(0, maxEarlierIncarnations)
    member.leavingAt = undefined
  }
  member.incarnation = incarnation
  return true
}

/** Whether the list has lacked it for long enough. */
function isGone (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.missingSince === undefined) return false
  const isReachable = member.isMassLoss && member.failures === 0
  return now - member.missingSince >= (isReachable ? settings.massLossMs : settings.missingMs)
}

/** Whether it is leaving by the host list or by a report that has not expired. */
export function isLeaving (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.entry.state === 'leaving') return true
  return member.leavingAt !== undefined && now - member.leavingAt < settings.leavingMs
}

/** Whether it can become live again within the bound on recoveries. */
function canRecover (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.publishedState === undefined || member.publishedState === 'live') return true
  member.recoveryTimes = member.recoveryTimes.filter((at) => now - at < settings.flapWindowMs)
  return member.recoveryTimes.length < settings.maxRecoveries
}

/** Derives the state from the facts. */
export function computeState (member: Member, settings: config.MembershipSettings, now: number): HostState {
  if (isGone(member, settings, now)) return 'gone'
  if (isLeaving(member, settings, now)) return 'leaving'
  if (member.failures >= settings.failuresToSuspect) return 'suspect'
  return canRecover(member, settings, now) ? 'live' : 'suspect'
}

/** Sets the state in the view; true if it changed. */
export function publishState (member: Member, state: HostState, now: number): boolean {
  if (member.publishedState === state) return false
  if (state === 'live' && member.publishedState !== undefined) member.recoveryTimes.push(now)
  member.publishedState = state
  return true
}

/** Whether its state can only change by a new event, not by time alone. */
export function isSettled (member: Member): boolean {
  return member.publishedState === 'live' && member.failures === 0 && member.missingSince === undefined && member.leavingAt === undefined
}

/** Whether it has been gone for so long that it can be removed. */
export function isForgettable (member: Member, settings: config.MembershipSettings, now: number): boolean {
  return member.publishedState === 'gone' && member.missingSince !== undefined && now - member.missingSince >= settings.flapWindowMs
}
