/** Hosts and what the platform's host list says of them. */
import type * as ids from './ids.js'

/** What a process of the system is for. */
export type HostRole = 'entry' | 'sidecar'

/** One row of the platform's host list. */
export interface HostEntry {
  readonly host: ids.HostId
  readonly role: HostRole
  readonly region: ids.RegionId
  readonly availabilityZone: ids.AvailabilityZoneId
  /** Address of the system's process there, as `http://ip:port`. */
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** The host list as the platform last gave it; it lags. */
export interface HostList {
  readonly version: number
  readonly hosts: readonly HostEntry[]
}

/** Load of one upstream, as its engine reports it, late. */
export interface UpstreamLoad {
  readonly upstream: ids.UpstreamId
  readonly running: number
  readonly waiting: number
  /** Tokens of cached prefixes held, of the capacity. */
  readonly cacheTokens: number
  readonly cacheCapacity: number
  readonly at: ids.EpochMs
}
