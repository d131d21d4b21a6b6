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
  readonly sinceRecoveryMs: () => number
}

/** Entries that lapsed while the store was away have this long to return, in ms; the store's users promise about two seconds. */
const returnGraceMs = 2_500

/** Unreadable entries that are remembered; some thousand times what was ever seen at once. */
const mostUnreadable = 1_000

/** Applies the changes of the list, but gives entries that an outage removed time to return. Keys are those of the list. */
export class UpstreamDirectory {
  private readonly missing = new Map<string, timerService.Subscription>()
  /** The incarnation that each entry names. */
  private readonly incarnations = new Map<string, types.UpstreamId>()
  /** Why the entries that can't be read can't, so that each is told once. */
  private readonly unreadable = new Map<string, string>()
  private complete = false

  constructor (private readonly ports: DirectoryPorts) {}

  /** True once the whole list was read. */
  get isLoaded (): boolean {
    return this.complete
  }

  /** The whole list: what it lacks is gone. */
  replace (found: ReadonlyMap<string, Uint8Array>): void {
    for (const [key, value] of found) this.put(key, value)
    for (const key of [...this.incarnations.keys()]) {
      if (!found.has(key)) this.remove(key)
    }
    this.complete = true
  }

  put (key: string, value: Uint8Array): void {
    const listed = this.decode(key, value)
    if (listed === undefined) return
    this.keep(key)
    const { upstreams, decisions } = this.ports
    const former = this.incarnations.get(key)
    if (former !== undefined && former !== listed.id) this.forget(key)
    const known = upstreams.get(listed.id)
    upstreams.put(listed)
    this.incarnations.set(key, listed.id)
    if (known !== undefined && known.listed.leaving === listed.leaving) return
    decisions.note({ event: 'upstream', upstream: listed.id, service: listed.service, address: listed.address, leaving: listed.leaving })
  }

  remove (key: string): void {
    this.unreadable.delete(key)
    const id = this.incarnations.get(key)
    const { timers, decisions, sinceRecoveryMs: sinceReturnMs } = this.ports
    if (id === undefined || this.missing.has(key)) return
    const graceMs = Math.max(0, returnGraceMs - sinceReturnMs())
    decisions.note({ event: 'upstreamGone', upstream: id, graceMs: Math.round(graceMs) })
    if (graceMs === 0) {
      this.forget(key)
      return
    }
    this.missing.set(key, timers.after(graceMs, () => {
      this.missing.delete(key)
      this.forget(key)
    }))
  }

  /** An entry that can't be read names no upstream to use, whatever it named before; the others hold. */
  private decode (key: string, value: Uint8Array): trackUpstreams.ListedUpstream | undefined {
    try {
      const listed = this.ports.decode(key, value)
      this.unreadable.delete(key)
      return listed
    } catch (err) {
      this.keep(key)
      this.forget(key)
      this.tellUnreadable(key, err)
      return undefined
    }
  }

  private tellUnreadable (key: string, err: unknown): void {
    const reason = String(err)
    if (this.unreadable.get(key) === reason) return
    if (this.unreadable.size >= mostUnreadable) this.unreadable.clear()
    this.unreadable.set(key, reason)
    this.ports.decisions.note({ event: 'upstreamUnreadable', key, err })
  }

  private forget (key: string): void {
    const id = this.incarnations.get(key)
    if (id === undefined) return
    this.incarnations.delete(key)
    this.ports.upstreams.remove(id)
  }

  private keep (key: string): void {
    this.missing.get(key)?.cancel()
    this.missing.delete(key)
  }
}
