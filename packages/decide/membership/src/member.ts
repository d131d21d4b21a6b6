/** What one process knows of one host, and the state that follows from it. */
import type * as types from '@eelgrasswind/types'
import type * as config from './settings.js'

/** State of a host in the view of one process. */
export type HostState =
  /** May get new work. */
  | 'live'
  /** Finishes what it has; gets no new work. */
  | 'leaving'
  /** Did not answer, or came and went too often; gets no new work from this process. */
  | 'suspect'
  /** No longer in the host list. */
  | 'gone'

/** Earlier incarnations that are remembered, so that their late answers are told apart. */
const maxEarlierIncarnations = 4

/** Facts about one host. Times are in milliseconds of the caller's clock. */
export interface Member {
  entry: types.HostEntry
  /** State in the view now in force; undefined before the first batch that holds the host. */
  publishedState: HostState | undefined
  /** Since when the list has not named it; undefined while it does. */
  missingSince: number | undefined
  /** Whether the list that dropped it was doubted. */
  isMissingDoubted: boolean
  incarnation: types.Incarnation | undefined
  earlierIncarnations: types.Incarnation[]
  /** When it was last heard to be leaving; undefined while it is not. */
  leavingAt: number | undefined
  /** Failures since the last answer. */
  failures: number
  /** When it became live again, within the flap window. */
  recoveredAt: number[]
  nextProbeAt: number
  probeBackoffMs: number
}

export function createMember (entry: types.HostEntry): Member {
  return {
    entry,
    publishedState: undefined,
    missingSince: undefined,
    isMissingDoubted: false,
    incarnation: undefined,
    earlierIncarnations: [],
    leavingAt: undefined,
    failures: 0,
    recoveredAt: [],
    nextProbeAt: 0,
    probeBackoffMs: 0
  }
}

/** Takes note of the incarnation that answered; false if the answer is from an earlier one and says nothing of today. */
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

/** Whether the list has left it out for long enough. */
function isGone (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.missingSince === undefined) return false
  const isReachable = member.isMissingDoubted && member.failures === 0
  return now - member.missingSince >= (isReachable ? settings.massLossMs : settings.missingMs)
}

export function isLeaving (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.entry.state === 'leaving') return true
  return member.leavingAt !== undefined && now - member.leavingAt < settings.leavingMs
}

/** Whether it may become live again without exceeding the bound on returns. */
function canRecover (member: Member, settings: config.MembershipSettings, now: number): boolean {
  if (member.publishedState === undefined || member.publishedState === 'live') return true
  member.recoveredAt = member.recoveredAt.filter((at) => now - at < settings.flapWindowMs)
  return member.recoveredAt.length < settings.maxRecoveries
}

/** The state that the facts call for now. */
export function computeState (member: Member, settings: config.MembershipSettings, now: number): HostState {
  if (isGone(member, settings, now)) return 'gone'
  if (isLeaving(member, settings, now)) return 'leaving'
  if (member.failures >= settings.failuresToSuspect) return 'suspect'
  return canRecover(member, settings, now) ? 'live' : 'suspect'
}

/** Puts a state into force; true if it is another one. */
export function publishState (member: Member, state: HostState, now: number): boolean {
  if (member.publishedState === state) return false
  if (state === 'live' && member.publishedState !== undefined) member.recoveredAt.push(now)
  member.publishedState = state
  return true
}

/** Whether nothing about it can change by time alone. */
export function isSettled (member: Member): boolean {
  return member.publishedState === 'live' && member.failures === 0 && member.missingSince === undefined && member.leavingAt === undefined
}

/** Whether it has been gone for so long that it may be forgotten. */
export function isForgettable (member: Member, settings: config.MembershipSettings, now: number): boolean {
  return member.publishedState === 'gone' && member.missingSince !== undefined && now - member.missingSince >= settings.flapWindowMs
}
