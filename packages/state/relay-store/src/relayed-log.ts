/**
 * Shard log that relays calls through peers while the store does not serve this process. The store may refuse single
 * hosts, or be partitioned from them, while it serves the rest: without a relay, such a host loses its lease and the
 * turns that it has in flight.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of a relayed log. */
export interface RelayPorts {
  /** The store itself. */
  readonly directLog: shardLog.ShardLog
  /** Addresses of processes that may relay calls, in any order. */
  readonly peers: () => readonly string[]
  /** Has a peer make the call; `undefined` if the peer did not answer. */
  readonly callPeer: (address: string, call: shardLog.StoreCall) => Promise<shardLog.StoreAnswer | undefined>
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Maximum number of peers tried for one call: if the store refuses a third of the hosts, 1 call in 27 fails at all 3. */
const maxPeersPerCall = 3
/**
 * Time without relay attempts after the store and every tried peer failed, in ms: the store most likely serves no host
 * then.
 */
const outageBackoffMs = 300

/** Provides a shard log that works as long as the store serves this process or one of its peers. */
export class RelayedLog {
  /** The peer that relayed the last call; `undefined` while the store serves this process. */
  private relayPeer: string | undefined
  /** End of the backoff after a failed relay, in ms of the monotonic clock. */
  private backoffUntilMs = -Infinity
  private nextPeerIndex = 0

  constructor (private readonly ports: RelayPorts) {}

  /** The shard log to use in place of the direct one. */

  readonly log: shardLog.ShardLog = shardLog.createShardLog((call) => this.runCall(call))

  private async runCall (call: shardLog.StoreCall): Promise<shardLog.StoreAnswer> {
    if (this.relayPeer !== undefined && !isProbe(call)) {
      const answer = await this.callThroughPeer(this.relayPeer, call)
      if (answer !== undefined) return answer
    }
    const answer = await shardLog.runStoreCall(this.ports.directLog, call)
    if (shardLog.isRetryableElsewhere(answer)) return this.relayCall(call, answer)
    if (this.relayPeer !== undefined) this.ports.decisions.record({ event: 'storeDirect', peer: this.relayPeer })
    this.relayPeer = undefined
    return answer
  }

  private async relayCall (call: shardLog.StoreCall, failure: shardLog.StoreFailure): Promise<shardLog.StoreAnswer> {
    const { timers, decisions } = this.ports
    if (timers.monotonic() < this.backoffUntilMs) return failure
    for (const address of this.takeCandidates()) {
      const answer = await this.callThroughPeer(address, call)
      if (answer === undefined) continue
      if (this.relayPeer !== address) decisions.record({ event: 'storeRelayed', peer: address, call: call.type, failure })
      this.relayPeer = address
      return answer
    }
    this.relayPeer = undefined
    this.backoffUntilMs = timers.monotonic() + outageBackoffMs
    return failure
  }

  /** Selects the next peers in round-robin order. */
  private takeCandidates (): string[] {
    const peers = this.ports.peers()
    const count = Math.min(maxPeersPerCall, peers.length)
    const firstIndex = this.nextPeerIndex
    this.nextPeerIndex += count
    return Array.from({ length: count }, (_, index) => peers[(firstIndex + index) % peers.length]!)
  }

  /** The store's answer through a peer; `undefined` if the peer doesn't answer, or with something else, or the store doesn't serve it either. */
  private async callThroughPeer (address: string, call: shardLog.StoreCall): Promise<shardLog.StoreAnswer | undefined> {
    const answer = await this.ports.callPeer(address, call)
    if (answer !== undefined && !shardLog.isStoreAnswer(call, answer)) {
      this.ports.decisions.record({ event: 'peerCallFailed', err: new shardLog.InvalidStoreAnswerError(address, call.type) })
      return undefined
    }
    return answer === undefined || shardLog.isRetryableElsewhere(answer) ? undefined : answer
  }
}

/**
 * Whether a call tries the store directly even while calls are relayed: `owners` is made every second and nothing waits
 * for it.
 */
function isProbe (call: shardLog.StoreCall): boolean {
  return call.type === 'owners'
}
