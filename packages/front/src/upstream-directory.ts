/** Keeps the list of upstreams as the store tells it, through outages of the store. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** What the directory needs from its process. */
export interface DirectoryPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly decode: (key: string, value: Uint8Array) => trackUpstreams.ListedUpstream
  /** Time since the store came back from an outage, in ms; infinite where there was none. */
  readonly sinceReturnMs: () => number
}

/** Entries that lapsed while the store was away have this long to return, in ms; the store's users promise about two seconds. */
const returnGraceMs = 2_500

/** Applies the changes of the list, but gives entries that an outage removed time to return. */
export class UpstreamDirectory {
  private readonly missing = new Map<types.UpstreamId, timerService.Subscription>()
  private complete = false

  constructor (private readonly ports: DirectoryPorts) {}

  /** True once the whole list was read. */
  get known (): boolean {
    return this.complete
  }

  /** The whole list: what it lacks is gone. */
  replace (found: ReadonlyMap<string, Uint8Array>): void {
    for (const [key, value] of found) this.put(key, value)
    for (const { listed } of [...this.ports.upstreams.all()]) {
      if (!found.has(listed.id)) this.remove(listed.id)
    }
    this.complete = true
  }

  put (key: string, value: Uint8Array): void {
    const { upstreams, decisions, decode } = this.ports
    let listed: trackUpstreams.ListedUpstream
    try {
      listed = decode(key, value)
    } catch (err) {
      decisions.note({ event: 'upstreamUnreadable', key, err })
      return
    }
    this.keep(listed.id)
    const known = upstreams.get(listed.id)
    upstreams.put(listed)
    if (known !== undefined && known.listed.leaving === listed.leaving) return
    decisions.note({ event: 'upstream', upstream: listed.id, service: listed.service, address: listed.address, leaving: listed.leaving })
  }

  remove (key: string): void {
    const id = key as types.UpstreamId
    const { upstreams, timers, decisions, sinceReturnMs } = this.ports
    if (upstreams.get(id) === undefined || this.missing.has(id)) return
    const graceMs = Math.max(0, returnGraceMs - sinceReturnMs())
    decisions.note({ event: 'upstreamGone', upstream: id, graceMs: Math.round(graceMs) })
    if (graceMs === 0) {
      upstreams.remove(id)
      return
    }
    this.missing.set(id, timers.after(graceMs, () => {
      this.missing.delete(id)
      upstreams.remove(id)
    }))
  }

  private keep (id: types.UpstreamId): void {
    this.missing.get(id)?.cancel()
    this.missing.delete(id)
  }
}
