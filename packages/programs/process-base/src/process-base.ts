/** Opens the components that every entry and sidecar needs, in order of their dependencies. */
import * as crypto from 'node:crypto'
import * as chooseHome from '@eelgrasswind/choose-home'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as followConfig from '@eelgrasswind/follow-config'
import * as hostListClient from '@eelgrasswind/host-list-client'
import * as logClient from '@eelgrasswind/log-client'
import * as logger from '@eelgrasswind/logger'
import * as metrics from '@eelgrasswind/metrics'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import * as timerService from '@eelgrasswind/timer-service'
import * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import type * as baseSettings from './base-settings.js'
import * as hostDirectory from './host-directory.js'

/** The components that every entry and sidecar needs. */
export interface ProcessBase {
  readonly self: types.ProcessRef
  readonly startedAt: types.EpochMs
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly logService: logClient.LogClient
  readonly tracer: tracing.Tracing
  readonly metrics: metrics.Metrics
  readonly directory: hostDirectory.HostDirectory
  readonly configFollower: followConfig.ConfigFollower
  /** Returns the current configuration; undefined until the first is loaded. */
  readonly config: () => configState.Config | undefined
  readonly close: () => Promise<void>
}

/** A configuration copy that is due and not written by its owner falls to another owner after this time. */
const copyRoundMs = 10 * 60_000
/** Most peers asked for a newer configuration at once. */
const maxConfigPeers = 2

/** Opens the components and reads the host list once. */
export async function openProcessBase (name: string, settings: baseSettings.BaseSettings): Promise<ProcessBase> {
  const timers = timerService.createRealTimers()
  const host = settings.host as types.HostId
  const self: types.ProcessRef = { host, incarnation: crypto.randomUUID() as types.Incarnation }
  const log = logger.createLogger({ name, host, level: settings.logLevel, stream: process.stderr })
  const logService = logClient.createLogClient(settings.log)
  const hostList = hostListClient.createHostListClient({
    ...settings.hostList,
    onUnreadable: (count) => { log.warn({ count }, 'entries of the host list that cannot be read are left out') }
  })
  const metricsClient = metrics.createMetrics(settings.metrics === null
    ? 'off'
    : { host: settings.metrics.address, port: settings.metrics.port, prefix: 'eelgrasswind.', tags: { host, availability_zone: settings.availabilityZone, program: name } })
  const tracer = await tracing.createTracing({ serviceName: name, exporterUrl: settings.tracesUrl })
  const directory = new hostDirectory.HostDirectory({
    settings: { self: host, region: settings.region as types.RegionId, hostListPollMs: settings.hostList.pollMs, peers: settings.peers },
    hostList,
    timers,
    logger: log,
    homeChooser: await chooseHome.createHomeChooser(),
    config: () => configFollower.current()?.config
  })
  const configFollower: followConfig.ConfigFollower = followConfig.createConfigFollower({
    log: logService,
    timers,
    logger: log,
    pollMs: settings.configPollMs,
    fetchFromPeers: (knownVersion) => fetchConfigFromPeers(directory, host, knownVersion),
    copies: { author: host, isCopyWriter: () => directory.findOwner({ type: 'configCopy', round: Math.floor(timers.now() / copyRoundMs) }) === host }
  })
  await directory.readHostList()
  directory.refresh()

  async function close (): Promise<void> {
    configFollower.close()
    directory.close()
    await Promise.all([logService.close(), hostList.close(), tracer.close(), metricsClient.close()])
  }

  return {
    self,
    startedAt: timers.now() as types.EpochMs,
    timers,
    logger: log,
    logService,
    tracer,
    metrics: metricsClient,
    directory,
    configFollower,
    config: () => configFollower.current()?.config,
    close
  }
}

/** Asks a few live peers, drawn at random, and returns their newest configuration; null if none is newer than `knownVersion`. */
async function fetchConfigFromPeers (directory: hostDirectory.HostDirectory, self: types.HostId, knownVersion: types.ConfigVersion): Promise<sidecarClient.PeerConfig | null> {
  const hosts = [...directory.listHosts()].filter(({ entry, state }) => entry.host !== self && state === 'live').map(({ entry }) => entry.host)
  const start = Math.floor(Math.random() * hosts.length)
  const asked = [...hosts.slice(start), ...hosts.slice(0, start)].slice(0, maxConfigPeers)
  const answers = await Promise.all(asked.map((host) => directory.callPeer(host, (peer) => peer.getConfig(knownVersion))))
  const newer = answers.flatMap((answer) => answer.ok && answer.value !== null ? [answer.value] : [])
  return newer.reduce<sidecarClient.PeerConfig | null>((best, next) => best === null || next.version > best.version ? next : best, null)
}

/** Creates the handlers for requests of peers and operators about the process itself. */
export function createProcessHandlers (base: ProcessBase, handlers: { status: () => types.ProcessStatus, explain: (program: types.ProgramId, key: types.RequestKey | null) => types.CallExplanation, loads: () => readonly types.UpstreamLoad[] }): sidecarClient.ProcessHandlers {
  return {
    getStatus: async () => errors.ok(handlers.status()),
    explain: async (program, key) => errors.ok(handlers.explain(program, key)),
    getLoads: async () => errors.ok(handlers.loads()),
    async getConfig (knownVersion) {
      const current = base.configFollower.current()
      if (current === undefined || current.version <= knownVersion) return errors.ok(null)
      return errors.ok({ version: current.version, config: followConfig.toPeerConfig(current) })
    }
  }
}
