/** The sidecar process of a host: all calls to the host's upstreams go through it, and it is the home of a part of the programs. */
import * as appendJournal from '@eelgrasswind/append-journal'
import type * as configState from '@eelgrasswind/config-state'
import * as guardUpstream from '@eelgrasswind/guard-upstream'
import * as orderQueue from '@eelgrasswind/order-queue'
import * as placeCall from '@eelgrasswind/place-call'
import * as processBase from '@eelgrasswind/process-base'
import * as programHome from '@eelgrasswind/program-home'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'
import * as ownUpstreams from './own-upstreams.js'
import * as ports from './ports.js'
import * as rules from './rules.js'
import type * as settings from './settings.js'
import * as shareLender from './share-lender.js'
import * as sidecarMetrics from './sidecar-metrics.js'
import * as upstreamDirectory from './upstream-directory.js'

/** Starts a sidecar; resolves once it serves, which requires a configuration. */
export async function startSidecar (cfg: settings.SidecarSettings): Promise<processBase.RunningProcess> {
  const base = await processBase.openProcessBase('eelgrasswind-sidecar', cfg)
  const { self, timers, logger, directory } = base
  const config = createConfigGetter(base)
  let isLeaving = false

  const guard = new guardUpstream.UpstreamGuard({ self, timers, logger, tracer: base.tracer, orderRule: orderQueue.defaultOrderRule })
  const upstreams = new ownUpstreams.OwnUpstreams(self.host, guard, cfg)
  const knownUpstreams = new upstreamDirectory.UpstreamDirectory({ self: self.host, region: cfg.region as types.RegionId, directory, config, timers, random: Math.random })
  const { config: initialConfig } = await base.configFollower.waitForFirst()
  const journal = await appendJournal.createJournal({
    log: base.logService,
    timers,
    logger,
    ...cfg.journal,
    retentionMs: initialConfig.limits.retentionMs,
    snapshotMs: initialConfig.limits.snapshotMs,
    onSuperseded: (program) => home.handleSuperseded(program)
  })
  const home: programHome.ProgramHome = new programHome.ProgramHome({
    self,
    journal,
    timers,
    logger,
    config,
    hosts: ports.createHostsPort(self.host, directory),
    upstreams: knownUpstreams,
    dispatchPort: ports.createDispatchPort(self.host, guard, directory),
    placeRule: placeCall.defaultPlaceRule,
    tracer: base.tracer,
    metrics: base.metrics,
    holdRule: () => rules.toHoldRule(config().limits.holdRule),
    admissionRule: () => rules.toAdmissionRule(config().limits.admissionRule),
    cacheUsed: (upstream) => knownUpstreams.getCacheUtilization(upstream),
    getLocalSlots: () => countSlots(self.host, base, guard),
    random: Math.random
  })

  const lender = new shareLender.ShareLender(base.config, timers)

  const applyConfig = (newConfig: configState.Config): void => {
    guard.setOrderRule(rules.toOrderRule(newConfig.limits.queueRule))
    upstreams.apply(newConfig)
  }
  base.configFollower.subscribe(({ config: newConfig }) => applyConfig(newConfig))
  applyConfig(config())
  const gauges = processBase.startProcessMetrics(base, sidecarMetrics.createSidecarMetrics(base.metrics, home, guard, journal))
  const snapshots = timers.every(snapshotIntervalMs, () => { void home.writeSnapshots() })
  const server = await sidecarClient.startPeerServer({
    bindAddress: cfg.bindAddress,
    port: cfg.peerPort,
    listenTimeoutMs: cfg.listenTimeoutMs,
    logger,
    getSender: () => ({ host: self.host, incarnation: self.incarnation, leaving: isLeaving, configVersion: base.configFollower.current()?.version ?? noConfigVersion }),
    process: processBase.createProcessHandlers(base, {
      status: () => createStatus(cfg, base, home, guard, journal, isLeaving),
      explain: (program, key) => home.explain(program, key),
      loads: () => guard.getLoads()
    }),
    home,
    upstream: guard,
    limits: lender
  })

  async function drain (): Promise<void> {
    isLeaving = true
    await home.drain()
    await server.drain()
  }

  async function close (): Promise<void> {
    snapshots.cancel()
    gauges.cancel()
    await server.close()
    await journal.close()
    guard.close()
    lender.close()
    await upstreams.close()
    await base.close()
  }

  return { readyLine: { ready: true as const, binary: 'eelgrasswind-sidecar', peerAddress: `http://${cfg.bindAddress}:${server.port}` }, drain, close, logger }
}

/** Interval at which programs are checked for snapshots that are due, in milliseconds. */
const snapshotIntervalMs = 60_000
const noConfigVersion = 0 as types.ConfigVersion

/** Returns a getter of the configuration. Requests are served only after the first one is loaded, so a missing one is a bug. */
function createConfigGetter (base: processBase.ProcessBase) {
  return () => {
    const config = base.config()
    if (config === undefined) throw new Error('no configuration is loaded yet')
    return config
  }
}

function countSlots (host: types.HostId, base: processBase.ProcessBase, guard: guardUpstream.UpstreamGuard): { slots: number, waiting: number } {
  const engines = base.config()?.hosts.get(host)?.upstreams.filter((upstream) => upstream.type === 'engine') ?? []
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0)
  const waiting = guard.getStatus().reduce((sum, { type, waiting: calls }) => type === 'engine' ? sum + calls : sum, 0)
  return { slots, waiting }
}

function createStatus (cfg: settings.SidecarSettings, base: processBase.ProcessBase, home: programHome.ProgramHome, guard: guardUpstream.UpstreamGuard, journal: appendJournal.Journal, isLeaving: boolean): types.ProcessStatus {
  return {
    host: base.self.host,
    role: 'sidecar',
    region: cfg.region as types.RegionId,
    availabilityZone: cfg.availabilityZone as types.AvailabilityZoneId,
    incarnation: base.self.incarnation,
    startedAt: base.startedAt,
    configVersion: base.configFollower.current()?.version ?? noConfigVersion,
    leaving: isLeaving,
    programsAtHome: home.programCount,
    callsInFlight: guard.countCallsInFlight(),
    journal: { ...journal.getCounters() },
    upstreams: guard.getStatus()
  }
}
