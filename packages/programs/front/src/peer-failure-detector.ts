/**
 * Distinguishes a silent peer from the isolation of this process. A process that is isolated from its peers while the
 * store still serves it keeps its lease, so no other process may serve its programs, and few can reach it: it should
 * give up its shards. A peer that can't be reached while the others can is reported, so that its shards move before its
 * lease expires. One that is late is not: moving the shards of a busy host makes the others busy, too. The reports of the
 * peers are looked at first, as asking costs those time that are busy already.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as peerLiveness from './peer-liveness.js'
import * as peerProbe from './peer-probe.js'

/** Dependencies of `PeerFailureDetector`. */
export interface PeerFailureDetectorPorts {
  /** Addresses of the other members. */
  readonly peers: () => readonly string[]
  /** Whether a peer answers; resolves within the time that one round may take. */
  readonly ping: (address: string) => Promise<boolean>
  /** Opens a connection to a peer. Its host accepts it although the process is busy, unless its accept queue is full. */
  readonly connect: (address: string) => Promise<sendHttp.ConnectionProbe>
  /** What the reports of the peers show. */
  readonly liveness: Pick<peerLiveness.PeerLiveness, 'isAlive' | 'hasFallenSilent' | 'hearsEnough'>
  /** A suspected peer that has reported before is silent and can't be reached, and enough others can. */
  readonly onPeerSilent: (address: string) => void
  /** This process has become isolated, or reaches its peers again. */
  readonly onIsolationChanged: (isIsolated: boolean) => void
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Pause between two rounds of pings while a failure is suspected, in ms. */
const roundIntervalMs = 300
/**
 * How long all rounds must find too few peers before this process counts as isolated, in ms: longer than a lease, after
 * which peers that have ended are no longer members. A member that does not answer then is alive behind a network partition.
 */
const isolationThresholdMs = 1_500
/** How long all rounds must find enough peers before the isolation ends, in ms. */
const recoveryThresholdMs = 300
/** If a smaller share of the peers answers, this process is the one that is isolated. */
const minReachableShare = 0.5
/**
 * Minimum time between two reports of the same silent peer, in ms: a peer that is alive behind a network partition joins
 * its group again at once, and evicting it again and again would cost the others more than waiting for its lease to expire.
 */
const minReportIntervalMs = 3_000
/** If a suspected peer has not proved to be alive after this time, in ms, all others are pinged as well. */
const suspectCheckMs = 100
/** Number of peers that are pinged in a round while the reports show that all suspects are alive. */
const sampleSize = 2
/** With fewer peers, the detector can't determine which process is isolated. */
const minPeerCount = 2

/** Sends no pings in normal operation; a suspected peer whose host accepts no connection makes it ping all peers in rounds. */
export class PeerFailureDetector {
  private isProbing = false
  private nextSample = 0
  private isClosed = false
  private isolated = false
  /** Since when the rounds have contradicted `isolated`, in monotonic ms. */
  private contradictedSince: number | undefined
  /** Peers that did not answer a request, to be checked in the next round. */
  private readonly suspects = new Set<string>()
  /** When a silent peer was last reported, by this or another process, in monotonic ms. */
  private readonly reportedAt = new Map<string, number>()

  constructor (private readonly ports: PeerFailureDetectorPorts) {}

  get isIsolated (): boolean {
    return this.isolated
  }

  /** Sends no further pings. */
  close (): void {
    this.isClosed = true
  }

  /** Registers that a peer did not answer; examines it and, if it can't be reached, all peers, until it is clear which process is isolated. */
  suspect (address: string): void {
    this.suspects.add(address)
    if (!this.isProbing) void this.probeUntilSettled()
  }

  /** Registers that another process has reported the peer as silent. */
  noteReportedSilent (address: string): void {
    this.reportedAt.set(address, this.ports.timers.monotonic())
  }

  private async probeUntilSettled (): Promise<void> {
    this.isProbing = true
    do {
      this.updateIsolation(await this.probePeers())
      await timerService.sleep(this.ports.timers, roundIntervalMs)
    } while (!this.isClosed && (this.isolated || this.contradictedSince !== undefined || this.suspects.size > 0))
    this.isProbing = false
  }

  private updateIsolation (canReachPeers: boolean): void {
    if (canReachPeers !== this.isolated) {
      this.contradictedSince = undefined
      return
    }
    const now = this.ports.timers.monotonic()
    this.contradictedSince ??= now
    if (now - this.contradictedSince >= (this.isolated ? recoveryThresholdMs : isolationThresholdMs)) this.setIsolated(!this.isolated)
  }

  /** Asks the suspects for a connection and, unless they accept it, pings all peers; reports the suspects that can't be reached, and returns whether enough peers can. */
  private async probePeers (): Promise<boolean> {
    const peers = this.ports.peers()
    const suspects = [...this.suspects]
    this.suspects.clear()
    if (peers.length < minPeerCount) return true
    const { liveness } = this.ports
    const startedAt = this.ports.timers.monotonic()
    const trustsReports = liveness.hearsEnough(peers) && await this.reachesSome(peers, suspects)
    const isProven = (address: string): boolean => trustsReports && liveness.isAlive(address)
    const unproven = suspects.filter((address) => !isProven(address))
    if (!this.isolated && trustsReports && unproven.length === 0) return true
    const checks = new Map(peers.filter((address) => unproven.includes(address)).map((address) => [address, this.acceptsConnection(address)]))
    if (!this.isolated && this.contradictedSince === undefined && await this.areAlive([...checks.values()])) return true
    const reachable = await Promise.all(peers.map((address) => checks.get(address) ?? (isProven(address) || this.isReachable(address))))
    const silent = peers.filter((_, index) => reachable[index] !== true)
    const canReachPeers = peers.length - silent.length >= peers.length * minReachableShare
    this.ports.decisions.record({ event: 'peersPinged', suspects, pinged: peers.length, unreachable: silent.length, tookMs: Math.round(this.ports.timers.monotonic() - startedAt) })
    if (canReachPeers && !this.isolated) this.reportSilent(suspects.filter((address) => silent.includes(address)))
    return canReachPeers
  }

  /** Whether one of a few peers can be reached, other than the suspects if there are any: behind a network partition of one direction a process hears peers that it can't reach. */
  private async reachesSome (peers: readonly string[], suspects: readonly string[]): Promise<boolean> {
    const others = peers.filter((address) => !suspects.includes(address))
    const candidates = others.length > 0 ? others : peers
    const first = this.nextSample
    this.nextSample += sampleSize
    const sample = Array.from({ length: Math.min(sampleSize, candidates.length) }, (_, index) => candidates[(first + index) % candidates.length]!)
    const reachable = await Promise.all(sample.map((address) => this.isReachable(address)))
    return reachable.includes(true)
  }

  /** Asks a suspect for a connection only: a ping that is not answered in time would also cost it the connection that carries the ping. */
  private async acceptsConnection (address: string): Promise<boolean> {
    const connection = await this.ports.connect(address)
    return connection === 'accepted'
  }

  /** Whether all suspects, of which there is at least one, have proved to be alive. Pinging all peers would add to the work of hosts that are late already. */
  private async areAlive (checks: readonly Promise<boolean>[]): Promise<boolean> {
    if (checks.length === 0) return false
    const reachable = await timerService.withTimeout(this.ports.timers, Promise.all(checks), suspectCheckMs)
    return reachable?.every((isReachable) => isReachable) === true
  }

  /** A process that is merely busy answers no ping in time, but its host accepts connections: its lease tells whether it goes on. */
  private async isReachable (address: string): Promise<boolean> {
    const { timers, decisions } = this.ports
    const startedAt = timers.monotonic()
    const answer = this.ports.ping(address)
    if (await timerService.withTimeout(timers, answer, peerProbe.firstAnswerMs) === true) return true
    const connection = await this.ports.connect(address)
    const isAnswered = answer.then((hasAnswered) => {
      if (!hasAnswered) decisions.record({ event: 'peerUnanswered', peer: address, connection, pingedMs: Math.round(timers.monotonic() - startedAt) })
      return hasAnswered
    })
    return connection === 'accepted' || isAnswered
  }

  private reportSilent (silent: readonly string[]): void {
    const now = this.ports.timers.monotonic()
    for (const address of silent) {
      // A peer that has never been heard may be one that does not report to this process; its lease tells whether it goes on.
      if (!this.ports.liveness.hasFallenSilent(address)) continue
      if (now - (this.reportedAt.get(address) ?? -Infinity) < minReportIntervalMs) continue
      this.reportedAt.set(address, now)
      this.ports.onPeerSilent(address)
    }
  }

  private setIsolated (isIsolated: boolean): void {
    this.isolated = isIsolated
    this.contradictedSince = undefined
    this.ports.decisions.record({ event: isIsolated ? 'cutOff' : 'reachable', peers: this.ports.peers().length })
    this.ports.onIsolationChanged(isIsolated)
  }
}
