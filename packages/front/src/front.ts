/** The front process: its listeners, its share of the programs, and its end. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as http from 'node:http'
import * as followRecords from '@eelgrasswind/follow-records'
import * as ownShards from '@eelgrasswind/own-shards'
import * as relayStore from '@eelgrasswind/relay-store'
import * as routeRequest from '@eelgrasswind/route-request'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as shareLoad from '@eelgrasswind/share-load'
import * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as dialects from './dialect.js'
import * as inbound from './inbound.js'
import * as memberName from './member-name.js'
import * as peerCalls from './peer-calls.js'
import * as peerListener from './peer-listener.js'
import * as peerWatch from './peer-watch.js'
import * as promptPlaces from './prompt-places.js'
import * as readRequest from './read-request.js'
import * as retryPool from './retry-pool.js'
import * as routeTurn from './route-turn.js'
import * as serveCall from './serve-call.js'
import type * as settings from './settings.js'
import * as upstreamDirectory from './upstream-directory.js'
import * as upstreamHealth from './upstream-health.js'

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

/** Idle connections are given up after this time, in ms: below the shortest idle limit of an upstream that is known, 5 s. */
const idleMs = 2_000
/** The same where connections are dropped unasked, for requests that must not run twice, in ms: some drop those that rested for 300. */
const freshMs = 250
/** Pause between two reads of the list of upstreams, in ms: a leaving upstream is known well within the 2 s that it goes on serving. */
const upstreamsPollMs = 400
/** The store holds a read of the routing this long, in ms: a change arrives at once, a silent connection is noticed soon. */
const routingWaitMs = 900
/** The longest that a handover of a shard waits for the store's last answers, in ms: a slow one takes about 300. */
const handoverMs = 900
/** Time between two looks at the owners of all shards, in ms. */
const ownersMs = 1_000
/** After the signal to stop, new connections still come for this long, in ms: the balancer needs two questions to notice. */
const lingerMs = 3_000
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
const largestHeaderBytes = 65_536
/** An idle client connection is kept this much longer than the published limit, so that a limit that grows cuts nobody off. */
const idleFactor = 1.5

/** One front process, from its start to its end. */
export class Front {
  private readonly upstreams = new trackUpstreams.UpstreamList()
  private readonly loads = new trackUpstreams.PeerLoads()
  private readonly loadSharer: shareLoad.LoadSharer
  private readonly sender = sendHttp.createSender({ idleMs, freshMs })
  private readonly peerPorts: peerCalls.PeerCallPorts
  private readonly shards: ownShards.ShardOwner
  private readonly watch: peerWatch.PeerWatch
  private readonly turnPorts: routeTurn.RouteTurnPorts
  private readonly routingFollower: followRecords.RecordFollower
  private readonly upstreamFollower: followRecords.RecordFollower
  private readonly directory: upstreamDirectory.UpstreamDirectory
  private readonly clientServer: http.Server
  private readonly peerServer: http.Server
  private readonly readyServer: http.Server
  private routing: routeRequest.Routing | undefined
  private routes: routeRequest.RouteTable = routeRequest.createRouteTable([])
  private stopping = false
  private underWay = 0

  constructor (private readonly cfg: settings.FrontSettings, private readonly ports: FrontPorts) {
    const { timers } = ports
    this.peerPorts = { sender: this.sender, timers, decisions: ports.decisions }
    const self = memberName.memberName(cfg.host, cfg.peerAddress)
    const log = new relayStore.RelayedLog({
      direct: ports.log,
      peers: () => this.otherMembers(),
      callPeer: (address, call) => peerCalls.callPeer(this.peerPorts, address, { type: 'store', call }, relayTimeoutMs),
      timers,
      decisions: ports.decisions
    }).log
    this.shards = new ownShards.ShardOwner({
      group: 'homes',
      member: self,
      topics: shardTopics(cfg.shardTopics),
      parts: cfg.storeParts,
      leaseMs: cfg.leaseMs,
      heartbeatMs: cfg.heartbeatMs,
      ownersMs,
      handoverMs
    }, { ...ports, log, announce: () => { this.announce() } })
    this.watch = new peerWatch.PeerWatch({
      peers: () => this.otherMembers(),
      ping: async (address) => await peerCalls.callPeer(this.peerPorts, address, { type: 'ping' }, pingTimeoutMs) !== undefined,
      onChange: (isolated) => { this.onIsolation(isolated) },
      timers,
      decisions: ports.decisions
    })
    const health = new upstreamHealth.UpstreamHealth({
      upstreams: this.upstreams,
      timers,
      decisions: ports.decisions,
      processes: () => this.loads.peerCount + 1,
      share: (upstream, mark) => { this.loadSharer.mark(upstream, mark) }
    })
    this.loadSharer = new shareLoad.LoadSharer(cfg.peerAddress, {
      upstreams: this.upstreams,
      loads: this.loads,
      peers: () => this.otherMembers(),
      onMarks: (marks) => { health.takeMarks(marks) },
      timers,
      decisions: ports.decisions,
      random: Math.random
    })
    this.turnPorts = {
      watch: this.watch,
      suspects: new routeTurn.Suspects(),
      upstreams: this.upstreams,
      sender: this.sender,
      dialect: ports.dialect,
      timers,
      decisions: ports.decisions,
      listAgeMs: () => this.upstreamFollower.ageMs(),
      health,
      retries: new retryPool.RetryPool(),
      loads: this.loads,
      places: new promptPlaces.PromptPlaces(),
      shards: this.shards
    }
    const { routing, upstreams } = ports.documents
    this.routingFollower = new followRecords.RecordFollower({ partition: routing.partition, pollMs: 0, waitMs: routingWaitMs }, { ...ports, log }, {
      onSnapshot: (found) => {
        const value = found.get(routing.key)
        if (value !== undefined) this.takeRouting(value)
      },
      onPut: (key, value) => { if (key === routing.key) this.takeRouting(value) },
      onRemove: () => {}
    })
    this.upstreamFollower = new followRecords.RecordFollower({ partition: upstreams, pollMs: upstreamsPollMs, waitMs: 0 }, { ...ports, log }, {
      onSnapshot: (found) => { this.directory.replace(found) },
      onPut: (key, value) => { this.directory.put(key, value) },
      onRemove: (key) => { this.directory.remove(key) }
    })
    this.directory = new upstreamDirectory.UpstreamDirectory({
      upstreams: this.upstreams,
      timers,
      decisions: ports.decisions,
      decode: ports.documents.decodeUpstream,
      sinceReturnMs: () => this.upstreamFollower.sinceReturnMs()
    })
    this.clientServer = http.createServer({ maxHeaderSize: largestHeaderBytes, requestTimeout: 0 }, (req, res) => { this.onClientRequest(req, res) })
    this.peerServer = peerListener.createPeerServer({
      ...this.turnPorts,
      directLog: ports.log,
      onTurn: (res, reply, request) => {
        this.count(res)
        this.report(reply, request, 'passedOnTurn', timers.monotonic())
      }
    }, peerIdleMs)
    this.readyServer = http.createServer((_req, res) => {
      res.writeHead(this.ready ? 200 : 503)
      res.end()
    })
  }

  /** Whether new clients should be sent here. */
  get ready (): boolean {
    return !this.stopping && !this.watch.isIsolated && this.routing !== undefined && this.directory.known
  }

  get shardsServed (): number {
    return this.shards.serving().length
  }

  get requestsUnderWay (): number {
    return this.underWay
  }

  get routingVersion (): number {
    return this.routing?.version ?? 0
  }

  get upstreamCount (): number {
    return this.upstreams.size
  }

  async start (): Promise<void> {
    await Promise.all([
      listen(this.clientServer, this.cfg.clientAddress),
      listen(this.peerServer, this.cfg.peerAddress),
      listen(this.readyServer, this.cfg.readyAddress),
      this.loadSharer.start()
    ])
    this.routingFollower.start()
    this.upstreamFollower.start()
    this.shards.start()
    this.ports.decisions.note({ event: 'started', client: this.cfg.clientAddress, peer: this.cfg.peerAddress, zone: this.cfg.availabilityZone, settings: this.ports.settingsFile })
  }

  /** Takes no new clients, hands the shards over, and resolves when the requests under way have ended. */
  async stop (): Promise<void> {
    const { timers, decisions } = this.ports
    if (this.stopping) return
    this.stopping = true
    const stopAt = timers.monotonic()
    decisions.note({ event: 'stopping', underWay: this.underWay })
    await this.shards.leave()
    const lingerLeft = lingerMs - (timers.monotonic() - stopAt)
    await timerService.sleep(timers, Math.max(0, lingerLeft))
    this.clientServer.close()
    const endAt = stopAt + this.cfg.graceMs - endMarginMs
    while (this.underWay > 0 && timers.monotonic() < endAt) await timerService.sleep(timers, endLookMs)
    decisions.note({ event: 'stopped', underWay: this.underWay, tookMs: Math.round(timers.monotonic() - stopAt) })
  }

  /** Ends at once, as for tests: nothing is handed over. */
  close (): void {
    this.routingFollower.stop()
    this.upstreamFollower.stop()
    this.shards.close()
    this.loadSharer.close()
    for (const server of [this.clientServer, this.peerServer, this.readyServer]) {
      server.close()
      server.closeAllConnections()
    }
    this.sender.close()
  }

  private onClientRequest (req: http.IncomingMessage, res: http.ServerResponse): void {
    const arrivedAt = this.ports.timers.monotonic()
    if (this.stopping) res.setHeader('Connection', 'close')
    const reply = new inbound.Reply(res)
    const { routing } = this
    if (routing === undefined) {
      reply.refuse({ type: 'notReady', retryAfterMs: 500 })
      return
    }
    const problem = readRequest.checkHeaders(req, routing.bounds)
    if (problem !== undefined) {
      reply.refuse(problem, ['Connection', 'close'])
      return
    }
    readRequest.readBody(req, routing.bounds.maxBodyBytes, (body) => {
      if (body === undefined) reply.refuse({ type: 'bodyTooLarge', limitBytes: routing.bounds.maxBodyBytes }, ['Connection', 'close'])
      else this.serve(req, res, reply, body, arrivedAt)
    })
  }

  private serve (req: http.IncomingMessage, res: http.ServerResponse, reply: inbound.Reply, body: Buffer, arrivedAt: number): void {
    const decoded = this.ports.dialect.decodeAttempt(req.headers)
    if (decoded.type === 'invalid') {
      reply.refuse(decoded)
      return
    }
    const path = req.url ?? '/'
    const route = this.routes.find(req.headers.host ?? '', path)
    const service = route === undefined ? undefined : routeRequest.chooseService(route, Math.random)
    if (route === undefined || service === undefined) {
      this.ports.decisions.note({ event: 'unknownRoute', request: decoded.attempt.id, host: req.headers.host, path, version: this.routing?.version })
      reply.refuse({ type: 'unknownRoute' })
      return
    }
    this.count(res)
    const { attempt } = decoded
    const kind = route.retain !== undefined && attempt.turn !== undefined ? 'turn' : 'call'
    this.report(reply, attempt.id, kind, arrivedAt)
    const request: inbound.Inbound = {
      attempt,
      method: req.method ?? 'GET',
      path,
      rawHeaders: req.rawHeaders,
      body,
      route,
      service,
      tokensPerEvent: this.routing?.services.get(service)?.engine?.tokensPerEvent ?? 1,
      deadlineAt: arrivedAt + Math.min(route.timeoutMs, attempt.deadlineMs ?? Infinity),
      reply
    }
    this.ports.decisions.note({ event: 'routed', request: attempt.id, route: route.name, service, kind, version: this.routing?.version ?? 0, leftMs: Math.round(request.deadlineAt - arrivedAt) })
    if (kind === 'turn' && attempt.turn !== undefined) void routeTurn.routeTurn(this.turnPorts, request, attempt.turn)
    else serveCall.serveCall(this.turnPorts, request)
  }

  private announce (): void {
    for (const address of this.otherMembers()) void peerCalls.callPeer(this.peerPorts, address, { type: 'joinNow' }, announceTimeoutMs)
  }

  private otherMembers (): string[] {
    return this.shards.members().filter((member) => !this.shards.isSelf(member)).map(memberName.addressOf)
  }

  private onIsolation (isolated: boolean): void {
    if (isolated) void this.shards.standDown(standDownGraceMs)
    else this.shards.standUp()
  }

  /** Logs how the request ended. */
  private report (reply: inbound.Reply, request: string, kind: decisionLog.RequestKind, arrivedAt: number): void {
    const elapsed = (): number => Math.round(this.ports.timers.monotonic() - arrivedAt)
    let firstMs: number | undefined
    reply.onHead(() => { firstMs = elapsed() })
    reply.onEnd((end) => { this.ports.decisions.note({ event: 'ended', request, kind, ...end, firstMs, tookMs: elapsed() }) })
  }

  private count (res: http.ServerResponse): void {
    this.underWay += 1
    res.once('close', () => { this.underWay -= 1 })
  }

  /** Versions only rise within the life of a process. */
  private takeRouting (value: Uint8Array): void {
    let next: routeRequest.Routing
    try {
      next = this.ports.documents.decodeRouting(value)
    } catch (err) {
      this.ports.decisions.note({ event: 'routingUnreadable', err, version: this.routing?.version })
      return
    }
    if (this.routing !== undefined && next.version <= this.routing.version) return
    this.ports.decisions.note({ event: 'routing', version: next.version, former: this.routing?.version, routes: next.routes.length })
    this.routing = next
    this.routes = routeRequest.createRouteTable(next.routes)
    this.clientServer.keepAliveTimeout = Math.round(next.bounds.idleTimeoutMs * idleFactor)
    this.clientServer.headersTimeout = next.bounds.headerTimeoutMs
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
