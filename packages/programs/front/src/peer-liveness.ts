/**
 * Tells from the load reports of the peers which of them are alive. A report needs no connection: a host whose accept queue
 * is full, so that it takes no connection, still sends it.
 */
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `PeerLiveness`. */
export interface PeerLivenessPorts {
  /** Time since the last report of a peer, in ms; infinite if it has sent none lately. */
  readonly getReportAgeMs: (address: string, now: number) => number
  readonly timers: Pick<timerService.TimerService, 'monotonic'>
}

/** A peer that has reported within this time, in ms, is alive: reports are up to 1.2 s apart, and a busy process sends them late. */
const aliveMs = 2_000
/** Within this time, in ms, a process that is connected to its peers hears from more than half of them. */
const connectedMs = 800
/** Share of the reporting peers that a process which is connected to most of them hears from within that time. */
const minHeardShare = 0.25

/** Passive evidence on peers, which costs them nothing. */
export class PeerLiveness {
  constructor (private readonly ports: PeerLivenessPorts) {}

  /** Whether the peer has reported lately. */
  isAlive (address: string): boolean {
    return this.getReportAgeMs(address) < aliveMs
  }

  /** Whether the peer has reported before, and does not any more. */
  hasFallenSilent (address: string): boolean {
    const ageMs = this.getReportAgeMs(address)
    return ageMs >= aliveMs && ageMs < Infinity
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
