/** The entry process: HTTP to callers, forwarding to each program's home; holds no program state. */
import * as callerServer from '@eelgrasswind/caller-server'
import * as processBase from '@eelgrasswind/process-base'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'
import * as callerHandlers from './caller-handlers.js'
import * as clientLimits from './client-limits.js'
import * as forwarding from './forward.js'
import type * as settings from './settings.js'

export async function startEntry (cfg: settings.EntrySettings): Promise<processBase.RunningProcess> {
  const base = await processBase.openProcessBase('eelgrasswind-entry', cfg)
  const { self, timers, logger, directory } = base
  let leaving = false
  let requests = 0

  const forwarder = new forwarding.Forwarder({
    timers,
    rankHomes: (program) => directory.rankHomes(program),
    ask: (host, send) => directory.callPeer(host, send),
    isKnown: (host) => directory.stateOf(host) !== 'gone',
    random: Math.random
  })
  const handlers = callerHandlers.createCallerHandlers({
    forwarder,
    timers,
    config: base.config,
    homePatienceMs: cfg.homePatienceMs,
    tracer: base.tracer,
    limits: new clientLimits.ClientLimits({ self: self.host, timers, config: base.config, directory, onLimited: () => base.metrics.increment('client.limited') }),
    noteRequest: (target, startedAt, failure) => {
      requests += 1
      base.metrics.increment('request.finished', 1, { target, result: failure?.tag ?? 'ok' })
      base.metrics.timing('request.latency', timers.monotonic() - startedAt, { target })
    }
  })
  const peers = await sidecarClient.startPeerServer({
    bindAddress: cfg.bindAddress,
    port: cfg.peerPort,
    getSender: () => ({ host: self.host, incarnation: self.incarnation, leaving, configVersion: versionOf(base) }),
    process: processBase.createProcessHandlers(base, {
      status: () => statusOf(cfg, base, leaving),
      explain: (program, key) => ({ program, key, decisions: [] }),
      loads: () => []
    })
  })
  const gauges = processBase.startProcessMetrics(base, () => undefined)
  await base.configFollower.waitForFirst()
  const callers = await callerServer.startCallerServer({ bindAddress: cfg.bindAddress, port: cfg.callerPort, handlers, logger })

  async function drain (): Promise<void> {
    leaving = true
    await callers.drain()
    logger.info({ requests }, 'no request is under way')
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

function versionOf (base: processBase.ProcessBase): types.ConfigVersion {
  return base.configFollower.current()?.version ?? 0 as types.ConfigVersion
}

function statusOf (cfg: settings.EntrySettings, base: processBase.ProcessBase, leaving: boolean): types.ProcessStatus {
  return {
    host: base.self.host,
    role: 'entry',
    region: cfg.region as types.RegionId,
    availabilityZone: cfg.availabilityZone as types.AvailabilityZoneId,
    incarnation: base.self.incarnation,
    startedAt: base.startedAt,
    configVersion: versionOf(base),
    leaving,
    programsAtHome: 0,
    callsInFlight: 0,
    journal: {},
    upstreams: []
  }
}
