/**
 * Tells from the load reports of the peers which of them are alive. A report needs no connection: a host whose accept queue
 * is full, so that it takes no connection, still sends it.
 */
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `PeerLiveness`. */
export interface PeerLivenessPorts {
  /** Time since the last report of a peer, in ms; infinite if it has sent none lately. */
  readonly getReportAgeMs: (address: string, now: number) => number
  /** Whether the peer owns shards, as far as this process knows, so that it renews its lease. */
  readonly isMember: (address: string) => boolean
  readonly timers: Pick<timerService.TimerService, 'monotonic'>
}

/** A member is alive for this long after its last report, in ms: reports are up to 1.2 s apart, and one of them may be lost. */
const memberAliveMs = 2_500
/** The same for a peer that owns no shard, in ms: its lease may have run out since. */
const otherAliveMs = 1_400
/** Within this time, in ms, a process that is connected to its peers hears from at least the share of them below. */
const connectedMs = 800
const minHeardShare = 0.25

/** Passive evidence on peers, which costs them nothing. */
export class PeerLiveness {
  constructor (private readonly ports: PeerLivenessPorts) {}

  /** Whether the peer has reported lately. One that has never reported to this process goes by its lease. */
  isAlive (address: string): boolean {
    const ageMs = this.getReportAgeMs(address)
    if (ageMs === Infinity) return this.ports.isMember(address)
    return ageMs < (this.ports.isMember(address) ? memberAliveMs : otherAliveMs)
  }

  /** Whether the peer has reported before, and does not any more. */
  hasFallenSilent (address: string): boolean {
    return this.getReportAgeMs(address) < Infinity && !this.isAlive(address)
  }

  /** Whether enough of these peers, of those that report to this process, were heard just now. */
  hearsEnough (peers: readonly string[]): boolean {
    const ages = peers.map((address) => this.getReportAgeMs(address)).filter((ageMs) => ageMs < Infinity)
    const heardCount = ages.filter((ageMs) => ageMs < connectedMs).length
    return heardCount > 0 && heardCount >= ages.length * minHeardShare
  }

  private getReportAgeMs (address: string): number {
    return this.ports.getReportAgeMs(address, this.ports.timers.monotonic())
  }
}
