/**
 * The owner's side of a client's limit. One process owns a client's limit and leases shares of its rate to the
 * processes that accept the client's requests.
 *
 * Bound: under one owner, the requests taken by all holders in any `t` seconds are at most
 * `perSecond * t + 2 * burst`. A change of owner adds at most `perSecond * leaseMs / 1000 + burst` once, until the
 * leases of the former owner expire.
 */
import type * as types from '@eelgrasswind/types'

/** A client's limit, in requests or tokens. */
export interface ClientLimit {
  readonly perSecond: number
  /** Amount that may be taken at once after an idle time. */
  readonly burst: number
}

/** A holder's request for a share. */
export interface ShareRequest {
  readonly holder: types.HostId
  /** Rate of recent requests at the holder. */
  readonly wantedPerSecond: number
  /** Amount needed immediately. */
  readonly wantedCredit: number
}

/** A lease of a part of the rate. */
export interface ShareGrant {
  readonly perSecond: number
  /** Capacity of the holder's bucket. */
  readonly burst: number
  /** Amount added to the holder's bucket immediately. */
  readonly credit: number
  /** The lease ends this long after the request, in milliseconds. */
  readonly leaseMs: number
}

interface Lease {
  readonly perSecond: number
  readonly expiresAt: number
}

/** Immutable state of the owner; every operation returns a new object. Times are in milliseconds. */
export interface ShareOwner {
  readonly limit: ClientLimit
  readonly leaseMs: number
  readonly leases: ReadonlyMap<types.HostId, Lease>
  /** Amount accumulated from the part of the rate that is not leased. */
  readonly level: number
  readonly at: number
}

/** Default length of a lease, in milliseconds. */
export const defaultShareLeaseMs = 2_000
/** Minimum share of the rate that is leased to a holder while some is left, so that a first request can be accepted. */
const minShareFraction = 0.01

/** Creates an owner with a full bucket and no leases. */
export function createShareOwner (limit: ClientLimit, now: number, leaseMs = defaultShareLeaseMs): ShareOwner {
  return { limit, leaseMs, leases: new Map(), level: limit.burst, at: now }
}

/** Grants a lease. The leases of all holders together never exceed the limit's rate. */
export function grantShare (owner: ShareOwner, request: ShareRequest, now: number): { readonly owner: ShareOwner, readonly grant: ShareGrant } {
  const filled = refill(owner, now)
  const others = new Map([...filled.leases].filter(([holder, lease]) => holder !== request.holder && lease.expiresAt > now))
  const perSecond = computeShare(filled, others, request)
  const credit = Math.max(0, Math.min(filled.level, request.wantedCredit))
  const leases = new Map(others).set(request.holder, { perSecond, expiresAt: now + filled.leaseMs })
  return {
    owner: { ...filled, leases, level: filled.level - credit },
    grant: {
      perSecond,
      burst: filled.limit.burst * perSecond / filled.limit.perSecond,
      credit,
      leaseMs: filled.leaseMs
    }
  }
}

/** Adds what was not leased since the last update; a lease that expired in between counts as held the whole time. */
function refill (owner: ShareOwner, now: number): ShareOwner {
  const leasedRate = sumRates(owner.leases)
  const seconds = Math.max(0, now - owner.at) / 1000
  const freeRate = Math.max(0, owner.limit.perSecond - leasedRate)
  return { ...owner, at: Math.max(now, owner.at), level: Math.min(owner.limit.burst, owner.level + freeRate * seconds) }
}

/** Computes the rate to lease: the wanted rate up to what is free, or a fair share if more is wanted than available. */
function computeShare (owner: ShareOwner, others: ReadonlyMap<types.HostId, Lease>, request: ShareRequest): number {
  const rate = owner.limit.perSecond
  const freeRate = Math.max(0, rate - sumRates(others))
  const fairShare = rate / (others.size + 1)
  const wanted = Math.max(request.wantedPerSecond, rate * minShareFraction)
  // Leaves a part of the rate free for holders that are below their fair share.
  const maxRate = freeRate > fairShare ? Math.max(fairShare, freeRate / 2) : freeRate
  return Math.min(wanted, maxRate)
}

function sumRates (leases: ReadonlyMap<types.HostId, Lease>): number {
  let sum = 0
  for (const share of leases.values()) sum += share.perSecond
  return sum
}
