/** The routing in force: follows the operator's documents, and never goes back to an older version. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as followRecords from '@eelgrasswind/follow-records'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as shardLog from '@eelgrasswind/shard-log'

/** Where the routing stands in the store, and how it is written. */
export interface RoutingDocument {
  readonly partition: shardLog.Partition
  readonly key: string
  /** Throws where the bytes are no routing. */
  readonly decode: (value: Uint8Array) => routeRequest.Routing
}

/** What it takes to follow the routing. */
export interface CurrentRoutingPorts extends followRecords.FollowerPorts {
  readonly document: RoutingDocument
  readonly decisions: decisionLog.DecisionLog
  /** Another version is in force. */
  readonly onChange: (routing: routeRequest.Routing) => void
}

/** The store holds a read of the routing this long, in ms: a change arrives at once, a silent connection is noticed soon. */
const waitMs = 900

/** The newest routing that this process has read. */
export class CurrentRouting {
  private readonly follower: followRecords.RecordFollower
  private routing: routeRequest.Routing | undefined
  private table: routeRequest.RouteTable = routeRequest.createRouteTable([])

  constructor (private readonly ports: CurrentRoutingPorts) {
    const { partition, key } = ports.document
    this.follower = new followRecords.RecordFollower({ partition, pollMs: 0, waitMs }, ports, {
      onSnapshot: (found) => {
        const value = found.get(key)
        if (value !== undefined) this.take(value)
      },
      onPut: (changed, value) => { if (changed === key) this.take(value) },
      onRemove: () => {}
    })
  }

  /** `undefined` until the first version was read. */
  get current (): routeRequest.Routing | undefined {
    return this.routing
  }

  get routes (): routeRequest.RouteTable {
    return this.table
  }

  start (): void {
    this.follower.start()
  }

  stop (): void {
    this.follower.stop()
  }

  /** Versions only rise within the life of a process. */
  private take (value: Uint8Array): void {
    const { decisions, document, onChange } = this.ports
    let next: routeRequest.Routing
    try {
      next = document.decode(value)
    } catch (err) {
      decisions.note({ event: 'routingUnreadable', err, version: this.routing?.version })
      return
    }
    if (this.routing !== undefined && next.version <= this.routing.version) return
    decisions.note({ event: 'routing', version: next.version, former: this.routing?.version, routes: next.routes.length })
    this.routing = next
    this.table = routeRequest.createRouteTable(next.routes)
    onChange(next)
  }
}
