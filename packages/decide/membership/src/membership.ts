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
  listTakenAt: () => number | undefined
}

function sameEntry (a: types.HostEntry, b: types.HostEntry): boolean {
  return a.state === b.state && a.address === b.address && a.role === b.role &&
    a.region === b.region && a.availabilityZone === b.availabilityZone
}

export function createMembership ({ settings, self, now: startedAt }: MembershipOptions): Membership {
  const all = new Map<types.HostId, members.Member>()
  /** Hosts whose state may differ at the next batch; a tick costs as many steps. */
  const unsettled = new Set<members.Member>()
  let listVersion: number | undefined
  let takenAt: number | undefined
  /** Lists of a lower version since the last one taken. */
  let lowerLists = 0
  let batchAt = startedAt
  let entriesChanged = false
  let view: MembershipView = { version: 0, hosts: [] }

  function publish (): void {
    const hosts = [...all.values()]
      .filter((member) => member.shown !== undefined)
      .sort((a, b) => a.entry.host < b.entry.host ? -1 : 1)
      .map((member) => ({ entry: member.entry, state: member.shown!, incarnation: member.incarnation }))
    view = { version: view.version + 1, hosts }
    entriesChanged = false
  }

  function isUsable (list: types.HostList, now: number): boolean {
    if (list.hosts.length === 0) return false
    if (listVersion === undefined || takenAt === undefined) return true
    if (list.version >= listVersion) return true
    lowerLists += 1
    return lowerLists >= settings.staleListReads && now - takenAt >= settings.staleListMs
  }

  function takeEntry (entry: types.HostEntry): void {
    const member = all.get(entry.host)
    if (member === undefined) {
      const created = members.createMember(entry)
      all.set(entry.host, created)
      unsettled.add(created)
      return
    }
    const returned = member.missingSince !== undefined || (member.entry.state === 'leaving' && entry.state === 'live')
    if (returned) member.leavingAt = undefined
    member.missingSince = undefined
    if (!sameEntry(member.entry, entry)) entriesChanged = true
    member.entry = entry
    if (returned || entry.state === 'leaving') unsettled.add(member)
  }

  function noteMissing (named: ReadonlySet<types.HostId>, now: number): void {
    const missing = [...all.values()].filter((member) => !named.has(member.entry.host) && member.missingSince === undefined)
    const known = [...all.values()].filter((member) => member.missingSince === undefined).length
    const doubted = missing.length > known * settings.massLossFraction
    for (const member of missing) {
      member.missingSince = now
      member.missingDoubted = doubted
      unsettled.add(member)
    }
  }

  function applyHostList (list: types.HostList, now: number): void {
    if (!isUsable(list, now)) return
    const isFirst = takenAt === undefined
    const isKnown = !isFirst && list.version === listVersion
    takenAt = now
    lowerLists = 0
    listVersion = list.version
    if (isKnown) return
    for (const entry of list.hosts) takeEntry(entry)
    noteMissing(new Set(list.hosts.map((entry) => entry.host)), now)
    if (isFirst) applyBatch(now)
  }

  function noteAnswer (host: types.HostId, incarnation: types.Incarnation, leaving: boolean, now: number): void {
    const member = all.get(host)
    if (member === undefined || !members.meetIncarnation(member, incarnation)) return
    if (member.failures > 0 || member.shown !== 'live') unsettled.add(member)
    member.failures = 0
    member.probePauseMs = 0
    if (leaving) startLeaving(member, now)
  }

  function noteFailure (host: types.HostId, now: number): void {
    const member = all.get(host)
    if (member === undefined || host === self) return
    member.failures += 1
    if (member.failures === 1) member.nextProbeAt = now + settings.probeMs
    unsettled.add(member)
  }

  function startLeaving (member: members.Member, now: number): void {
    member.leavingAt = now
    unsettled.add(member)
    if (member.shown !== 'live' && member.shown !== 'suspect') return
    members.show(member, 'leaving', now)
    publish()
  }

  function noteLeaving (host: types.HostId, now: number): void {
    const member = all.get(host)
    if (member !== undefined) startLeaving(member, now)
  }

  function settle (member: members.Member, now: number): boolean {
    const changed = members.show(member, members.stateOf(member, settings, now), now)
    if (members.isSettled(member)) unsettled.delete(member)
    if (!members.isForgettable(member, settings, now)) return changed
    unsettled.delete(member)
    all.delete(member.entry.host)
    return true
  }

  function applyBatch (now: number): boolean {
    batchAt = now
    let changed = entriesChanged
    for (const member of unsettled) changed = settle(member, now) || changed
    if (changed) publish()
    return changed
  }

  function tick (now: number): boolean {
    return now - batchAt >= settings.batchMs ? applyBatch(now) : false
  }

  return {
    applyHostList,
    noteAnswer,
    noteFailure,
    noteLeaving,
    tick,
    getView: () => view,
    takeProbes: (now) => probes.takeDue(unsettled, settings, now).map((member) => member.entry.host),
    listTakenAt: () => takenAt
  }
}
