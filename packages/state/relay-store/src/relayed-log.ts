/**
 * A shard log that goes through peers while the store does not serve this process. The store may turn single hosts
 * away, or be cut off from them, while it serves the rest: without a relay such a host loses its lease and all that
 * its programs have under way.
 */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'

/** The store, and the peers that may stand in for the way to it. */
export interface RelayPorts {
  /** The store itself. */
  readonly directLog: shardLog.ShardLog
  /** Addresses of processes that may be asked, in any order. */
  readonly peers: () => readonly string[]
  /** Has a peer make the call; `undefined` where the peer gave no answer. */
  readonly callPeer: (address: string, call: shardLog.StoreCall) => Promise<shardLog.StoreAnswer | undefined>
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Peers that one call asks at most: where the store turns a third of the hosts away, 1 call in 27 finds none of 3. */
const maxPeers = 3
/** After neither way worked, peers are left alone this long, in ms: the store is most likely away for all. */
const awayMs = 300

/** Gives a shard log that works as long as the store serves this process or one of its peers. */
export class RelayedLog {
  /** The peer that made the last call; `undefined` while the store serves this process. */
  private peer: string | undefined
  private awayUntil = -Infinity
  private nextPeer = 0

  constructor (private readonly ports: RelayPorts) {}

  readonly log: shardLog.ShardLog = shardLog.shardLogOver((call) => this.run(call))

  private async run (call: shardLog.StoreCall): Promise<shardLog.StoreAnswer> {
    if (this.peer !== undefined && !isProbe(call)) {
      const answer = await this.ask(this.peer, call)
      if (answer !== undefined) return answer
    }
    const answer = await shardLog.runStoreCall(this.ports.directLog, call)
    if (shardLog.isUnserved(answer)) return this.relay(call, answer)
    if (this.peer !== undefined) this.ports.decisions.note({ event: 'storeDirect', peer: this.peer })
    this.peer = undefined
    return answer
  }

  private async relay (call: shardLog.StoreCall, failure: shardLog.StoreFailure): Promise<shardLog.StoreAnswer> {
    const { timers, decisions } = this.ports
    if (timers.monotonic() < this.awayUntil) return failure
    for (const address of this.candidates()) {
      const answer = await this.ask(address, call)
      if (answer === undefined) continue
      if (this.peer !== address) decisions.note({ event: 'storeRelayed', peer: address, call: call.type, failure })
      this.peer = address
      return answer
    }
    this.peer = undefined
    this.awayUntil = timers.monotonic() + awayMs
    return failure
  }

  /** Some peers, others each time. */
  private candidates (): string[] {
    const peers = this.ports.peers()
    const count = Math.min(maxPeers, peers.length)
    const first = this.nextPeer
    this.nextPeer += count
    return Array.from({ length: count }, (_, index) => peers[(first + index) % peers.length]!)
  }

  /** The store's answer by way of a peer; `undefined` where the peer can't reach the store either. */
  private async ask (address: string, call: shardLog.StoreCall): Promise<shardLog.StoreAnswer | undefined> {
    const answer = await this.ports.callPeer(address, call)
    return answer === undefined || shardLog.isUnserved(answer) ? undefined : answer
  }
}

/** While calls go through a peer, this one also tries the store itself: it is made every second and nothing waits for it. */
function isProbe (call: shardLog.StoreCall): boolean {
  return call.type === 'owners'
}
