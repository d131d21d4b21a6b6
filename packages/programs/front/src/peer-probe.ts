/** Checks whether a peer can be reached, once for all requests that wait for it. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as peerLiveness from './peer-liveness.js'

/** Dependencies of `PeerProbe`. */
export interface PeerProbePorts {
  /** Whether a peer answers within the timeout, in ms. */
  readonly ping: (address: string, timeoutMs: number) => Promise<boolean>
  /** Opens a connection to a peer. Its host accepts it although the process is busy, unless its accept queue is full. */
  readonly connect: (address: string) => Promise<sendHttp.ConnectionProbe>
  /** What the reports of the peers show. */
  readonly liveness: Pick<peerLiveness.PeerLiveness, 'isAlive' | 'hasFallenSilent'>
  /** Called when a host has not accepted a connection at once. */
  readonly onSuspected: (address: string) => void
  /** Timeout of a ping, in ms: until then its connection stays usable for the answer of a busy process. */
  readonly pingTimeoutMs: number
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Time for the first answer, and for a connection to be accepted, in ms; both take a few ms unless the peer is late. */
export const firstAnswerMs = 50
/**
 * A peer that was reached counts as reachable for this long, in ms. A busy process accepts one connection in each round of
 * its event loop, so that every connection that is opened to it delays the turns that wait behind.
 */
const reachableMs = 250

/** Number of peers that a probe remembers; the oldest are forgotten first. */
const maxRememberedPeers = 1_000

/** Requests that wait for the same peer share one probe. */
export class PeerProbe {
  private readonly pendingProbes = new Map<string, Promise<boolean>>()
  /** When peers were last reached, in monotonic ms. */
  private readonly reachedAt = new boundedMap.BoundedMap<string, number>(maxRememberedPeers)

  constructor (private readonly ports: PeerProbePorts) {}

  /** Whether the peer has stopped reporting. One that takes no connection, and has not, may be alive. */
  hasFallenSilent (address: string): boolean {
    return this.ports.liveness.hasFallenSilent(address)
  }

  /**
   * Whether a peer can be reached. It can not if its reports have stopped, and its host refuses connections, or accepts
   * none; a process that is merely busy answers late.
   */
  async isReachable (address: string): Promise<boolean> {
    const { timers } = this.ports
    if (this.ports.liveness.isAlive(address)) return true
    if (timers.monotonic() - (this.reachedAt.get(address) ?? -Infinity) < reachableMs) return true
    const pendingProbe = this.pendingProbes.get(address)
    if (pendingProbe !== undefined) return pendingProbe
    const probe = this.probe(address)
    this.pendingProbes.set(address, probe)
    const isReachable = await probe
    this.pendingProbes.delete(address)
    if (isReachable) this.reachedAt.set(address, timers.monotonic())
    return isReachable
  }

  private async probe (address: string): Promise<boolean> {
    const { decisions, timers, ping, pingTimeoutMs } = this.ports
    const startedAt = timers.monotonic()
    let hasAnswered = false
    const pingAnswer = ping(address, pingTimeoutMs).then((isAnswered) => {
      hasAnswered = isAnswered
      return isAnswered
    })
    if (await timerService.withTimeout(timers, pingAnswer, firstAnswerMs) === true) return true
    const connection = await this.connectTwice(address)
    if (hasAnswered) return true
    decisions.record({ event: 'peerUnanswered', peer: address, connection, pingedMs: Math.round(timers.monotonic() - startedAt) })
    return connection === 'accepted'
  }

  /** Tries a second time before the host counts as unreachable, since one packet may be lost. */
  private async connectTwice (address: string): Promise<sendHttp.ConnectionProbe> {
    const { connect, onSuspected, timers } = this.ports
    const pending = connect(address)
    if (await timerService.withTimeout(timers, pending, firstAnswerMs) !== 'accepted') onSuspected(address)
    const connection = await pending
    return connection === 'noAnswer' ? connect(address) : connection
  }
}
