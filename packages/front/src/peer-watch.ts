/**
 * Finds out whether this process is cut off from its peers while the store still serves it. Such an owner keeps its
 * lease, so nobody else may serve its programs, and few can reach it: it does better to give them up.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as timerService from '@eelgrasswind/timer-service'

/** What a watch needs from its process. */
export interface PeerWatchPorts {
  /** Addresses of the other members. */
  readonly peers: () => readonly string[]
  /** Whether a peer answers; it does so within the time that one round may take. */
  readonly ping: (address: string) => Promise<boolean>
  /** This process is cut off, or reaches its peers again. */
  readonly onChange: (isolated: boolean) => void
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Time between two rounds of questions while something is wrong, in ms. */
const roundMs = 300
/**
 * How long all rounds must agree that peers are missing, in ms: longer than a lease, after which peers that have ended
 * are no longer listed as members. What is listed and does not answer then lives beyond a cut.
 */
const cutOffMs = 1_500
/** How long all rounds must agree that peers answer again, in ms. */
const reachableMs = 300
/** Below this share of peers that answer, this process is the one that is cut off. */
const leastShare = 0.5
/** With fewer peers there is no telling who is cut off. */
const fewestPeers = 2

/** Asks nobody while all is well; a silent peer makes it ask all of them. */
export class PeerWatch {
  private asking = false
  private isolated = false
  /** Since when the rounds have said otherwise than what is believed, monotonic ms. */
  private otherwiseSince: number | undefined

  constructor (private readonly ports: PeerWatchPorts) {}

  get isIsolated (): boolean {
    return this.isolated
  }

  /** A peer did not answer: asks all of them until it is clear who is cut off. */
  suspect (): void {
    if (!this.asking) void this.ask()
  }

  private async ask (): Promise<void> {
    this.asking = true
    do {
      this.weigh(await this.round())
      await timerService.sleep(this.ports.timers, roundMs)
    } while (this.isolated || this.otherwiseSince !== undefined)
    this.asking = false
  }

  private weigh (reachable: boolean): void {
    if (reachable !== this.isolated) {
      this.otherwiseSince = undefined
      return
    }
    const now = this.ports.timers.monotonic()
    this.otherwiseSince ??= now
    if (now - this.otherwiseSince >= (this.isolated ? reachableMs : cutOffMs)) this.change(!this.isolated)
  }

  /** Whether enough peers answer. */
  private async round (): Promise<boolean> {
    const peers = this.ports.peers()
    if (peers.length < fewestPeers) return true
    const answers = await Promise.all(peers.map((address) => this.ports.ping(address)))
    return answers.filter(Boolean).length >= peers.length * leastShare
  }

  private change (isolated: boolean): void {
    this.isolated = isolated
    this.otherwiseSince = undefined
    this.ports.decisions.note({ event: isolated ? 'cutOff' : 'reachable', peers: this.ports.peers().length })
    this.ports.onChange(isolated)
  }
}
