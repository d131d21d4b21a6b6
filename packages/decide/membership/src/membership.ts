/**
 * Which hosts one process holds for live, leaving, suspect or gone.
 *
 * The platform's host list is the base; what calls show comes on top. Bounds, held by the tests:
 * - a host that fails is offered no work after the next batch (`batchMs`), by each process that saw the failure;
 * - a host that says it is leaving is offered none from that moment, by each process that heard it;
 * - one host becomes live again at most `maxReturns` times in any `flapWindowMs`;
 * - an empty list changes nothing, and one that loses many hosts at once removes none of them that answers before `massLossMs`.
 */
import type * as types from '@eelgrasswind/types'
import * as members from './member.js'
import * as probes from './probes.js'
import type * as config from './settings.js'

/** One host in a view. */
export interface MemberHost {
  readonly entry: types.HostEntry
  readonly state: members.HostState
  /** The incarnation that last answered, if any has. */
  readonly incarnation: types.Incarnation | undefined
}

/** An immutable picture of the membership; another object only if something in it changed. */
export interface MembershipView {
  /** Grows by one with every change; a number of this process alone. */
  readonly version: number
  /** Sorted by host id. */
  readonly hosts: readonly MemberHost[]
}

export interface MembershipOptions {
  readonly settings: config.MembershipSettings
  /** The host of this process; never suspect to itself. */
  readonly self: types.HostId
  /** Milliseconds of a clock that never goes back; all other calls take the same clock. */
  readonly now: number
}

export interface Membership {
  /** Takes a host list; empty ones and ones of a lower version are ignored. */
  applyHostList: (list: types.HostList, now: number) => void
  /** Any answer of a host is a heartbeat. */
  noteAnswer: (host: types.HostId, incarnation: types.Incarnation, leaving: boolean, now: number) => void
  /** A connection to the host failed, or no answer came in time. */
  noteFailure: (host: types.HostId, now: number) => void
  /** The host said that it is leaving, as its present incarnation. In force at once. */
  noteLeaving: (host: types.HostId, now: number) => void
  /** Puts the changes of a batch interval into force; true if the view changed. Call at least once every `batchMs`. */
  tick: (now: number) => boolean
  getView: () => MembershipView
  /** Suspect hosts to send a small request now, at most `probesPerBatch`, with a growing pause for each host. */
  takeProbes: (now: number) => types.HostId[]
  /** When the last host list was taken; undefined before the first. */
  getListAppliedAt: () => number | undefined
}

function isSameEntry (a: types.HostEntry, b: types.HostEntry): boolean {
  return a.state === b.state && a.address === b.address && a.role === b.role &&
    a.region === b.region && a.availabilityZone === b.availabilityZone
}

export function createMembership ({ settings, self, now: startedAt }: MembershipOptions): Membership {
  const membersByHost = new Map<types.HostId, members.Member>()
  /** Hosts whose state may differ at the next batch; a tick costs as many steps. */
  const unsettled = new Set<members.Member>()
  let listVersion: number | undefined
  let listAppliedAt: number | undefined
  /** Lists of a lower version since the last one taken. */
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
    const missing = [...membersByHost.values()].filter((member) => !listedHosts.has(member.entry.host) && member.missingSince === undefined)
    const listedCount = [...membersByHost.values()].filter((member) => member.missingSince === undefined).length
    const isDoubted = missing.length > listedCount * settings.massLossFraction
    for (const member of missing) {
      member.missingSince = now
      member.isMissingDoubted = isDoubted
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

  function noteAnswer (host: types.HostId, incarnation: types.Incarnation, leaving: boolean, now: number): void {
    const member = membersByHost.get(host)
    if (member === undefined || !members.acceptIncarnation(member, incarnation)) return
    if (member.failures > 0 || member.publishedState !== 'live') unsettled.add(member)
    member.failures = 0
    member.probeBackoffMs = 0
    if (leaving) markLeaving(member, now)
  }

  function noteFailure (host: types.HostId, now: number): void {
    const member = membersByHost.get(host)
    if (member === undefined || host === self) return
    member.failures += 1
    if (member.failures === 1) member.nextProbeAt = now + settings.probeMs
    unsettled.add(member)
  }

  function markLeaving (member: members.Member, now: number): void {
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
