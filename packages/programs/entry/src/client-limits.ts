/** The holder's side of clients' limits: takes from the share that the owner lent, and asks for more. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as processBase from '@eelgrasswind/process-base'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

export interface ClientLimitsDeps {
  readonly self: types.HostId
  readonly timers: timerService.TimerService
  readonly config: () => configState.Config | undefined
  readonly onLimited: () => void
  readonly directory: Pick<processBase.HostDirectory, 'findOwner' | 'callPeer' | 'listHosts'>
}

type LimitKey = `${types.ClientId}/${types.LimitName}`

/** A holder unused for so long is forgotten once there are many, in milliseconds. */
const idleMs = 60_000
const manyHolders = 10_000
/** Questions to the owner that one request waits for. */
const maxQuestions = 2

export class ClientLimits {
  private readonly holders = new Map<LimitKey, limitClient.ShareHolder>()
  private readonly renewals = new Map<LimitKey, Promise<void>>()
  /** Requests that wait for an answer of the owner. */
  private readonly waiting = new Map<LimitKey, number>()

  constructor (private readonly deps: ClientLimitsDeps) {}

  /** Takes one request from a client's limit; the failure is notRun and says when to come back. */
  async take (client: types.ClientId, limit: types.LimitName): Promise<errors.Result<void>> {
    const key: LimitKey = `${client}/${limit}`
    const first = this.takeNow(key)
    if (first.type === 'taken') {
      if (this.isDue(key)) void this.renew(key, client, limit)
      return errors.ok(undefined)
    }
    return await this.takeWithOwner(key, client, limit)
  }

  /** The question that a request joins may have gone out before the request came, so it asks a second time. */
  private async takeWithOwner (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<errors.Result<void>> {
    this.waiting.set(key, (this.waiting.get(key) ?? 0) + 1)
    try {
      for (let questions = 1; ; questions += 1) {
        await this.renew(key, client, limit)
        const result = this.takeNow(key)
        if (result.type === 'taken') return errors.ok(undefined)
        if (questions < maxQuestions) continue
        this.deps.onLimited()
        return errors.fail({ tag: 'clientLimited', verdict: 'notRun', message: `client ${client} is over its limit of ${limit}`, retryAfterMs: result.retryAfterMs })
      }
    } finally {
      this.stopWaiting(key)
    }
  }

  private stopWaiting (key: LimitKey): void {
    const left = (this.waiting.get(key) ?? 1) - 1
    if (left > 0) this.waiting.set(key, left)
    else this.waiting.delete(key)
  }

  private takeNow (key: LimitKey): limitClient.TakeResult {
    const now = this.deps.timers.monotonic()
    const { holder, result } = limitClient.takeShare(this.holderOf(key, now), 1, now)
    this.holders.set(key, holder)
    return result
  }

  private holderOf (key: LimitKey, now: number): limitClient.ShareHolder {
    if (this.holders.size > manyHolders) this.forgetIdle(now)
    return this.holders.get(key) ?? limitClient.createShareHolder(now)
  }

  private forgetIdle (now: number): void {
    for (const [key, holder] of this.holders) {
      if (now - holder.at > idleMs) this.holders.delete(key)
    }
  }

  private isDue (key: LimitKey): boolean {
    const holder = this.holders.get(key)
    return holder !== undefined && limitClient.shouldRenew(holder, limitClient.defaultShareLeaseMs, this.deps.timers.monotonic())
  }

  /** One question to the owner at a time for each limit. */
  private async renew (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<void> {
    const pending = this.renewals.get(key) ?? this.askOwner(key, client, limit).finally(() => this.renewals.delete(key))
    this.renewals.set(key, pending)
    await pending
  }

  private async askOwner (key: LimitKey, client: types.ClientId, limit: types.LimitName): Promise<void> {
    const { timers, directory, self } = this.deps
    const askedAt = timers.monotonic()
    const holder = this.holderOf(key, askedAt)
    const wanted = limitClient.computeShareRequest(holder, askedAt)
    const wantedCredit = Math.max(wanted.wantedCredit, this.waiting.get(key) ?? 0)
    const wish = { client, limit, holder: self, ...wanted, wantedCredit }
    const owner = directory.findOwner({ type: 'clientLimit', client })
    const lease = owner === undefined ? undefined : await directory.callPeer(owner, (peer) => peer.borrowShare(wish))
    const grant = lease?.ok === true ? lease.value : this.equalPart(client, limit)
    if (grant === undefined) return
    const now = timers.monotonic()
    this.holders.set(key, limitClient.applyGrant(this.holderOf(key, now), grant, askedAt, now))
  }

  /** While the owner can't be reached, each entry takes the same part; together they stay within the limit. */
  private equalPart (client: types.ClientId, limit: types.LimitName): types.ShareLease | undefined {
    const configured = this.deps.config()?.clients.get(client)
    if (configured === undefined) return undefined
    const { perSecond, burst } = limitClient.getClientLimit(configured, limit)
    const entries = Math.max(1, [...this.deps.directory.listHosts()].filter(({ entry, state }) => entry.role === 'entry' && state !== 'gone').length)
    return { perSecond: perSecond / entries, burst: burst / entries, credit: 0, leaseMs: limitClient.defaultShareLeaseMs }
  }
}
