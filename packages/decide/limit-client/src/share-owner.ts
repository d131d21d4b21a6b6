/**
 * The owner's side of a client's limit. One process owns a client's limit and lends shares of its rate to the
 * processes that take the client's requests.
 *
 * Bound: under one owner, the requests taken by all holders in any `t` seconds are at most
 * `perSecond * t + 2 * burst`. A change of owner adds at most `perSecond * leaseMs / 1000 + burst` once, while
 * shares lent by the former owner run out.
 */
import type * as types from '@eelgrasswind/types'

/** A client's limit, in requests or tokens. */
export interface ClientLimit {
  readonly perSecond: number
  /** What may be taken at once after a quiet time. */
  readonly burst: number
}

/** What a holder asks for. */
export interface ShareRequest {
  readonly holder: types.HostId
  /** Rate that it has lately been asked for. */
  readonly wantedPerSecond: number
  /** What it would need at once. */
  readonly wantedCredit: number
}

/** A lease on part of the rate. */
export interface ShareGrant {
  readonly perSecond: number
  /** Most that the holder may save up. */
  readonly burst: number
  /** Added to the holder's bucket at once. */
  readonly credit: number
  /** The share ends this long after it was asked for, in milliseconds. */
  readonly leaseMs: number
}

interface Lease {
  readonly perSecond: number
  readonly expiresAt: number
}

/** Plain state of the owner; replaced, never changed. */
export interface ShareOwner {
  readonly limit: ClientLimit
  readonly leaseMs: number
  readonly leases: ReadonlyMap<types.HostId, Lease>
  /** Saved from the rate that nobody holds. */
  readonly level: number
  readonly at: number
}

export const defaultShareLeaseMs = 2_000
/** Share of the rate that a holder is lent at least while some is left, so that a first request finds it. */
const minShareFraction = 0.01

export function createShareOwner (limit: ClientLimit, now: number, leaseMs = defaultShareLeaseMs): ShareOwner {
  return { limit, leaseMs, leases: new Map(), level: limit.burst, at: now }
}

/** Answers a request for a share. The leases of all holders together never exceed the limit's rate. */
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

/** Adds what nobody held since the last change; a lease that ended meanwhile counts as held throughout. */
function refill (owner: ShareOwner, now: number): ShareOwner {
  const leasedRate = sumRates(owner.leases)
  const seconds = Math.max(0, now - owner.at) / 1000
  const free = Math.max(0, owner.limit.perSecond - leasedRate)
  return { ...owner, at: Math.max(now, owner.at), level: Math.min(owner.limit.burst, owner.level + free * seconds) }
}

/** What is wanted, up to what is free, and a fair part where more is wanted than there is. */
function computeShare (owner: ShareOwner, others: ReadonlyMap<types.HostId, Lease>, request: ShareRequest): number {
  const rate = owner.limit.perSecond
  const free = Math.max(0, rate - sumRates(others))
  const fair = rate / (others.size + 1)
  const wanted = Math.max(request.wantedPerSecond, rate * minShareFraction)
  // Room is left for the holders below their fair part to grow into.
  const maxRate = free > fair ? Math.max(fair, free / 2) : free
  return Math.min(wanted, maxRate)
}

function sumRates (leases: ReadonlyMap<types.HostId, Lease>): number {
  let sum = 0
  for (const share of leases.values()) sum += share.perSecond
  return sum
}
