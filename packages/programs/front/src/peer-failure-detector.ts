/**
 * Tells a silent peer from a cut-off process. A process that is cut off while the store still serves it keeps its lease,
 * so nobody else may serve its programs, and few can reach it: it does better to give them up. A peer that is silent
 * while the others answer is told: its shards need not wait until its lease lapses.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as timerService from '@eelgrasswind/timer-service'

/** What a watch needs from its process. */
export interface PeerWatchPorts {
  /** Addresses of the other members. */
  readonly peers: () => readonly string[]
  /** Whether a peer answers; it does so within the time that one round may take. */
  readonly ping: (address: string) => Promise<boolean>
  /** A peer that was suspected does not answer, and enough others do. */
  readonly onSilent: (address: string) => void
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
/**
 * A silent peer is told again only after this, in ms: one that lives beyond a cut joins its group again at once, and to
 * give its shards up again and again would cost the others more than its lease does.
 */
const tellAgainMs = 3_000
/** With fewer peers there is no telling who is cut off. */
const fewestPeers = 2

/** Asks nobody while all is well; a silent peer makes it ask all of them. */
export class PeerFailureDetector {
  private asking = false
  private isolated = false
  /** Since when the rounds have said otherwise than what is believed, monotonic ms. */
  private otherwiseSince: number | undefined
  /** Peers that did not answer a request, to be looked at in the next round. */
  private readonly suspected = new Set<string>()
  /** When a silent peer was last told, by this or another process, monotonic ms. */
  private readonly toldAt = new Map<string, number>()

  constructor (private readonly ports: PeerWatchPorts) {}

  get isIsolated (): boolean {
    return this.isolated
  }

  /** A peer did not answer: asks all of them until it is clear who is cut off. */
  suspect (address: string): void {
    this.suspected.add(address)
    if (!this.asking) void this.ask()
  }

  /** Another process has told that the peer is silent. */
  noteReportedSilent (address: string): void {
    this.toldAt.set(address, this.ports.timers.monotonic())
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
    const suspected = [...this.suspected]
    this.suspected.clear()
    if (peers.length < fewestPeers) return true
    const answers = await Promise.all(peers.map((address) => this.ports.ping(address)))
    const silent = peers.filter((_, index) => answers[index] !== true)
    const reachable = peers.length - silent.length >= peers.length * leastShare
    if (reachable && !this.isolated) this.tell(suspected.filter((address) => silent.includes(address)))
    return reachable
  }

  private tell (silent: readonly string[]): void {
    const now = this.ports.timers.monotonic()
    for (const address of silent) {
      if (now - (this.toldAt.get(address) ?? -Infinity) < tellAgainMs) continue
      this.toldAt.set(address, now)
      this.ports.onSilent(address)
    }
  }

  private change (isolated: boolean): void {
    this.isolated = isolated
    this.otherwiseSince = undefined
    this.ports.decisions.note({ event: isolated ? 'cutOff' : 'reachable', peers: this.ports.peers().length })
    this.ports.onChange(isolated)
  }
}
