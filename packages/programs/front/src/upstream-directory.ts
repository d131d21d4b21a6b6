/** Maintains the list of upstreams from its entries in the store, also through outages of the store. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** Dependencies of `UpstreamDirectory`. */
export interface DirectoryPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Throws if the value is not a valid entry. */
  readonly decode: (key: string, value: Uint8Array) => trackUpstreams.ListedUpstream
  /** Time since the store recovered from an outage, in ms; infinite if there was none. */
  readonly sinceRecoveryMs: () => number
}

/** Grace period for entries that expired during an outage of the store to be written again, in ms; their writers promise about two seconds. */
const recoveryGraceMs = 2_500

/** Maximum number of unreadable entries that are remembered: some thousand times the number that was ever seen at once. */
const maxUnreadableEntries = 1_000

/** Applies changes of the list, with a grace period for entries that an outage removed. Keys are those of the entries. */
export class UpstreamDirectory {
  private readonly pendingRemovals = new Map<string, timerService.Subscription>()
  /** The upstream incarnation that each entry names. */
  private readonly incarnations = new Map<string, types.UpstreamId>()
  /** The error of each entry that can't be decoded, so that each is logged once. */
  private readonly decodeErrors = new Map<string, string>()
  private hasLoaded = false

  constructor (private readonly ports: DirectoryPorts) {}

  /** True once the complete list has been read. */
  get isLoaded (): boolean {
    return this.hasLoaded
  }

  /** Applies the complete list: entries that it lacks are removed. */
  replace (entries: ReadonlyMap<string, Uint8Array>): void {
    for (const [key, value] of entries) this.put(key, value)
    for (const key of [...this.incarnations.keys()]) {
      if (!entries.has(key)) this.remove(key)
    }
    this.hasLoaded = true
  }

  put (key: string, value: Uint8Array): void {
    const listed = this.decode(key, value)
    if (listed === undefined) return
    this.cancelRemoval(key)
    const { upstreams, decisions } = this.ports
    const previousId = this.incarnations.get(key)
    if (previousId !== undefined && previousId !== listed.id) this.removeNow(key)
    const existing = upstreams.get(listed.id)
    upstreams.put(listed)
    this.incarnations.set(key, listed.id)
    if (existing !== undefined && existing.listed.leaving === listed.leaving) return
    decisions.record({ event: 'upstream', upstream: listed.id, service: listed.service, address: listed.address, leaving: listed.leaving })
  }

  remove (key: string): void {
    this.decodeErrors.delete(key)
    const id = this.incarnations.get(key)
    const { timers, decisions, sinceRecoveryMs } = this.ports
    if (id === undefined || this.pendingRemovals.has(key)) return
    const graceMs = Math.max(0, recoveryGraceMs - sinceRecoveryMs())
    decisions.record({ event: 'upstreamGone', upstream: id, graceMs: Math.round(graceMs) })
    if (graceMs === 0) {
      this.removeNow(key)
      return
    }
    this.pendingRemovals.set(key, timers.after(graceMs, () => {
      this.pendingRemovals.delete(key)
      this.removeNow(key)
    }))
  }

  /** An entry that can't be decoded removes the upstream that it named before; other entries are unaffected. */
  private decode (key: string, value: Uint8Array): trackUpstreams.ListedUpstream | undefined {
    try {
      const listed = this.ports.decode(key, value)
      this.decodeErrors.delete(key)
      return listed
    } catch (err) {
      this.cancelRemoval(key)
      this.removeNow(key)
      this.logUnreadable(key, err)
      return undefined
    }
  }

  private logUnreadable (key: string, err: unknown): void {
    const reason = String(err)
    if (this.decodeErrors.get(key) === reason) return
    if (this.decodeErrors.size >= maxUnreadableEntries) this.decodeErrors.clear()
    this.decodeErrors.set(key, reason)
    this.ports.decisions.record({ event: 'upstreamUnreadable', key, err })
  }

  private removeNow (key: string): void {
    const id = this.incarnations.get(key)
    if (id === undefined) return
    this.incarnations.delete(key)
    this.ports.upstreams.remove(id)
  }

  private cancelRemoval (key: string): void {
    this.pendingRemovals.get(key)?.cancel()
    this.pendingRemovals.delete(key)
  }
}
