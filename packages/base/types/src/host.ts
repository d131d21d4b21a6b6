/** Hosts, the platform's host list and the load of upstreams. */
import type * as ids from './ids.js'

/** Role of a process in the system. */
export type HostRole = 'entry' | 'sidecar'

/** One entry of the platform's host list. */
export interface HostEntry {
  readonly host: ids.HostId
  readonly role: HostRole
  readonly region: ids.RegionId
  readonly availabilityZone: ids.AvailabilityZoneId
  /** Address of the system's process on the host, as `http://ip:port`. */
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** The host list as last read from the platform; it may be out of date. */
export interface HostList {
  readonly version: number
  readonly hosts: readonly HostEntry[]
}

/** Load of one upstream as last reported by its engine; it may be out of date. */
export interface UpstreamLoad {
  readonly upstream: ids.UpstreamId
  readonly running: number
  readonly waiting: number
  /** Tokens of the prefixes in the engine's cache, whose capacity is `cacheCapacity` tokens. */
  readonly cacheTokens: number
  readonly cacheCapacity: number
  readonly at: ids.EpochMs
}
