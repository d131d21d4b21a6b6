/** Checks whether a peer is alive, once for all requests that wait for it. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `PeerProbe`. */
export interface PeerProbePorts {
  /** Whether a peer answers within the timeout, in ms. */
  readonly ping: (address: string, timeoutMs: number) => Promise<boolean>
  /** Opens a connection to a peer. Its host accepts it whether or not the process is busy. */
  readonly connect: (address: string) => Promise<sendHttp.ConnectionProbe>
  /** How long a process whose host accepts connections may take to answer, in ms. */
  readonly leaseMs: number
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Time for the first answer, in ms; after it the host is asked for a connection as well. */
export const firstAnswerMs = 50

/** What a probe found. `busy`: the host accepts connections, and the process has answered nothing for the duration of a lease. */
export type PeerState = 'alive' | 'busy' | 'unreachable'

/** Requests that wait for the same peer share one probe. */
export class PeerProbe {
  private readonly pendingProbes = new Map<string, Promise<PeerState>>()

  constructor (private readonly ports: PeerProbePorts) {}

  /** Examines a peer. Only a host that refuses connections, or accepts none, shows that its process has ended. */
  async examine (address: string): Promise<PeerState> {
    const pendingProbe = this.pendingProbes.get(address)
    if (pendingProbe !== undefined) return pendingProbe
    const probe = this.probe(address)
    this.pendingProbes.set(address, probe)
    const state = await probe
    this.pendingProbes.delete(address)
    return state
  }

  private async probe (address: string): Promise<PeerState> {
    const { timers, ping, leaseMs } = this.ports
    const startedAt = timers.monotonic()
    let hasAnswered = false
    const firstPing = ping(address, leaseMs).then((isAnswered) => {
      hasAnswered = isAnswered
      return isAnswered
    })
    if (await timerService.withTimeout(timers, firstPing, firstAnswerMs) === true) return 'alive'
    const connection = await this.connectTwice(address)
    if (hasAnswered) return 'alive'
    const pingedMs = timers.monotonic() - startedAt
    this.ports.decisions.record({ event: 'peerUnanswered', peer: address, connection, pingedMs: Math.round(pingedMs) })
    if (connection !== 'accepted') return 'unreachable'
    // On another connection, as that of the first ping may have gone silent.
    const secondPing = ping(address, Math.max(firstAnswerMs, leaseMs - pingedMs))
    return await isAnyTrue([firstPing, secondPing]) ? 'alive' : 'busy'
  }

  /** Tries a second time before the host counts as unreachable, since one packet may be lost. */
  private async connectTwice (address: string): Promise<sendHttp.ConnectionProbe> {
    const connection = await this.ports.connect(address)
    return connection === 'noAnswer' ? this.ports.connect(address) : connection
  }
}

/** Resolves with true as soon as one promise does, with false once all have resolved with false. */
function isAnyTrue (promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve, reject) => {
    for (const promise of promises) promise.then((value) => { if (value) resolve(true) }, reject)
    void Promise.all(promises).then(() => { resolve(false) }, reject)
  })
}
