/** The owner of clients' limits: grants leases on shares of a limit to entries. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Idle time after which the state of a limit is deleted, in milliseconds; far longer than any lease. */
const maxIdleMs = 60_000

type LimitKey = `${types.ClientId}/${types.LimitName}`

/** State of the limits that this process owns, by client and limit. */
export class ShareLender implements sidecarClient.LimitHandlers {
  private readonly owners = new Map<LimitKey, limitClient.ShareOwner>()
  private readonly expiryTimer: timerService.Subscription

  constructor (private readonly getConfig: () => configState.Config | undefined, private readonly timers: timerService.TimerService) {
    this.expiryTimer = timers.every(maxIdleMs, () => this.deleteIdle())
  }

  readonly borrowShare = async (request: types.ShareRequest): Promise<errors.Result<types.ShareLease>> => {
    const client = this.getConfig()?.clients.get(request.client)
    if (client === undefined) return errors.fail({ tag: 'unknownTarget', verdict: 'notRun', message: `client ${request.client} is not in the configuration`, field: 'client' })
    const limit = limitClient.getClientLimit(client, request.limit)
    const now = this.timers.monotonic()
    const key: LimitKey = `${request.client}/${request.limit}`
    const { owner, grant } = limitClient.grantShare(this.getOwner(key, limit, now), request, now)
    this.owners.set(key, owner)
    return errors.ok(grant)
  }

  /** A limit that has changed takes effect with the next lease of each holder. */
  private getOwner (key: LimitKey, limit: limitClient.ClientLimit, now: number): limitClient.ShareOwner {
    const current = this.owners.get(key)
    if (current === undefined) return limitClient.createShareOwner(limit, now)
    const isUnchanged = current.limit.perSecond === limit.perSecond && current.limit.burst === limit.burst
    return isUnchanged ? current : { ...current, limit }
  }

  private deleteIdle (): void {
    const idleBefore = this.timers.monotonic() - maxIdleMs
    for (const [key, owner] of this.owners) {
      if (owner.at < idleBefore) this.owners.delete(key)
    }
  }

  close (): void {
    this.expiryTimer.cancel()
  }
}
