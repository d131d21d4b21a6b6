/**
 * Who sends load reports to whom within an availability zone, and what crosses between zones.
 *
 * Sums climb a tree over the sidecars of the zone: every sidecar reports the sum of its subtree to its parent once an
 * interval, and the answer brings the sums of all zones of the region down. Roots exchange sums with the roots of
 * the other zones. Loads of single upstreams come from a fixed number of peers, asked in rotation. Each process
 * sends and receives a number of messages that does not grow with the fleet.
 *
 * The parent always has the higher rendezvous score, which depends on no view; so reports never run in a circle,
 * even among processes whose views differ.
 */
import type * as chooseHome from '@eelgrasswind/choose-home'
import type * as types from '@eelgrasswind/types'

export interface ReportSettings {
  /** Children of one sidecar in the tree. */
  readonly fanout: number
  /** Peers asked for their own load in one interval. */
  readonly peersPerInterval: number
}

export const defaultReportSettings: ReportSettings = { fanout: 8, peersPerInterval: 2 }

/** Sidecars of one availability zone, as the view of this process has them. */
export interface ZoneHosts {
  readonly availabilityZone: types.AvailabilityZoneId
  readonly hosts: readonly types.HostId[]
}

/** The messages of one process, as long as the membership stays. */
export interface ReportPlan {
  /** Gets the sum of this process's subtree; undefined for the root. */
  readonly parent: types.HostId | undefined
  /** Only reports of these count. */
  readonly children: readonly types.HostId[]
  /** Roots of the other zones of the region; empty unless this process is the root of its own. */
  readonly otherRoots: readonly types.HostId[]
  /** Peers of the zone to ask for their own load in an interval, counted from any common origin. */
  readonly getPeers: (interval: number) => readonly types.HostId[]
}

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

/** Works out the plan; call it again when the hosts of the region change. */
export function planReports (options: PlanReportsOptions): ReportPlan {
  const { ranking, settings, self, own } = options
  const hosts = own.hosts.includes(self) ? own.hosts : [...own.hosts, self]
  const ranked = ranking.rank(createTreeKey(own.availabilityZone), hosts, hosts.length)
  const index = ranked.indexOf(self)
  const firstChild = index * settings.fanout + 1
  const others = ranked.length - 1
  const peerCount = Math.min(settings.peersPerInterval, others)

  function getPeers (interval: number): types.HostId[] {
    return Array.from({ length: peerCount }, (_, offset) => {
      const step = 1 + (interval * peerCount + offset) % others
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
