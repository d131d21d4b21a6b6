/** Enforces clients' limits in an entry: takes requests from the share leased from the owner of the limit, and renews the lease. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as processBase from '@eelgrasswind/process-base'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Dependencies of the limits. */
export interface ClientLimitsDeps {
  readonly self: types.HostId
  readonly timers: timerService.TimerService
  readonly getConfig: () => configState.Config | undefined
  readonly onLimited: () => void
  readonly directory: Pick<processBase.HostDirectory, 'findOwner' | 'callPeer' | 'listHosts'>
}

type LimitKey = `${types.ClientId}/${types.LimitName}`

/** Idle time after which a holder is removed once there are too many, in milliseconds. */
const maxIdleMs = 60_000
/** Number of holders above which idle ones are removed. */
const cleanupThreshold = 10_000
/** Maximum number of renewals that one request waits for. */
const maxRenewals = 2

/** The shares of clients' limits that this entry holds. */
export class ClientLimits {
  private readonly holders = new Map<LimitKey, limitClient.ShareHolder>()
  private readonly renewals = new Map<LimitKey, Promise<void>>()
  /** Number of requests that wait for an answer of the owner. */
  private readonly waitingCounts = new Map<LimitKey, number>()

  constructor (private readonly deps: ClientLimitsDeps) {}

  /** Takes one request from a client's limit; the failure is notRun and has a retry-after time. */
  async take (client: types.ClientId, limit: types.LimitName): Promise<errors.Result<void>> {
    const key: LimitKey = `${client}/${limit}`
    const result = this.tryTake(key)
    if (result.type === 'taken') {
      if (this.isRenewalDue(key)) void this.renew(key, client, limit)
      return errors.ok(undefined)
    }
    return await this.takeAfterRenewal(key, client, limit)
  }

  /** The renewal that a request joins may have been sent before the request arrived, so the request waits for a second one. */
  private async takeAfterRenewal (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<errors.Result<void>> {
    this.waitingCounts.set(key, (this.waitingCounts.get(key) ?? 0) + 1)
    try {
      for (let renewalCount = 1; ; renewalCount += 1) {
        await this.renew(key, client, limit)
        const result = this.tryTake(key)
        if (result.type === 'taken') return errors.ok(undefined)
        if (renewalCount < maxRenewals) continue
        this.deps.onLimited()
        return errors.fail({ tag: 'clientLimited', verdict: 'notRun', message: `client ${client} is over its limit of ${limit}`, retryAfterMs: result.retryAfterMs })
      }
    } finally {
      this.decrementWaiting(key)
    }
  }

  private decrementWaiting (key: LimitKey): void {
    const remaining = (this.waitingCounts.get(key) ?? 1) - 1
    if (remaining > 0) this.waitingCounts.set(key, remaining)
    else this.waitingCounts.delete(key)
  }

  private tryTake (key: LimitKey): limitClient.TakeResult {
    const now = this.deps.timers.monotonic()
    const { holder, result } = limitClient.takeShare(this.getHolder(key, now), 1, now)
    this.holders.set(key, holder)
    return result
  }

  private getHolder (key: LimitKey, now: number): limitClient.ShareHolder {
    if (this.holders.size > cleanupThreshold) this.removeIdleHolders(now)
    return this.holders.get(key) ?? limitClient.createShareHolder(now)
  }

  private removeIdleHolders (now: number): void {
    for (const [key, holder] of this.holders) {
      if (now - holder.at > maxIdleMs) this.holders.delete(key)
    }
  }

  private isRenewalDue (key: LimitKey): boolean {
    const holder = this.holders.get(key)
    return holder !== undefined && limitClient.shouldRenew(holder, limitClient.defaultShareLeaseMs, this.deps.timers.monotonic())
  }

  /** Renews the share of a limit; each limit has at most one renewal in flight. */
  private async renew (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<void> {
    const pending = this.renewals.get(key) ?? this.requestShare(key, client, limit).finally(() => this.renewals.delete(key))
    this.renewals.set(key, pending)
    await pending
  }

  private async requestShare (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<void> {
    const { timers, directory, self } = this.deps
    const askedAt = timers.monotonic()
    const holder = this.getHolder(key, askedAt)
    const wanted = limitClient.computeShareRequest(holder, askedAt)
    const wantedCredit = Math.max(wanted.wantedCredit, this.waitingCounts.get(key) ?? 0)
    const request = { client, limit, holder: self, ...wanted, wantedCredit }
    const owner = directory.findOwner({ type: 'clientLimit', client })
    const lease = owner === undefined ? undefined : await directory.callPeer(owner, (peer) => peer.borrowShare(request))
    const grant = lease?.ok === true ? lease.value : this.computeEqualShare(client, limit)
    if (grant === undefined) return
    const now = timers.monotonic()
    this.holders.set(key, limitClient.applyGrant(this.getHolder(key, now), grant, askedAt, now))
  }

  /** Share while the owner can't be reached: an equal one for each entry, so that together they stay within the limit. */
  private computeEqualShare (client: types.ClientId, limit: types.LimitName): types.ShareLease | undefined {
    const configured = this.deps.getConfig()?.clients.get(client)
    if (configured === undefined) return undefined
    const { perSecond, burst } = limitClient.getClientLimit(configured, limit)
    const entryCount = Math.max(1, [...this.deps.directory.listHosts()].filter(({ entry, state }) => entry.role === 'entry' && state !== 'gone').length)
    return { perSecond: perSecond / entryCount, burst: burst / entryCount, credit: 0, leaseMs: limitClient.defaultShareLeaseMs }
  }
}
