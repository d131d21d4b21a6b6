/** The holder's side of a client's limit: a token bucket that refills at the rate of the leased share. */
import type * as shareOwner from './share-owner.js'

/** Immutable state of a holder; every operation returns a new object. Times are in milliseconds. */
export interface ShareHolder {
  readonly perSecond: number
  readonly burst: number
  readonly level: number
  /** End of the lease, on the holder's clock. */
  readonly expiresAt: number
  readonly at: number
  /** Amount requested from this holder since the last grant, from which the next share request is computed. */
  readonly requested: number
  readonly requestedSince: number
}

/** Whether an amount was taken. */
export type TakeResult =
  | { readonly type: 'taken' }
  /** Not taken; the holder should ask the owner for a share if `askOwner` is set. */
  | { readonly type: 'limited', readonly retryAfterMs: number, readonly askOwner: boolean }

/** The new state and the result of `takeShare`. */
export interface TakeOutcome {
  readonly holder: ShareHolder
  readonly result: TakeResult
}

/** Fraction of the lease after which the holder renews it. */
const renewAfterFraction = 0.5
/** Retry-after time while no share is held. */
const noShareRetryMs = 250

/** Creates a holder without a share. */
export function createShareHolder (now: number): ShareHolder {
  return { perSecond: 0, burst: 0, level: 0, expiresAt: now, at: now, requested: 0, requestedSince: now }
}

/** Takes an amount if the bucket contains it. */
export function takeShare (holder: ShareHolder, amount: number, now: number): TakeOutcome {
  const filled = refill(holder, now)
  const counted = { ...filled, requested: filled.requested + amount }
  if (filled.level >= amount) {
    return { holder: { ...counted, level: filled.level - amount }, result: { type: 'taken' } }
  }
  const shortfall = amount - filled.level
  const retryAfterMs = filled.perSecond > 0 ? Math.ceil(1000 * shortfall / filled.perSecond) : noShareRetryMs
  return { holder: counted, result: { type: 'limited', retryAfterMs, askOwner: true } }
}

/** Computes the rate and the credit to request from the owner. */
export function computeShareRequest (holder: ShareHolder, now: number): Pick<shareOwner.ShareRequest, 'wantedPerSecond' | 'wantedCredit'> {
  const seconds = Math.max(1, (now - holder.requestedSince) / 1000)
  const filled = refill(holder, now)
  return { wantedPerSecond: holder.requested / seconds, wantedCredit: Math.max(0, holder.requested - filled.level) }
}

/** Whether the lease should be renewed. */
export function shouldRenew (holder: ShareHolder, leaseMs: number, now: number): boolean {
  return now >= holder.expiresAt - leaseMs * renewAfterFraction
}

/** Applies a grant; `askedAt` is the time of the request, so that the lease ends at the holder before it ends at the owner. */
export function applyGrant (holder: ShareHolder, grant: shareOwner.ShareGrant, askedAt: number, now: number): ShareHolder {
  const filled = refill(holder, now)
  return {
    perSecond: grant.perSecond,
    burst: grant.burst,
    level: Math.min(filled.level, grant.burst) + grant.credit,
    expiresAt: askedAt + grant.leaseMs,
    at: now,
    requested: 0,
    requestedSince: now
  }
}

/** Refills the bucket until the end of the lease; what is left at its end is lost. */
function refill (holder: ShareHolder, now: number): ShareHolder {
  if (now >= holder.expiresAt) return { ...holder, perSecond: 0, burst: 0, level: 0, at: now }
  const seconds = Math.max(0, now - holder.at) / 1000
  const filled = holder.level + holder.perSecond * seconds
  // A credit may raise the level above the burst of the share; it is spent, but not refilled.
  const capacity = Math.max(holder.burst, holder.level)
  return { ...holder, level: Math.min(capacity, filled), at: Math.max(now, holder.at) }
}
