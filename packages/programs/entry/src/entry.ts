/** The entry process: serves HTTP to callers and forwards requests to each program's home. It holds no program state. */
import * as callerServer from '@eelgrasswind/caller-server'
import * as processBase from '@eelgrasswind/process-base'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'
import * as callerHandlers from './caller-handlers.js'
import * as clientLimits from './client-limits.js'
import * as connectionReports from './connection-report.js'
import * as forwarding from './forward.js'
import type * as settings from './settings.js'

/** Starts an entry; resolves once it serves callers, which requires a configuration. */
export async function startEntry (cfg: settings.EntrySettings): Promise<processBase.RunningProcess> {
  const base = await processBase.openProcessBase('eelgrasswind-entry', cfg)
  const { self, timers, logger, directory } = base
  let isLeaving = false
  let requestCount = 0

  const forwarder = new forwarding.Forwarder({
    timers,
    rankHomes: (program) => directory.rankHomes(program),
    callPeer: (host, send) => directory.callPeer(host, send),
    isKnown: (host) => directory.stateOf(host) !== 'gone',
    random: Math.random
  })
  const handlers = callerHandlers.createCallerHandlers({
    forwarder,
    timers,
    getConfig: base.config,
    homeTimeoutMs: cfg.homePatienceMs,
    tracer: base.tracer,
    limits: new clientLimits.ClientLimits({ self: self.host, timers, getConfig: base.config, directory, onLimited: () => base.metrics.increment('client.limited') }),
    onRequestEnded: (target, startedAt, failure) => {
      requestCount += 1
      base.metrics.increment('request.finished', 1, { target, result: failure?.tag ?? 'ok' })
      base.metrics.timing('request.latency', timers.monotonic() - startedAt, { target })
    }
  })
  const peerListenStartedAt = timers.monotonic()
  const peers = await sidecarClient.startPeerServer({
    bindAddress: cfg.bindAddress,
    port: cfg.peerPort,
    listenTimeoutMs: cfg.listenTimeoutMs,
    logger,
    getSender: () => ({ host: self.host, incarnation: self.incarnation, leaving: isLeaving, configVersion: getConfigVersion(base) }),
    process: processBase.createProcessHandlers(base, {
      status: () => createStatus(cfg, base, isLeaving),
      explain: (program, key) => ({ program, key, decisions: [] }),
      loads: () => []
    })
  })
  const peerListenMs = timers.monotonic() - peerListenStartedAt
  let getConnectionCount = (): number => 0
  const gauges = processBase.startProcessMetrics(base, () => { base.metrics.gauge('connection.open', getConnectionCount()) })
  await base.configFollower.waitForFirst()
  const callers = await callerServer.startCallerServer({
    bindAddress: cfg.bindAddress,
    port: cfg.callerPort,
    // What the peer port has left; the time for the first configuration does not count.
    listenTimeoutMs: Math.max(0, cfg.listenTimeoutMs - peerListenMs),
    handlers,
    logger,
    maxDescriptors: cfg.maxDescriptors,
    memoryMb: cfg.memoryMb,
    onConnectionClosed: connectionReports.createConnectionReport({ timers, logger, metrics: base.metrics, getOpenCount: () => getConnectionCount() })
  })
  getConnectionCount = callers.getConnectionCount

  async function drain (): Promise<void> {
    isLeaving = true
    await callers.drain()
    logger.info({ requests: requestCount }, 'no requests in flight')
  }

  async function close (): Promise<void> {
    gauges.cancel()
    await callers.close()
    await peers.close()
    await base.close()
  }

  const ready = {
    ready: true as const,
    binary: 'eelgrasswind-entry',
    peerAddress: `http://${cfg.bindAddress}:${peers.port}`,
    callerAddress: `http://${cfg.bindAddress}:${callers.port}`
  }
  return { readyLine: ready, drain, close, logger }
}

function getConfigVersion (base: processBase.ProcessBase): types.ConfigVersion {
  return base.configFollower.current()?.version ?? 0 as types.ConfigVersion
}

function createStatus (cfg: settings.EntrySettings, base: processBase.ProcessBase, isLeaving: boolean): types.ProcessStatus {
  return {
    host: base.self.host,
    role: 'entry',
    region: cfg.region as types.RegionId,
    availabilityZone: cfg.availabilityZone as types.AvailabilityZoneId,
    incarnation: base.self.incarnation,
    startedAt: base.startedAt,
    configVersion: getConfigVersion(base),
    leaving: isLeaving,
    programsAtHome: 0,
    callsInFlight: 0,
    journal: {},
    upstreams: []
  }
}
