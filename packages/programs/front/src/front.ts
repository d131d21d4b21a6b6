/** The front process: its listeners, its shards and its graceful shutdown. */
import * as bodyBudget from '@eelgrasswind/body-budget'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as drainServer from '@eelgrasswind/drain-server'
import type * as http from 'node:http'
import * as limitConnections from '@eelgrasswind/limit-connections'
import * as listenServer from '@eelgrasswind/listen-server'
import * as ownShards from '@eelgrasswind/own-shards'
import * as relayStore from '@eelgrasswind/relay-store'
import type * as routeRequest from '@eelgrasswind/route-request'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import * as accountLimits from './account-limits.js'
import * as clientListener from './client-listener.js'
import * as closeServers from './close-servers.js'
import type * as crashReports from './crash-reports.js'
import * as currentRouting from './current-routing.js'
import type * as dialects from './dialect.js'
import * as heldAnswers from './held-answers.js'
import * as keptTurns from './kept-turns.js'
import * as limitListener from './limit-listener.js'
import * as memberName from './member-name.js'
import * as meterCall from './meter-call.js'
import * as peerCalls from './peer-calls.js'
import * as peerListener from './peer-listener.js'
import * as peerLiveness from './peer-liveness.js'
import * as peerProbe from './peer-probe.js'
import * as peerFailureDetector from './peer-failure-detector.js'
import * as probeServer from './probe-server.js'
import * as programAdmission from './program-admission.js'
import * as promptLocations from './prompt-locations.js'
import * as inFlightRequests from './in-flight-requests.js'
import * as retryBudget from './retry-budget.js'
import * as routeTurn from './route-turn.js'
import type * as settings from './settings.js'
import * as shardTopics from './shard-topics.js'
import * as shutdowns from './shutdown.js'
import * as storeOutage from './store-outage.js'
import * as upstreamCrashes from './upstream-crashes.js'
import * as upstreamProbe from './upstream-probe.js'
import * as upstreamView from './upstream-view.js'
import * as watchLoad from './watch-load.js'

/** Location and encoding of the published documents; a platform's adapter implements it. */
export interface DocumentFormat {
  /** Where the operator's routing is stored. */
  readonly routing: { readonly partition: shardLog.Partition, readonly key: string }
  readonly upstreams: shardLog.Partition
  readonly decodeRouting: (value: Uint8Array) => routeRequest.Routing
  readonly decodeUpstream: (key: string, value: Uint8Array) => trackUpstreams.ListedUpstream
}

/** Dependencies that differ between platforms, or that a test replaces. */
export interface FrontPorts {
  readonly log: shardLog.ShardLog
  readonly dialect: dialects.Dialect
  readonly documents: DocumentFormat
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Name of the settings file, for the log. */
  readonly settingsFile: string
}

/** Idle outgoing connections are closed after this time, in ms: below the shortest known idle timeout of an upstream, 5 s. At 2 s, three sends in ten had to open a connection. */
const idleConnectionMs = 3_500
/** The same for requests that must not run twice, while upstreams drop idle connections without notice, in ms: some drop them after 300. */
const freshConnectionMs = 250
/** Timeout of a shard handover for the last answers of the store, in ms: a slow answer takes about 300. */
const handoverTimeoutMs = 900
/** Poll interval for the owners of all shards, in ms. */
const ownersPollMs = 1_000
/** New connections are still accepted for this long after the stop signal, in ms: the load balancer needs two readiness checks to notice. */
const drainDelayMs = 3_000
/** Upper limit of that time, as a share of the time that shutdown may take; the rest is left for the last requests to end. */
const drainDelayShare = 0.5
/** The process stops waiting for requests this long before it would be killed, in ms. */
const shutdownMarginMs = 700
/** Time for the last answers to be sent, in ms, within that margin. */
const lastAnswersMs = 250
/** Poll interval for the number of in-flight requests during shutdown, in ms: well below the time that shutdown takes. */
const drainPollMs = 20
/** Timeout of a store call that is relayed through a peer, in ms: the peer's own timeout plus the network time. */
const relayTimeoutMs = 1_600
/** Ping timeout of the failure detector, in ms; a peer that misses it is asked for a connection. */
const pingTimeoutMs = 200
/** Timeout for opening a connection to a peer that does not answer pings, in ms: a host that is up accepts it within a round trip, unless its accept queue is full. */
const peerConnectTimeoutMs = 200
/** Time for in-flight turns to end before an isolated process gives up its shards, in ms. */
const suspendGraceMs = 600
/** Timeout of an announcement, in ms; no code waits for its answer. */
const announceTimeoutMs = 500
/** Timeout for opening a connection to watch an upstream, in ms: as for a request. */
const idleConnectionTimeoutMs = 250
/**
 * Idle outgoing connections to peers are closed after this time, in ms. Two processes forward a turn to each other every
 * few seconds, and a busy process accepts only one new connection in each round of its event loop.
 */
const peerIdleConnectionMs = 10_000
/** Idle timeout of connections between front processes on the called side, in ms: longer than on the calling side. */
const peerKeepAliveMs = 3 * peerIdleConnectionMs

/** One front process, from start to exit. */
export class Front {
  private readonly sender: sendHttp.PooledSender
  private readonly peerSender: sendHttp.PooledSender
  private readonly inFlightRequests: inFlightRequests.InFlightRequests
  private readonly peerCallPorts: peerCalls.PeerCallPorts
  private readonly shards: ownShards.ShardOwner
  private readonly liveness: peerLiveness.PeerLiveness
  private readonly failureDetector: peerFailureDetector.PeerFailureDetector
  private readonly routing: currentRouting.CurrentRouting
  private readonly upstreams: upstreamView.UpstreamView
  private readonly limits: accountLimits.AccountLimits
  private readonly crashes: upstreamCrashes.UpstreamCrashes
  private readonly clientServer: drainServer.DrainServer
  private readonly clientConnections: limitConnections.ConnectionLimit
  private readonly peerServer: http.Server
  private readonly readyServer: http.Server
  private readonly shutdown: shutdowns.Shutdown
  /** Without a routing no body is read. */
  private readonly bodyBudget = new bodyBudget.BodyBudget(0)
  private pendingStop: Promise<void> | undefined
  /** Ends the wait for ports. */
  private readonly startAbort = new AbortController()
  private hasPorts = false
  private loadWatch: timerService.Subscription | undefined

  constructor (private readonly cfg: settings.FrontSettings, private readonly ports: FrontPorts) {
    const { documents } = ports
    const onSinkError = (err: unknown): void => { ports.decisions.record({ event: 'unexpected', err }) }
    this.sender = sendHttp.createSender({ idleTimeoutMs: idleConnectionMs, shortIdleTimeoutMs: freshConnectionMs, onSinkError })
    this.peerSender = sendHttp.createSender({ idleTimeoutMs: peerIdleConnectionMs, shortIdleTimeoutMs: peerIdleConnectionMs, onSinkError })
    this.inFlightRequests = new inFlightRequests.InFlightRequests(ports)
    this.shutdown = new shutdowns.Shutdown(ports)
    this.peerCallPorts = { peerSender: this.peerSender, timers: ports.timers, decisions: ports.decisions }
    const log = this.createRelayedLog()
    this.shards = this.createShards(log)
    this.liveness = new peerLiveness.PeerLiveness({
      timers: ports.timers,
      getReportAgeMs: (address, now) => this.upstreams.peerLoads.getReportAgeMs(address, now),
      isMember: (address) => this.listPeerAddresses().includes(address)
    })
    this.failureDetector = this.createFailureDetector()
    this.routing = new currentRouting.CurrentRouting({
      ...ports,
      log,
      document: { ...documents.routing, decode: documents.decodeRouting },
      onChange: ({ bounds }) => {
        clientListener.applyBounds(this.clientServer, bounds)
        this.bodyBudget.setMaxBytes(bodyBudget.computeMaxBytes(cfg.memoryMb, bounds.maxBodyBytes))
      }
    })
    this.upstreams = new upstreamView.UpstreamView({
      ...ports,
      log,
      partition: documents.upstreams,
      decode: documents.decodeUpstream,
      peerAddress: cfg.peerAddress,
      peers: () => this.listPeerAddresses()
    })
    this.limits = new accountLimits.AccountLimits({
      ...ports,
      callPeer: (address, call, timeoutMs) => this.callMeterOwner(address, call, timeoutMs),
      shards: this.shards,
      log,
      routing: this.routing,
      host: cfg.host,
      address: cfg.peerAddress,
      random: Math.random,
      peerCount: () => this.upstreams.peerLoads.peerCount,
      slack: cfg.limitSlack
    })
    this.crashes = this.createCrashes(log)
    const turnPorts = this.createTurnPorts()
    this.clientServer = clientListener.createClientServer({
      ...turnPorts,
      routing: this.routing,
      inFlightRequests: this.inFlightRequests,
      limits: this.limits,
      maxRoutingAgeMs: cfg.mostRoutingAgeMs,
      shutdown: this.shutdown,
      bodyBudget: this.bodyBudget,
      heldAnswers: new heldAnswers.HeldAnswers()
    })
    this.clientConnections = limitListener.limitListener(ports, 'client', this.clientServer.server, limitConnections.getClientConnectionBound(cfg.maxDescriptors))
    this.peerServer = peerListener.createPeerServer({ ...turnPorts, directLog: ports.log, inFlightRequests: this.inFlightRequests, limits: this.limits, shutdown: this.shutdown, crashCalls: this.crashes }, peerKeepAliveMs)
    this.readyServer = probeServer.createProbeServer(ports, 'ready', (_req, res) => {
      res.writeHead(this.isReady ? 200 : 503)
      res.end()
    })
  }

  /** Whether the load balancer should send new clients to this process. */
  get isReady (): boolean {
    return !this.shutdown.hasBegun && !this.failureDetector.isIsolated && this.routing.current !== undefined && this.upstreams.isLoaded && this.crashes.isLoaded
  }

  get servedShardCount (): number {
    return this.shards.listServingShards().length
  }

  get unreadableShardCount (): number {
    return this.shards.listUnreadableShards().length
  }

  get inFlightRequestCount (): number {
    return this.inFlightRequests.count
  }

  get clientConnectionCount (): number {
    return this.clientConnections.openCount
  }

  /** Bytes of the bodies of client requests that have not ended. */
  get bodyBytes (): number {
    return this.bodyBudget.usedBytes
  }

  /** Memory of the kept turns of all shards of this process, in bytes. */
  get keptTurnBytes (): number {
    return this.shards.keptBytes
  }

  get maxKeptTurnBytes (): number {
    return keptTurns.computeMaxKeptBytes(this.cfg.memoryMb)
  }

  get maxBodiesBytes (): number {
    return this.bodyBudget.limitBytes
  }

  get routingVersion (): number {
    return this.routing.version
  }

  get upstreamCount (): number {
    return this.upstreams.list.size
  }

  /** Resolves once this process serves, or was told to stop before. Rejects with a `ListenError` if a port stays taken. */
  async start (): Promise<void> {
    await this.openPorts()
    if (this.startAbort.signal.aborted) return
    this.hasPorts = true
    await this.upstreams.start()
    if (this.pendingStop !== undefined) return
    this.routing.start()
    this.shards.start()
    this.crashes.start()
    this.loadWatch = watchLoad.watchLoad({ ...this.ports, countWork: () => ({ underWay: this.inFlightRequestCount, shards: this.servedShardCount }), readHeap: watchLoad.readHeap })
    this.ports.decisions.record({ event: 'started', client: this.cfg.clientAddress, peer: this.cfg.peerAddress, zone: this.cfg.availabilityZone, settings: this.ports.settingsFile })
  }

  /** Shuts down gracefully: hands over the shards, stops accepting clients, and resolves when the in-flight requests have ended or the time is up. */
  stop (): Promise<void> {
    this.pendingStop ??= this.hasPorts ? this.drainAndClose() : this.cancelStart()
    return this.pendingStop
  }

  /** Clients are accepted last, once peers can reach this process and the load balancer can ask whether it is ready. */
  private async openPorts (): Promise<void> {
    const { timers, decisions } = this.ports
    const deadlineAt = timers.monotonic() + this.cfg.listenTimeoutMs
    const listen = async (listener: string, server: http.Server, address: string): Promise<void> => {
      await listenServer.listen(server, {
        listener,
        ...parseAddress(address),
        timeoutMs: deadlineAt - timers.monotonic(),
        signal: this.startAbort.signal,
        report: (event) => { decisions.record(event) }
      })
    }
    try {
      await Promise.all([listen('peer', this.peerServer, this.cfg.peerAddress), listen('ready', this.readyServer, this.cfg.readyAddress)])
      await listen('client', this.clientServer.server, this.cfg.clientAddress)
    } catch (err) {
      this.startAbort.abort()
      throw err
    }
  }

  /** Stops a process that waits for its ports: it has accepted no clients and joined no group. */
  private async cancelStart (): Promise<void> {
    const { timers, decisions } = this.ports
    decisions.record({ event: 'stopping', underWay: 0 })
    this.startAbort.abort()
    this.shutdown.begin(timers.monotonic())
    closeServers.closeServers([this.clientServer.server, this.peerServer, this.readyServer])
    decisions.record({ event: 'stopped', underWay: 0, tookMs: 0 })
  }

  /** Stops after an unexpected error: what this process has in memory may be wrong, so its shards are given up without further records; requests in flight still end. */
  stopAfterError (): Promise<void> {
    this.shards.abandon()
    return this.stop()
  }

  private async drainAndClose (): Promise<void> {
    const { timers, decisions } = this.ports
    const stopStartedAt = timers.monotonic()
    const shutdownTimeoutMs = this.cfg.graceMs - shutdownMarginMs
    const drainDeadlineAt = stopStartedAt + shutdownTimeoutMs
    this.clientServer.startDraining()
    this.shutdown.begin(drainDeadlineAt)
    decisions.record({ event: 'stopping', underWay: this.inFlightRequests.count })
    await this.shards.leave()
    const acceptUntil = stopStartedAt + Math.min(drainDelayMs, shutdownTimeoutMs * drainDelayShare)
    await timerService.sleep(timers, Math.max(0, acceptUntil - timers.monotonic()))
    this.clientServer.server.close()
    await this.drainRequests(drainDeadlineAt)
    this.shutdown.expire()
    await this.awaitAnswersSent(timers.monotonic() + lastAnswersMs)
    // A request that is read after this point would run and be cut off when the process exits.
    closeServers.closeServers([this.clientServer.server, this.peerServer])
    decisions.record({ event: 'stopped', underWay: this.inFlightRequests.count, tookMs: Math.round(timers.monotonic() - stopStartedAt) })
  }

  /** Resolves once no request is open and clients have had the time to send their next one on a kept connection, or at the deadline, in monotonic ms. */
  private async drainRequests (deadlineAt: number): Promise<void> {
    const { timers } = this.ports
    let idleSince = timers.monotonic()
    while (timers.monotonic() < Math.min(deadlineAt, idleSince + drainServer.drainKeepAliveMs)) {
      await timerService.sleep(timers, drainPollMs)
      if (this.inFlightRequests.count > 0 || this.clientServer.openRequestCount > 0) idleSince = timers.monotonic()
    }
  }

  /** Resolves once the answers of all requests have been sent, or at the deadline, in monotonic ms. */
  private async awaitAnswersSent (deadlineAt: number): Promise<void> {
    const { timers } = this.ports
    while (timers.monotonic() < deadlineAt && (this.inFlightRequests.count > 0 || this.clientServer.openRequestCount > 0)) await timerService.sleep(timers, drainPollMs)
  }

  /** Stops at once without handing over shards, as tests need it. */
  close (): void {
    this.startAbort.abort()
    this.loadWatch?.cancel()
    this.routing.stop()
    this.upstreams.stop()
    this.shards.close()
    this.failureDetector.close()
    this.limits.close()
    this.crashes.close()
    closeServers.closeServers([this.clientServer.server, this.peerServer, this.readyServer])
    this.sender.close()
    this.peerSender.close()
  }

  private createRelayedLog (): shardLog.ShardLog {
    return new relayStore.RelayedLog({
      ...this.ports,
      directLog: this.ports.log,
      peers: () => this.listPeerAddresses(),
      callPeer: (address, call) => peerCalls.callPeer(this.peerCallPorts, address, { type: 'store', call }, relayTimeoutMs)
    }).log
  }

  private createShards (log: shardLog.ShardLog): ownShards.ShardOwner {
    const { cfg } = this
    return new ownShards.ShardOwner({
      group: 'homes',
      member: memberName.formatMemberName(cfg.host, cfg.peerAddress),
      topics: shardTopics.listShardTopics(cfg.shardTopics),
      partitionsPerTopic: cfg.storeParts,
      leaseMs: cfg.leaseMs,
      heartbeatMs: cfg.heartbeatMs,
      ownersPollMs,
      handoverTimeoutMs
    }, { ...this.ports, log, onShardsReleased: () => { this.announceFreeShards() }, onHandOver: (partition) => this.limits.handOver(partition) })
  }

  private createFailureDetector (): peerFailureDetector.PeerFailureDetector {
    return new peerFailureDetector.PeerFailureDetector({
      ...this.ports,
      peers: () => this.listPeerAddresses(),
      liveness: this.liveness,
      ping: (address) => this.ping(address, pingTimeoutMs),
      connect: (address) => sendHttp.probeConnection(address, peerConnectTimeoutMs),
      onPeerSilent: (address) => { this.onPeerSilent(address) },
      onIsolationChanged: (isIsolated) => { this.onIsolationChanged(isIsolated) }
    })
  }

  private async ping (address: string, timeoutMs: number): Promise<boolean> {
    return await peerCalls.callPeer(this.peerCallPorts, address, { type: 'ping' }, timeoutMs) !== undefined
  }

  private createTurnPorts (): routeTurn.RouteTurnPorts {
    const { upstreams } = this
    return {
      ...this.peerCallPorts,
      sender: this.sender,
      dialect: this.ports.dialect,
      shards: this.shards,
      failureDetector: this.failureDetector,
      suspects: new routeTurn.SuspectedPeers(),
      promptLocations: new promptLocations.PromptLocations(),
      peerProbe: new peerProbe.PeerProbe({
        ...this.ports,
        liveness: this.liveness,
        ping: (address, timeoutMs) => this.ping(address, timeoutMs),
        connect: (address) => sendHttp.probeConnection(address, peerConnectTimeoutMs),
        onSuspected: (address) => { this.failureDetector.suspect(address) },
        pingTimeoutMs: this.cfg.leaseMs
      }),
      admission: new programAdmission.ProgramAdmission({ ...this.ports, upstreams: upstreams.list, peerLoads: upstreams.peerLoads, findEngineRules: (service) => this.routing.current?.services.get(service)?.engine, random: Math.random }),
      deferredTurns: new storeOutage.DeferredTurns(),
      maxKeptBytes: keptTurns.computeMaxKeptBytes(this.cfg.memoryMb),
      maxUnstoredBytes: storeOutage.computeMaxUnstoredBytes(this.cfg.memoryMb),
      retryBudget: new retryBudget.RetryBudget(),
      upstreams: upstreams.list,
      peerLoads: upstreams.peerLoads,
      health: upstreams.health,
      crashes: this.crashes,
      listAgeMs: () => upstreams.ageMs(),
      maxAnswerBytes: this.cfg.maxAnswerBytes
    }
  }

  /** An answer that is none of a release counts as none. */
  private async callMeterOwner (address: string, call: meterCall.MeterCall, timeoutMs: number): Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer> {
    const outcome = await peerCalls.tryCallPeer<meterCall.EarlierMeterCallAnswer>(this.peerCallPorts, address, call, timeoutMs)
    if (outcome.type === 'none') return { type: 'noAnswer', ended: outcome.ended }
    try {
      return meterCall.completeAnswer(outcome.answer)
    } catch (err) {
      this.ports.decisions.record({ event: 'peerCallFailed', err })
      return { type: 'noAnswer', ended: false }
    }
  }

  private createCrashes (log: shardLog.ShardLog): upstreamCrashes.UpstreamCrashes {
    const { timers } = this.ports
    const { connections } = this.sender
    const probe = new upstreamProbe.UpstreamProbe({ upstreams: this.upstreams.list, examineBreak: (address) => sendHttp.examineBreak(timers, address, connections) })
    return new upstreamCrashes.UpstreamCrashes({
      ...this.ports,
      probe,
      // An earlier release relays no writes of this kind.
      crashLog: { put: (partition, records) => this.ports.log.put(partition, records), readNewest: (partition, after) => log.readNewest(partition, after) },
      connections,
      openIdleConnection: (address) => sendHttp.openIdleConnection(address, idleConnectionTimeoutMs, connections),
      address: this.cfg.peerAddress,
      members: () => this.shards.listMembers().map(memberName.parsePeerAddress),
      otherPeers: () => this.upstreams.peerLoads.peers,
      callPeer: async (address, call, timeoutMs) => {
        const answer = await peerCalls.callPeer<crashReports.CrashCallAnswer | null>(this.peerCallPorts, address, call, timeoutMs)
        // An earlier release does not know this call, and answers null.
        return answer ?? undefined
      }
    })
  }

  private announceFreeShards (silentAddress?: string): void {
    for (const address of this.listPeerAddresses()) void peerCalls.callPeer(this.peerCallPorts, address, { type: 'joinNow', silent: silentAddress }, announceTimeoutMs)
  }

  /** Moves the shards of an unresponsive process now instead of when its lease expires; its epoch is fenced. */
  private onPeerSilent (address: string): void {
    const member = this.shards.listMembers().find((name) => memberName.parsePeerAddress(name) === address)
    if (member === undefined) return
    this.announceFreeShards(address)
    void this.shards.evict(member, 'silent')
  }

  private listPeerAddresses (): string[] {
    return this.shards.listMembers().filter((member) => !this.shards.isSelf(member)).map(memberName.parsePeerAddress)
  }

  private onIsolationChanged (isIsolated: boolean): void {
    if (isIsolated) void this.shards.suspend(suspendGraceMs)
    else this.shards.resume()
  }
}

function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const [host, port] = address.split(':') as [string, string]
  return { host, port: Number(port) }
}
