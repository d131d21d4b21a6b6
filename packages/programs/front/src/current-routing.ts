/** Follows the routing that the operator publishes in the store, and never returns to an older version. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as followRecords from '@eelgrasswind/follow-records'
import * as identifyClient from '@eelgrasswind/identify-client'
import * as routeRequest from '@eelgrasswind/route-request'
import type * as shardLog from '@eelgrasswind/shard-log'

/** Location of the routing in the store, and its encoding. */
export interface RoutingDocument {
  readonly partition: shardLog.Partition
  readonly key: string
  /** Throws if the bytes are not a valid routing. */
  readonly decode: (value: Uint8Array) => routeRequest.Routing
}

/** Dependencies of `CurrentRouting`. */
export interface CurrentRoutingPorts extends followRecords.FollowerPorts {
  readonly document: RoutingDocument
  readonly decisions: decisionLog.DecisionLog
  /** A newer version has taken effect. */
  readonly onChange: (routing: routeRequest.Routing) => void
}

/** Long-poll timeout of the store for reads of the routing, in ms: changes arrive at once, and a dead connection is noticed soon. */
const longPollMs = 900

/** The newest routing that this process has read. */
export class CurrentRouting {
  private readonly follower: followRecords.RecordFollower
  private routing: routeRequest.Routing | undefined
  private routeTable: routeRequest.RouteTable = routeRequest.createRouteTable([])
  private accountDirectory: identifyClient.AccountDirectory = identifyClient.createAccountDirectory([])

  constructor (private readonly ports: CurrentRoutingPorts) {
    const { partition, key } = ports.document
    this.follower = new followRecords.RecordFollower({ partition, pollMs: 0, longPollMs }, ports, {
      onSnapshot: (records) => {
        const value = records.get(key)
        if (value !== undefined) this.applyDocument(value)
      },
      onPut: (changedKey, value) => { if (changedKey === key) this.applyDocument(value) },
      onRemove: () => {}
    })
  }

  /** `undefined` until the first version has been read. */
  get current (): routeRequest.Routing | undefined {
    return this.routing
  }

  /** Version of the current routing; 0 before the first. */
  get version (): number {
    return this.routing?.version ?? 0
  }

  get routes (): routeRequest.RouteTable {
    return this.routeTable
  }

  get accounts (): identifyClient.AccountDirectory {
    return this.accountDirectory
  }

  /** Time since the store last confirmed that there is no newer version, in ms. */
  get ageMs (): number {
    return this.follower.ageMs()
  }

  start (): void {
    this.follower.start()
  }

  stop (): void {
    this.follower.stop()
  }

  /** Applies a published routing, unless it is invalid or not newer than the current one. */
  private applyDocument (value: Uint8Array): void {
    const { decisions, document, onChange } = this.ports
    let next: routeRequest.Routing
    let accountDirectory: identifyClient.AccountDirectory
    try {
      next = document.decode(value)
      accountDirectory = identifyClient.createAccountDirectory(next.accounts)
    } catch (err) {
      decisions.record({ event: 'routingUnreadable', err, version: this.routing?.version })
      return
    }
    if (this.routing !== undefined && next.version <= this.routing.version) return
    decisions.record({ event: 'routing', version: next.version, former: this.routing?.version, routes: next.routes.length, accounts: next.accounts?.length })
    this.routing = next
    this.accountDirectory = accountDirectory
    this.routeTable = routeRequest.createRouteTable(next.routes)
    onChange(next)
  }
}
