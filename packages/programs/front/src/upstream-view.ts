/** All that this process knows of the upstreams: the list, what runs there, and which of them fail. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as followRecords from '@eelgrasswind/follow-records'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as shareLoad from '@eelgrasswind/share-load'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import * as upstreamDirectory from './upstream-directory.js'
import * as upstreamHealth from './upstream-health.js'

/** What it takes to know the upstreams. */
export interface UpstreamViewPorts extends followRecords.FollowerPorts {
  readonly decisions: decisionLog.DecisionLog
  /** Where the list stands in the store, and how its entries are written. */
  readonly partition: shardLog.Partition
  readonly decode: upstreamDirectory.DirectoryPorts['decode']
  /** Where this process talks to its peers, IP:PORT, and where those listen. */
  readonly peerAddress: string
  readonly peers: () => readonly string[]
}

/** Pause between two reads of the list, in ms: a leaving upstream is known well within the 2 s that it goes on serving. */
const pollMs = 400

/** Joins the list of the store, the reports of the peers and this process's own requests. */
export class UpstreamView {
  readonly list = new trackUpstreams.UpstreamList()
  readonly peerLoads = new trackUpstreams.PeerLoads()
  readonly health: upstreamHealth.UpstreamHealth
  private readonly sharer: shareLoad.LoadSharer
  private readonly follower: followRecords.RecordFollower
  private readonly directory: upstreamDirectory.UpstreamDirectory

  constructor (ports: UpstreamViewPorts) {
    const { timers, decisions } = ports
    this.health = new upstreamHealth.UpstreamHealth({
      upstreams: this.list,
      timers,
      decisions,
      processes: () => this.peerLoads.peerCount + 1,
      share: (upstream, mark) => { this.sharer.recordMark(upstream, mark) }
    })
    this.sharer = new shareLoad.LoadSharer(ports.peerAddress, {
      upstreams: this.list,
      loads: this.peerLoads,
      peers: ports.peers,
      onMarksReceived: (marks) => { this.health.takeMarks(marks) },
      timers,
      decisions
    })
    this.directory = new upstreamDirectory.UpstreamDirectory({
      upstreams: this.list,
      timers,
      decisions,
      decode: ports.decode,
      sinceRecoveryMs: () => this.follower.sinceRecoveryMs()
    })
    this.follower = new followRecords.RecordFollower({ partition: ports.partition, pollMs, longPollMs: 0 }, ports, {
      onSnapshot: (found) => { this.directory.replace(found) },
      onPut: (key, value) => { this.directory.put(key, value) },
      onRemove: (key) => { this.directory.remove(key) }
    })
  }

  /** True once the whole list was read. */
  get isLoaded (): boolean {
    return this.directory.isLoaded
  }

  /** Age of the list, in ms. */
  ageMs (): number {
    return this.follower.ageMs()
  }

  /** Resolves when reports of peers are taken in. */
  async start (): Promise<void> {
    this.follower.start()
    await this.sharer.start()
  }

  stop (): void {
    this.follower.stop()
    this.sharer.close()
  }
}
