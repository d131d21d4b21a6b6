/** The routing in force: follows the operator's documents, and never goes back to an older version. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as followRecords from '@eelgrasswind/follow-records'
import * as identifyClient from '@eelgrasswind/identify-client'
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
  private directory: identifyClient.AccountDirectory = identifyClient.createAccountDirectory([])

  constructor (private readonly ports: CurrentRoutingPorts) {
    const { partition, key } = ports.document
    this.follower = new followRecords.RecordFollower({ partition, pollMs: 0, longPollMs: waitMs }, ports, {
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

  /** Version of the routing in force; 0 before the first. */
  get version (): number {
    return this.routing?.version ?? 0
  }

  get routes (): routeRequest.RouteTable {
    return this.table
  }

  get accounts (): identifyClient.AccountDirectory {
    return this.directory
  }

  /** How long ago the store last confirmed that nothing newer is in force, in ms. */
  get ageMs (): number {
    return this.follower.ageMs()
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
    let directory: identifyClient.AccountDirectory
    try {
      next = document.decode(value)
      directory = identifyClient.createAccountDirectory(next.accounts)
    } catch (err) {
      decisions.note({ event: 'routingUnreadable', err, version: this.routing?.version })
      return
    }
    if (this.routing !== undefined && next.version <= this.routing.version) return
    decisions.note({ event: 'routing', version: next.version, former: this.routing?.version, routes: next.routes.length, accounts: next.accounts?.length })
    this.routing = next
    this.directory = directory
    this.table = routeRequest.createRouteTable(next.routes)
    onChange(next)
  }
}
