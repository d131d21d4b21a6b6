/** The holder's side of a client's limit: a token bucket filled at the rate of the share it was lent. */
import type * as shareOwner from './share-owner.js'

/** Plain state of a holder; replaced, never changed. */
export interface ShareHolder {
  readonly perSecond: number
  readonly burst: number
  readonly level: number
  /** When the share ends, on the holder's clock, in milliseconds. */
  readonly expiresAt: number
  readonly at: number
  /** Requested of this holder since the last grant, to be asked for next. */
  readonly requested: number
  readonly requestedSince: number
}

export type TakeResult =
  | { readonly type: 'taken' }
  /** Not run; the holder should ask the owner when `askOwner` is set. */
  | { readonly type: 'limited', readonly retryAfterMs: number, readonly askOwner: boolean }

export interface TakeOutcome {
  readonly holder: ShareHolder
  readonly result: TakeResult
}

/** Part of a lease after which the holder asks for the next one. */
const renewAfterFraction = 0.5
/** Time to come back while no share is held. */
const noShareRetryMs = 250

export function createShareHolder (now: number): ShareHolder {
  return { perSecond: 0, burst: 0, level: 0, expiresAt: now, at: now, requested: 0, requestedSince: now }
}

/** Takes an amount if the bucket has it. */
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

/** What to ask the owner for now. */
export function computeShareRequest (holder: ShareHolder, now: number): Pick<shareOwner.ShareRequest, 'wantedPerSecond' | 'wantedCredit'> {
  const seconds = Math.max(1, (now - holder.requestedSince) / 1000)
  const filled = refill(holder, now)
  return { wantedPerSecond: holder.requested / seconds, wantedCredit: Math.max(0, holder.requested - filled.level) }
}

/** Whether the share should be asked for again. */
export function shouldRenew (holder: ShareHolder, leaseMs: number, now: number): boolean {
  return now >= holder.expiresAt - leaseMs * renewAfterFraction
}

/** Takes over a grant; `askedAt` is when it was asked for, so that the lease ends here before it ends at the owner. */
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

/** Fills the bucket up to the end of the share; what is left when it ends is lost. */
function refill (holder: ShareHolder, now: number): ShareHolder {
  if (now >= holder.expiresAt) return { ...holder, perSecond: 0, burst: 0, level: 0, at: now }
  const seconds = Math.max(0, now - holder.at) / 1000
  const filled = holder.level + holder.perSecond * seconds
  // A credit may lift the level above the share's own burst; it is used up, not refilled.
  const capacity = Math.max(holder.burst, holder.level)
  return { ...holder, level: Math.min(capacity, filled), at: Math.max(now, holder.at) }
}
