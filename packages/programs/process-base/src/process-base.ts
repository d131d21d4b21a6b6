/** Opens what every process of the system needs, in the order in which each part needs the one before. */
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
  /** The configuration in force, or undefined before the first. */
  readonly config: () => configState.Config | undefined
  readonly close: () => Promise<void>
}

/** A copy that is due and was not written falls to another process after this time, in milliseconds. */
const copyRoundMs = 10 * 60_000
/** Peers asked for a newer configuration at once. */
const configPeers = 2

export async function openProcessBase (name: string, settings: baseSettings.BaseSettings): Promise<ProcessBase> {
  const timers = timerService.createRealTimers()
  const host = settings.host as types.HostId
  const self: types.ProcessRef = { host, incarnation: crypto.randomUUID() as types.Incarnation }
  const log = logger.createLogger({ name, host, level: settings.logLevel, stream: process.stderr })
  const logService = logClient.createLogClient(settings.log)
  const hostList = hostListClient.createHostListClient(settings.hostList)
  const sent = metrics.createMetrics(settings.metrics === null
    ? 'off'
    : { host: settings.metrics.address, port: settings.metrics.port, prefix: 'eelgrasswind.', tags: { host, availability_zone: settings.availabilityZone, program: name } })
  const tracer = await tracing.createTracing({ serviceName: name, exporterUrl: settings.tracesUrl })
  const directory = new hostDirectory.HostDirectory({
    settings: { self: host, region: settings.region as types.RegionId, hostListPollMs: settings.hostList.pollMs, peers: settings.peers },
    hostList,
    timers,
    logger: log,
    homes: await chooseHome.createHomeChooser(),
    config: () => follower.current()?.config
  })
  const follower: followConfig.ConfigFollower = followConfig.createConfigFollower({
    log: logService,
    timers,
    logger: log,
    pollMs: settings.configPollMs,
    fetchFromPeers: (have) => askPeersForConfig(directory, host, have),
    copies: { author: host, isCopyWriter: () => directory.findOwner({ type: 'configCopy', round: Math.floor(timers.now() / copyRoundMs) }) === host }
  })
  await directory.readHostList()
  directory.settle()

  async function close (): Promise<void> {
    follower.close()
    directory.close()
    await Promise.all([logService.close(), hostList.close(), tracer.close(), sent.close()])
  }

  return {
    self,
    startedAt: timers.now() as types.EpochMs,
    timers,
    logger: log,
    logService,
    tracer,
    metrics: sent,
    directory,
    configFollower: follower,
    config: () => follower.current()?.config,
    close
  }
}

/** The newest configuration that a few other processes have. */
async function askPeersForConfig (directory: hostDirectory.HostDirectory, self: types.HostId, have: types.ConfigVersion): Promise<sidecarClient.PeerConfig | null> {
  const hosts = [...directory.listHosts()].filter(({ entry, state }) => entry.host !== self && state === 'live').map(({ entry }) => entry.host)
  const start = Math.floor(Math.random() * hosts.length)
  const asked = [...hosts.slice(start), ...hosts.slice(0, start)].slice(0, configPeers)
  const answers = await Promise.all(asked.map((host) => directory.callPeer(host, (peer) => peer.getConfig(have))))
  const newer = answers.flatMap((answer) => answer.ok && answer.value !== null ? [answer.value] : [])
  return newer.reduce<sidecarClient.PeerConfig | null>((best, next) => best === null || next.version > best.version ? next : best, null)
}

/** What any process says of itself to peers and operators. */
export function createProcessHandlers (base: ProcessBase, own: { status: () => types.ProcessStatus, explain: (program: types.ProgramId, key: types.RequestKey | null) => types.CallExplanation, loads: () => readonly types.UpstreamLoad[] }): sidecarClient.ProcessHandlers {
  return {
    getStatus: async () => errors.ok(own.status()),
    explain: async (program, key) => errors.ok(own.explain(program, key)),
    getLoads: async () => errors.ok(own.loads()),
    async getConfig (have) {
      const current = base.configFollower.current()
      if (current === undefined || current.version <= have) return errors.ok(null)
      return errors.ok({ version: current.version, config: followConfig.toPeerConfig(current) })
    }
  }
}
