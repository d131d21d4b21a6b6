/**
 * A shard log that goes through peers while the store does not serve this process. The store may turn single hosts
 * away, or be cut off from them, while it serves the rest: without a relay such a host loses its lease and all that
 * its programs have under way.
 */
import type * as logger from '@eelgrasswind/logger'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'

export interface RelayPorts {
  /** The store itself. */
  readonly direct: shardLog.ShardLog
  /** Addresses of processes that may be asked, in any order. */
  readonly peers: () => readonly string[]
  /** Has a peer make the call; `undefined` where the peer gave no answer. */
  readonly callPeer: (address: string, call: shardLog.StoreCall) => Promise<shardLog.StoreAnswer | undefined>
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
}

/** While calls go through peers, the store itself is tried again this often, in ms. */
const probeMs = 700
/** After neither way worked, peers are left alone this long, in ms: the store is most likely away for all. */
const awayMs = 400

export class RelayedLog {
  private relaying = false
  private directTriedAt = -Infinity
  private awayUntil = -Infinity
  private nextPeer = 0

  constructor (private readonly ports: RelayPorts) {}

  readonly log: shardLog.ShardLog = shardLog.shardLogOver((call) => this.run(call))

  private async run (call: shardLog.StoreCall): Promise<shardLog.StoreAnswer> {
    const { timers, direct } = this.ports
    const probe = timers.monotonic() - this.directTriedAt >= probeMs
    if (!this.relaying || probe) {
      this.directTriedAt = timers.monotonic()
      const answer = await shardLog.runStoreCall(direct, call)
      if (!shardLog.isUnserved(answer)) {
        this.noteDirect()
        return answer
      }
      return this.relay(call, answer)
    }
    return this.relay(call, { type: 'noAnswer', detail: 'the store does not serve this process' })
  }

  private async relay (call: shardLog.StoreCall, failure: shardLog.StoreFailure): Promise<shardLog.StoreAnswer> {
    const { timers, peers, callPeer, logger } = this.ports
    const addresses = peers()
    if (addresses.length === 0 || timers.monotonic() < this.awayUntil) return failure
    this.nextPeer = (this.nextPeer + 1) % addresses.length
    const address = addresses[this.nextPeer]!
    const answer = await callPeer(address, call)
    if (answer === undefined || shardLog.isUnserved(answer)) {
      // Another peer is asked next time; if this one was served lately, it is worth asking soon.
      if (answer !== undefined) this.awayUntil = timers.monotonic() + awayMs
      this.relaying = false
      return answer ?? failure
    }
    if (!this.relaying) logger.warn({ event: 'storeRelayed', peer: address, call: call.type, failure }, 'the store does not serve this process; calls go through a peer')
    this.relaying = true
    return answer
  }

  private noteDirect (): void {
    if (!this.relaying) return
    this.relaying = false
    this.ports.logger.info({ event: 'storeDirect' }, 'the store serves this process again')
  }
}
