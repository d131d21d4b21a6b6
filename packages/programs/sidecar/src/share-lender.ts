/** The owner's side of clients' limits: lends shares to the entries that ask. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** An owner that nobody asked for so long is forgotten, in milliseconds; far longer than any lease. */
const forgetAfterMs = 60_000

type LimitKey = `${types.ClientId}/${types.LimitName}`

export class ShareLender implements sidecarClient.LimitHandlers {
  private readonly owners = new Map<LimitKey, limitClient.ShareOwner>()
  private readonly forgetting: timerService.Subscription

  constructor (private readonly config: () => configState.Config | undefined, private readonly timers: timerService.TimerService) {
    this.forgetting = timers.every(forgetAfterMs, () => this.forgetOld())
  }

  readonly borrowShare = async (wish: types.ShareRequest): Promise<errors.Result<types.ShareLease>> => {
    const client = this.config()?.clients.get(wish.client)
    if (client === undefined) return errors.fail({ tag: 'unknownTarget', verdict: 'notRun', message: `client ${wish.client} is not in the configuration`, field: 'client' })
    const limit = limitClient.getClientLimit(client, wish.limit)
    const now = this.timers.monotonic()
    const key: LimitKey = `${wish.client}/${wish.limit}`
    const { owner, grant } = limitClient.grantShare(this.ownerOf(key, limit, now), wish, now)
    this.owners.set(key, owner)
    return errors.ok(grant)
  }

  /** A limit that has changed takes effect with the next lease of each holder. */
  private ownerOf (key: LimitKey, limit: limitClient.ClientLimit, now: number): limitClient.ShareOwner {
    const known = this.owners.get(key)
    if (known === undefined) return limitClient.createShareOwner(limit, now)
    const same = known.limit.perSecond === limit.perSecond && known.limit.burst === limit.burst
    return same ? known : { ...known, limit }
  }

  private forgetOld (): void {
    const before = this.timers.monotonic() - forgetAfterMs
    for (const [key, owner] of this.owners) {
      if (owner.at < before) this.owners.delete(key)
    }
  }

  close (): void {
    this.forgetting.cancel()
  }
}
