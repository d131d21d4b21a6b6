/** The front process: its listeners, its share of the programs, and its end. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as http from 'node:http'
import * as ownShards from '@eelgrasswind/own-shards'
import * as relayStore from '@eelgrasswind/relay-store'
import type * as routeRequest from '@eelgrasswind/route-request'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import * as accountLimits from './account-limits.js'
import * as clientListener from './client-listener.js'
import * as currentRouting from './current-routing.js'
import type * as dialects from './dialect.js'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'
import * as peerListener from './peer-listener.js'
import * as peerProbe from './peer-probe.js'
import * as peerFailureDetector from './peer-failure-detector.js'
import * as programAdmission from './program-admission.js'
import * as promptLocations from './prompt-locations.js'
import * as requestsUnderWay from './requests-under-way.js'
import * as retryBudget from './retry-budget.js'
import * as routeTurn from './route-turn.js'
import type * as settings from './settings.js'
import * as storeOutage from './store-outage.js'
import * as upstreamView from './upstream-view.js'

/** How the published documents are written; the adapter implements it. */
export interface DocumentFormat {
  /** Where the operator's routing stands. */
  readonly routing: { readonly partition: shardLog.Partition, readonly key: string }
  readonly upstreams: shardLog.Partition
  readonly decodeRouting: (value: Uint8Array) => routeRequest.Routing
  readonly decodeUpstream: (key: string, value: Uint8Array) => trackUpstreams.ListedUpstream
}

/** What differs between platforms, and what a test replaces. */
export interface FrontPorts {
  readonly log: shardLog.ShardLog
  readonly dialect: dialects.Dialect
  readonly documents: DocumentFormat
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** The settings that this process runs with, for its log. */
  readonly settingsFile: string
}

/** Idle connections are given up after this time, in ms: below the shortest idle limit of an upstream that is known, 5 s. At 2 s, three sends in ten opened a connection. */
const idleMs = 3_500
/** The same where connections are dropped unasked, for requests that must not run twice, in ms: some drop those that rested for 300. */
const freshMs = 250
/** The longest that a handover of a shard waits for the store's last answers, in ms: a slow one takes about 300. */
const handoverMs = 900
/** Time between two looks at the owners of all shards, in ms. */
const ownersMs = 1_000
/** After the signal to stop, new connections still come for this long, in ms: the balancer needs two questions to notice. */
const lingerMs = 3_000
/** The part of the time until its end that a process lets new connections come; the rest is for the last requests to end. */
const lingerShare = 0.5
/** The process ends this long before it would be ended by force, in ms. */
const endMarginMs = 700
/** Pause between two looks at the requests under way while stopping, in ms: well below the time that ending takes. */
const endLookMs = 20
/** A call to the store through a peer takes at most this, in ms: the peer's own limit and the way. */
const relayTimeoutMs = 1_600
/** A peer that can be reached answers within this, in ms, also when its processor share is used up for a tenth of a second. */
const pingTimeoutMs = 200
/** Turns under way may end for this long before a process that is cut off gives its shards up, in ms. */
const standDownGraceMs = 600
/** Nobody waits for the answer to an announcement; its connection is given up after this, in ms. */
const announceTimeoutMs = 500
/** Idle connections between the processes are kept by the answering side for this, in ms: longer than the asking side does. */
const peerIdleMs = 10 * idleMs

/** One front process, from its start to its end. */
export class Front {
  private readonly sender = sendHttp.createSender({ idleMs, freshMs })
  private readonly requests: requestsUnderWay.RequestsUnderWay
  private readonly peerPorts: peerCalls.PeerCallPorts
  private readonly shards: ownShards.ShardOwner
  private readonly watch: peerFailureDetector.PeerFailureDetector
  private readonly routing: currentRouting.CurrentRouting
  private readonly upstreams: upstreamView.UpstreamView
  private readonly limits: accountLimits.AccountLimits
  private readonly clientServer: http.Server
  private readonly peerServer: http.Server
  private readonly readyServer: http.Server
  private stopping = false

  constructor (private readonly cfg: settings.FrontSettings, private readonly ports: FrontPorts) {
    const { documents } = ports
    this.requests = new requestsUnderWay.RequestsUnderWay(ports)
    this.peerPorts = { sender: this.sender, timers: ports.timers, decisions: ports.decisions }
    const log = this.createRelayedLog()
    this.shards = this.createShards(log)
    this.watch = this.createWatch()
    this.routing = new currentRouting.CurrentRouting({
      ...ports,
      log,
      document: { ...documents.routing, decode: documents.decodeRouting },
      onChange: (routing) => { clientListener.applyBounds(this.clientServer, routing.bounds) }
    })
    this.upstreams = new upstreamView.UpstreamView({
      ...ports,
      log,
      partition: documents.upstreams,
      decode: documents.decodeUpstream,
      peerAddress: cfg.peerAddress,
      peers: () => this.otherMembers()
    })
    this.limits = new accountLimits.AccountLimits({ ...this.peerPorts, shards: this.shards, routing: this.routing, peerCount: () => this.upstreams.peerLoads.peerCount, slack: cfg.limitSlack })
    const turnPorts = this.turnPorts()
    this.clientServer = clientListener.createClientServer({
      ...turnPorts,
      routing: this.routing,
      requests: this.requests,
      limits: this.limits,
      mostRoutingAgeMs: cfg.mostRoutingAgeMs,
      isStopping: () => this.stopping
    })
    this.peerServer = peerListener.createPeerServer({ ...turnPorts, directLog: ports.log, requests: this.requests, limits: this.limits }, peerIdleMs)
    this.readyServer = http.createServer((_req, res) => {
      res.writeHead(this.isReady ? 200 : 503)
      res.end()
    })
  }

  /** Whether new clients should be sent here. */
  get isReady (): boolean {
    return !this.stopping && !this.watch.isIsolated && this.routing.current !== undefined && this.upstreams.isLoaded
  }

  get servedShardCount (): number {
    return this.shards.listServingShards().length
  }

  get requestsUnderWay (): number {
    return this.requests.count
  }

  get routingVersion (): number {
    return this.routing.version
  }

  get upstreamCount (): number {
    return this.upstreams.list.size
  }

  async start (): Promise<void> {
    await Promise.all([
      listen(this.clientServer, this.cfg.clientAddress),
      listen(this.peerServer, this.cfg.peerAddress),
      listen(this.readyServer, this.cfg.readyAddress),
      this.upstreams.start()
    ])
    this.routing.start()
    this.shards.start()
    this.ports.decisions.note({ event: 'started', client: this.cfg.clientAddress, peer: this.cfg.peerAddress, zone: this.cfg.availabilityZone, settings: this.ports.settingsFile })
  }

  /** Takes no new clients, hands the shards over, and resolves when the requests under way have ended. */
  async stop (): Promise<void> {
    const { timers, decisions } = this.ports
    if (this.stopping) return
    this.stopping = true
    const stopAt = timers.monotonic()
    decisions.note({ event: 'stopping', underWay: this.requests.count })
    await this.shards.leave()
    const servingMs = this.cfg.graceMs - endMarginMs
    const endAt = stopAt + servingMs
    const lingerAt = stopAt + Math.min(lingerMs, servingMs * lingerShare)
    await timerService.sleep(timers, Math.max(0, lingerAt - timers.monotonic()))
    this.clientServer.close()
    while (this.requests.count > 0 && timers.monotonic() < endAt) await timerService.sleep(timers, endLookMs)
    // A request that is read from now on would run and be cut off when the process ends.
    closeAll([this.clientServer, this.peerServer])
    decisions.note({ event: 'stopped', underWay: this.requests.count, tookMs: Math.round(timers.monotonic() - stopAt) })
  }

  /** Ends at once, as for tests: nothing is handed over. */
  close (): void {
    this.routing.stop()
    this.upstreams.stop()
    this.shards.close()
    this.limits.close()
    closeAll([this.clientServer, this.peerServer, this.readyServer])
    this.sender.close()
  }

  private createRelayedLog (): shardLog.ShardLog {
    return new relayStore.RelayedLog({
      ...this.ports,
      directLog: this.ports.log,
      peers: () => this.otherMembers(),
      callPeer: (address, call) => peerCalls.callPeer(this.peerPorts, address, { type: 'store', call }, relayTimeoutMs)
    }).log
  }

  private createShards (log: shardLog.ShardLog): ownShards.ShardOwner {
    const { cfg } = this
    return new ownShards.ShardOwner({
      group: 'homes',
      member: memberName.formatMemberName(cfg.host, cfg.peerAddress),
      topics: shardTopics(cfg.shardTopics),
      partitionsPerTopic: cfg.storeParts,
      leaseMs: cfg.leaseMs,
      heartbeatMs: cfg.heartbeatMs,
      ownersPollMs: ownersMs,
      handoverTimeoutMs: handoverMs
    }, { ...this.ports, log, onShardsReleased: () => { this.announce() } })
  }

  private createWatch (): peerFailureDetector.PeerFailureDetector {
    return new peerFailureDetector.PeerFailureDetector({
      ...this.ports,
      peers: () => this.otherMembers(),
      ping: (address) => this.ping(address),
      onSilent: (address) => { this.onSilent(address) },
      onChange: (isolated) => { this.onIsolation(isolated) }
    })
  }

  private async ping (address: string): Promise<boolean> {
    return await peerCalls.callPeer(this.peerPorts, address, { type: 'ping' }, pingTimeoutMs) !== undefined
  }

  private turnPorts (): routeTurn.RouteTurnPorts {
    const { upstreams } = this
    return {
      ...this.peerPorts,
      dialect: this.ports.dialect,
      shards: this.shards,
      failureDetector: this.watch,
      suspects: new routeTurn.SuspectedPeers(),
      promptLocations: new promptLocations.PromptLocations(),
      probe: new peerProbe.PeerProbe({ ping: (address) => this.ping(address) }),
      admission: new programAdmission.ProgramAdmission({ ...this.ports, upstreams: upstreams.list, peerLoads: upstreams.peerLoads, findEngineRules: (service) => this.routing.current?.services.get(service)?.engine, random: Math.random }),
      deferredTurns: new storeOutage.DeferredTurns(),
      retryBudget: new retryBudget.RetryBudget(),
      upstreams: upstreams.list,
      peerLoads: upstreams.peerLoads,
      health: upstreams.health,
      listAgeMs: () => upstreams.ageMs()
    }
  }

  private announce (silent?: string): void {
    for (const address of this.otherMembers()) void peerCalls.callPeer(this.peerPorts, address, { type: 'joinNow', silent }, announceTimeoutMs)
  }

  /** The shards of a process that does not answer move now instead of when its lease lapses; its epoch is fenced. */
  private onSilent (address: string): void {
    const member = this.shards.listMembers().find((name) => memberName.parsePeerAddress(name) === address)
    if (member === undefined) return
    this.announce(address)
    void this.shards.evict(member, 'silent')
  }

  private otherMembers (): string[] {
    return this.shards.listMembers().filter((member) => !this.shards.isSelf(member)).map(memberName.parsePeerAddress)
  }

  private onIsolation (isolated: boolean): void {
    if (isolated) void this.shards.suspend(standDownGraceMs)
    else this.shards.resume()
  }
}

function closeAll (servers: readonly http.Server[]): void {
  for (const server of servers) {
    server.close()
    server.closeAllConnections()
  }
}

function shardTopics (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `keyed.turns-${index}`)
}

function listen (server: http.Server, address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, () => { resolve() })
  })
}
