/**
 * Plans the exchange of load reports within an availability zone and between zones.
 *
 * Loads are aggregated in a tree over the sidecars of the zone: once per interval every sidecar sends the sum of its
 * subtree to its parent, and the response contains the sums of all zones of the region. Roots exchange sums with the
 * roots of the other zones. Loads of single upstreams are requested from a fixed number of peers in rotation. The
 * number of messages of a process does not grow with the fleet.
 *
 * A parent always has a higher rendezvous score than its children. Scores do not depend on the view, so that reports
 * never form a cycle, even if the views of processes differ.
 */
import type * as chooseHome from '@eelgrasswind/choose-home'
import type * as types from '@eelgrasswind/types'

/** Settings of the report plan. */
export interface ReportSettings {
  /** Maximum number of children of a sidecar in the tree. */
  readonly fanout: number
  /** Number of peers that are asked for their own load per interval. */
  readonly peersPerInterval: number
}

export const defaultReportSettings: ReportSettings = { fanout: 8, peersPerInterval: 2 }

/** Sidecars of one availability zone in this process's view. */
export interface ZoneHosts {
  readonly availabilityZone: types.AvailabilityZoneId
  readonly hosts: readonly types.HostId[]
}

/** The report partners of one process, until the membership changes. */
export interface ReportPlan {
  /** Receives the sum of this process's subtree; undefined for the root. */
  readonly parent: types.HostId | undefined
  /** Hosts whose reports are accepted. */
  readonly children: readonly types.HostId[]
  /** Roots of the other zones of the region; empty unless this process is the root of its own. */
  readonly otherRoots: readonly types.HostId[]
  /** Peers of the zone to ask for their own load in the interval with this number. */
  readonly getPeers: (interval: number) => readonly types.HostId[]
}

/** Input of a plan. */
export interface PlanReportsOptions {
  readonly ranking: chooseHome.Rendezvous
  readonly settings: ReportSettings
  readonly self: types.HostId
  readonly own: ZoneHosts
  /** The other availability zones of the region. */
  readonly others: readonly ZoneHosts[]
}

function createTreeKey (availabilityZone: types.AvailabilityZoneId): string {
  return `reports:${availabilityZone}`
}

function findRoots (options: PlanReportsOptions): types.HostId[] {
  return options.others.flatMap((zone) => options.ranking.findBest(createTreeKey(zone.availabilityZone), zone.hosts) ?? [])
}

/** Computes the plan; call it again when the hosts of the region change. */
export function planReports (options: PlanReportsOptions): ReportPlan {
  const { ranking, settings, self, own } = options
  const hosts = own.hosts.includes(self) ? own.hosts : [...own.hosts, self]
  const ranked = ranking.rank(createTreeKey(own.availabilityZone), hosts, hosts.length)
  const index = ranked.indexOf(self)
  const firstChild = index * settings.fanout + 1
  const otherCount = ranked.length - 1
  const peerCount = Math.min(settings.peersPerInterval, otherCount)

  function getPeers (interval: number): types.HostId[] {
    return Array.from({ length: peerCount }, (_, offset) => {
      const step = 1 + (interval * peerCount + offset) % otherCount
      return ranked[(index + step) % ranked.length]!
    })
  }

  return {
    parent: index === 0 ? undefined : ranked[Math.floor((index - 1) / settings.fanout)],
    children: ranked.slice(firstChild, firstChild + settings.fanout),
    otherRoots: index === 0 ? findRoots(options) : [],
    getPeers
  }
}
