/** Aggregates what this process knows about the upstreams: the list, their load, and their health. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as followRecords from '@eelgrasswind/follow-records'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as shareLoad from '@eelgrasswind/share-load'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import * as upstreamDirectory from './upstream-directory.js'
import * as upstreamHealth from './upstream-health.js'

/** Dependencies of the upstream view. */
export interface UpstreamViewPorts extends followRecords.FollowerPorts {
  readonly decisions: decisionLog.DecisionLog
  /** Partition of the store that holds the upstream list. */
  readonly partition: shardLog.Partition
  /** Decodes an entry of the list; throws if it is malformed. */
  readonly decode: upstreamDirectory.DirectoryPorts['decode']
  /** Address on which this process takes peer traffic, IP:PORT. */
  readonly peerAddress: string
  /** Addresses of the other front processes, IP:PORT. */
  readonly peers: () => readonly string[]
}

/** Poll interval of the upstream list, in ms: well below the 2 s for which a draining upstream keeps serving. */
const pollIntervalMs = 400

/** Combines the upstream list from the store, load and health reports from peers, and the results of own requests. */
export class UpstreamView {
  readonly list = new trackUpstreams.UpstreamList()
  readonly peerLoads = new trackUpstreams.PeerLoads()
  readonly health: upstreamHealth.UpstreamHealth
  private readonly loadSharer: shareLoad.LoadSharer
  private readonly listFollower: followRecords.RecordFollower
  private readonly directory: upstreamDirectory.UpstreamDirectory

  constructor (ports: UpstreamViewPorts) {
    const { timers, decisions } = ports
    this.health = new upstreamHealth.UpstreamHealth({
      upstreams: this.list,
      timers,
      decisions,
      countProcesses: () => this.peerLoads.peerCount + 1,
      publishMark: (upstream, mark) => { this.loadSharer.recordMark(upstream, mark) }
    })
    this.loadSharer = new shareLoad.LoadSharer(ports.peerAddress, {
      upstreams: this.list,
      loads: this.peerLoads,
      peers: ports.peers,
      onMarksReceived: (marks) => { this.health.applyPeerMarks(marks) },
      timers,
      decisions
    })
    this.directory = new upstreamDirectory.UpstreamDirectory({
      upstreams: this.list,
      timers,
      decisions,
      decode: ports.decode,
      sinceRecoveryMs: () => this.listFollower.sinceRecoveryMs()
    })
    this.listFollower = new followRecords.RecordFollower({ partition: ports.partition, pollMs: pollIntervalMs, longPollMs: 0 }, ports, {
      onSnapshot: (entries) => { this.directory.replace(entries) },
      onPut: (key, value) => { this.directory.put(key, value) },
      onRemove: (key) => { this.directory.remove(key) }
    })
  }

  /** Whether the complete list has been read once. */
  get isLoaded (): boolean {
    return this.directory.isLoaded
  }

  /** Age of the upstream list, in ms. */
  ageMs (): number {
    return this.listFollower.ageMs()
  }

  /** Resolves once reports from peers are accepted. */
  async start (): Promise<void> {
    this.listFollower.start()
    await this.loadSharer.start()
  }

  stop (): void {
    this.listFollower.stop()
    this.loadSharer.close()
  }
}
