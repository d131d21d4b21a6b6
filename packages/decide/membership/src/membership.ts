/**
 * The membership table of one process: which hosts are live, leaving, suspect or gone.
 *
 * It combines the platform's host list with the results of calls. Guarantees, verified by the tests:
 * - a process that saw a host fail sends it no new work after the next batch (`batchMs`);
 * - a process that was informed that a host is leaving sends it no new work from that moment;
 * - a host becomes live again at most `maxRecoveries` times in any `flapWindowMs`;
 * - an empty list changes nothing, and one that loses many hosts at once removes none of them that responds before
 *   `massLossMs`.
 */
import type * as types from '@eelgrasswind/types'
import * as members from './member.js'
import * as probes from './probes.js'
import type * as config from './settings.js'

/** One host in a view. */
export interface MemberHost {
  readonly entry: types.HostEntry
  readonly state: members.HostState
  /** The incarnation that last responded, if any. */
  readonly incarnation: types.Incarnation | undefined
}

/** An immutable snapshot of the membership; a new object only if something in it changed. */
export interface MembershipView {
  /** Incremented with every change; local to this process. */
  readonly version: number
  /** Sorted by host id. */
  readonly hosts: readonly MemberHost[]
}

/** Options of a membership table. */
export interface MembershipOptions {
  readonly settings: config.MembershipSettings
  /** The host of this process; never suspect to itself. */
  readonly self: types.HostId
  /** Milliseconds on a monotonic clock; all other calls use the same clock. */
  readonly now: number
}

/** The membership table of this process. */
export interface Membership {
  /** Applies a host list; empty lists and lists of a lower version are ignored. */
  applyHostList: (list: types.HostList, now: number) => void
  /** Records a response of a host; every response counts as a heartbeat. */
  noteAnswer: (host: types.HostId, incarnation: types.Incarnation, isLeaving: boolean, now: number) => void
  /** Records a failed connection to the host or a timeout. */
  noteFailure: (host: types.HostId, now: number) => void
  /** Records that the current incarnation of the host is leaving. Takes effect immediately. */
  noteLeaving: (host: types.HostId, now: number) => void
  /** Applies the changes of a batch interval to the view; true if it changed. Call at least once every `batchMs`. */
  tick: (now: number) => boolean
  getView: () => MembershipView
  /** Returns the suspect and leaving hosts to probe now, at most `probesPerBatch`, with exponential backoff per host. */
  takeProbes: (now: number) => types.HostId[]
  /** Returns when the last host list was applied; undefined before the first. */
  getListAppliedAt: () => number | undefined
}

function isSameEntry (a: types.HostEntry, b: types.HostEntry): boolean {
  return a.state === b.state && a.address === b.address && a.role === b.role &&
    a.region === b.region && a.availabilityZone === b.availabilityZone
}

/** Creates an empty table; its first host list takes effect immediately. */
export function createMembership ({ settings, self, now: startedAt }: MembershipOptions): Membership {
  const membersByHost = new Map<types.HostId, members.Member>()
  /** Hosts whose state may change at the next batch; the cost of a batch is proportional to their number. */
  const unsettled = new Set<members.Member>()
  let listVersion: number | undefined
  let listAppliedAt: number | undefined
  /** Lists of a lower version since the last applied one. */
  let staleLists = 0
  let lastBatchAt = startedAt
  let haveEntriesChanged = false
  let view: MembershipView = { version: 0, hosts: [] }

  function publish (): void {
    const hosts = [...membersByHost.values()]
      .filter((member) => member.publishedState !== undefined)
      .sort((a, b) => a.entry.host < b.entry.host ? -1 : 1)
      .map((member) => ({ entry: member.entry, state: member.publishedState!, incarnation: member.incarnation }))
    view = { version: view.version + 1, hosts }
    haveEntriesChanged = false
  }

  function isUsable (list: types.HostList, now: number): boolean {
    if (list.hosts.length === 0) return false
    if (listVersion === undefined || listAppliedAt === undefined) return true
    if (list.version >= listVersion) return true
    staleLists += 1
    return staleLists >= settings.staleListReads && now - listAppliedAt >= settings.staleListMs
  }

  function applyEntry (entry: types.HostEntry): void {
    const member = membersByHost.get(entry.host)
    if (member === undefined) {
      const created = members.createMember(entry)
      membersByHost.set(entry.host, created)
      unsettled.add(created)
      return
    }
    const hasReturned = member.missingSince !== undefined || (member.entry.state === 'leaving' && entry.state === 'live')
    if (hasReturned) member.leavingAt = undefined
    member.missingSince = undefined
    if (!isSameEntry(member.entry, entry)) haveEntriesChanged = true
    member.entry = entry
    if (hasReturned || entry.state === 'leaving') unsettled.add(member)
  }

  function markMissing (listedHosts: ReadonlySet<types.HostId>, now: number): void {
    const missingMembers = [...membersByHost.values()].filter((member) => !listedHosts.has(member.entry.host) && member.missingSince === undefined)
    const listedCount = [...membersByHost.values()].filter((member) => member.missingSince === undefined).length
    const isMassLoss = missingMembers.length > listedCount * settings.massLossFraction
    for (const member of missingMembers) {
      member.missingSince = now
      member.isMassLoss = isMassLoss
      unsettled.add(member)
    }
  }

  function applyHostList (list: types.HostList, now: number): void {
    if (!isUsable(list, now)) return
    const isFirst = listAppliedAt === undefined
    const isKnown = !isFirst && list.version === listVersion
    listAppliedAt = now
    staleLists = 0
    listVersion = list.version
    if (isKnown) return
    for (const entry of list.hosts) applyEntry(entry)
    markMissing(new Set(list.hosts.map((entry) => entry.host)), now)
    if (isFirst) applyBatch(now)
  }

  function noteAnswer (host: types.HostId, incarnation: types.Incarnation, isLeaving: boolean, now: number): void {
    const member = membersByHost.get(host)
    if (member === undefined || !members.acceptIncarnation(member, incarnation)) return
    if (member.failures > 0 || member.publishedState !== 'live') unsettled.add(member)
    member.failures = 0
    if (isLeaving) markLeaving(member, now)
    else member.probeBackoffMs = 0
  }

  function noteFailure (host: types.HostId, now: number): void {
    const member = membersByHost.get(host)
    if (member === undefined || host === self) return
    member.failures += 1
    if (member.failures === 1) member.nextProbeAt = now + settings.probeMs
    unsettled.add(member)
  }

  function markLeaving (member: members.Member, now: number): void {
    if (member.leavingAt === undefined) {
      member.probeBackoffMs = 0
      member.nextProbeAt = now + settings.probeMs
    }
    member.leavingAt = now
    unsettled.add(member)
    if (member.publishedState !== 'live' && member.publishedState !== 'suspect') return
    members.publishState(member, 'leaving', now)
    publish()
  }

  function noteLeaving (host: types.HostId, now: number): void {
    const member = membersByHost.get(host)
    if (member !== undefined) markLeaving(member, now)
  }

  function updateState (member: members.Member, now: number): boolean {
    const hasChanged = members.publishState(member, members.computeState(member, settings, now), now)
    if (members.isSettled(member)) unsettled.delete(member)
    if (!members.isForgettable(member, settings, now)) return hasChanged
    unsettled.delete(member)
    membersByHost.delete(member.entry.host)
    return true
  }

  function applyBatch (now: number): boolean {
    lastBatchAt = now
    let hasChanged = haveEntriesChanged
    for (const member of unsettled) hasChanged = updateState(member, now) || hasChanged
    if (hasChanged) publish()
    return hasChanged
  }

  function tick (now: number): boolean {
    return now - lastBatchAt >= settings.batchMs ? applyBatch(now) : false
  }

  return {
    applyHostList,
    noteAnswer,
    noteFailure,
    noteLeaving,
    tick,
    getView: () => view,
    takeProbes: (now) => probes.takeDueProbes(unsettled, settings, now).map((member) => member.entry.host),
    getListAppliedAt: () => listAppliedAt
  }
}
