/** Checks whether a peer is alive, once for all requests that wait for it. */

import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `PeerProbe`. */
export interface PeerProbePorts {
  /** Whether a peer answers within the ping timeout. */
  readonly ping: (address: string) => Promise<boolean>
  /** Opens a connection to a peer. Its host accepts it whether or not the process is busy. */
  readonly connect: (address: string) => Promise<sendHttp.ConnectionProbe>
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Requests that wait for the same peer share one probe. */
export class PeerProbe {
  private readonly pendingProbes = new Map<string, Promise<boolean>>()

  constructor (private readonly ports: PeerProbePorts) {}

  /** Whether the peer answers; pings it a second time before it returns false, since a busy process may miss one ping. */
  async isAlive (address: string): Promise<boolean> {
    const pendingProbe = this.pendingProbes.get(address)
    if (pendingProbe !== undefined) return pendingProbe
    const answer = this.pingTwice(address)
    this.pendingProbes.set(address, answer)
    const isAlive = await answer
    this.pendingProbes.delete(address)
    return isAlive
  }

  private async pingTwice (address: string): Promise<boolean> {
    const startedAt = this.ports.timers.monotonic()
    if (await this.ports.ping(address) || await this.ports.ping(address)) return true
    const pingedMs = Math.round(this.ports.timers.monotonic() - startedAt)
    void this.ports.connect(address).then((connection) => { this.ports.decisions.record({ event: 'peerUnanswered', peer: address, connection, pingedMs }) })
    return false
  }
}
