/** The process beside an upstream host: the door to its upstreams, and the home of a share of the programs. */
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

export async function startSidecar (cfg: settings.SidecarSettings): Promise<processBase.RunningProcess> {
  const base = await processBase.openProcessBase('eelgrasswind-sidecar', cfg)
  const { self, timers, logger, directory } = base
  const config = requireConfig(base)
  let leaving = false

  const guard = new guardUpstream.UpstreamGuard({ self, timers, logger, tracer: base.tracer, orderRule: orderQueue.defaultOrderRule })
  const upstreams = new ownUpstreams.OwnUpstreams(self.host, guard, cfg)
  const known = new upstreamDirectory.UpstreamDirectory({ self: self.host, region: cfg.region as types.RegionId, directory, config, timers, random: Math.random })
  const { config: first } = await base.configFollower.waitForFirst()
  const journal = await appendJournal.createJournal({
    log: base.logService,
    timers,
    logger,
    ...cfg.journal,
    retentionMs: first.limits.retentionMs,
    snapshotMs: first.limits.snapshotMs,
    onSuperseded: (program) => home.handleSuperseded(program)
  })
  const home: programHome.ProgramHome = new programHome.ProgramHome({
    self,
    journal,
    timers,
    logger,
    config,
    hosts: ports.createHostsPort(self.host, directory),
    upstreams: known,
    dispatchPort: ports.createDispatchPort(self.host, guard, directory),
    placeRule: placeCall.defaultPlaceRule,
    tracer: base.tracer,
    metrics: base.metrics,
    holdRule: () => rules.holdRuleOf(config().limits.holdRule),
    admissionRule: () => rules.admissionRuleOf(config().limits.admissionRule),
    cacheUsed: (upstream) => known.cacheUsed(upstream),
    getLocalSlots: () => slotsOf(self.host, base, guard),
    random: Math.random
  })

  const lender = new shareLender.ShareLender(base.config, timers)

  const applyConfig = (next: configState.Config): void => {
    guard.setOrderRule(rules.orderRuleOf(next.limits.queueRule))
    upstreams.apply(next)
  }
  base.configFollower.subscribe(({ config: next }) => applyConfig(next))
  applyConfig(config())
  const gauges = processBase.startProcessMetrics(base, sidecarMetrics.createSidecarMetrics(base.metrics, home, guard, journal))
  const snapshots = timers.every(snapshotPeriodMs, () => { void home.writeSnapshots() })
  const server = await sidecarClient.startPeerServer({
    bindAddress: cfg.bindAddress,
    port: cfg.peerPort,
    getSender: () => ({ host: self.host, incarnation: self.incarnation, leaving, configVersion: base.configFollower.current()?.version ?? noConfigVersion }),
    process: processBase.createProcessHandlers(base, {
      status: () => statusOf(cfg, base, home, guard, journal, leaving),
      explain: (program, key) => home.explain(program, key),
      loads: () => guard.loads()
    }),
    home,
    upstream: guard,
    limits: lender
  })

  async function drain (): Promise<void> {
    leaving = true
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

/** How often programs are looked through for snapshots that are due, in milliseconds. */
const snapshotPeriodMs = 60_000
const noConfigVersion = 0 as types.ConfigVersion

/** Requests come only after the first configuration; a home asked earlier is a fault of this file. */
function requireConfig (base: processBase.ProcessBase) {
  return () => {
    const config = base.config()
    if (config === undefined) throw new Error('there is no configuration yet')
    return config
  }
}

function slotsOf (host: types.HostId, base: processBase.ProcessBase, guard: guardUpstream.UpstreamGuard): { slots: number, waiting: number } {
  const engines = base.config()?.hosts.get(host)?.upstreams.filter((upstream) => upstream.type === 'engine') ?? []
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0)
  const waiting = guard.status().reduce((sum, { type, waiting: calls }) => type === 'engine' ? sum + calls : sum, 0)
  return { slots, waiting }
}

function statusOf (cfg: settings.SidecarSettings, base: processBase.ProcessBase, home: programHome.ProgramHome, guard: guardUpstream.UpstreamGuard, journal: appendJournal.Journal, leaving: boolean): types.ProcessStatus {
  return {
    host: base.self.host,
    role: 'sidecar',
    region: cfg.region as types.RegionId,
    availabilityZone: cfg.availabilityZone as types.AvailabilityZoneId,
    incarnation: base.self.incarnation,
    startedAt: base.startedAt,
    configVersion: base.configFollower.current()?.version ?? noConfigVersion,
    leaving,
    programsAtHome: home.programCount,
    callsInFlight: guard.callsInFlight(),
    journal: { ...journal.getCounters() },
    upstreams: guard.status()
  }
}
