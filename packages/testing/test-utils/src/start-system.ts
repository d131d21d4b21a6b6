/** Starts a whole small system on loopback: stand-ins in this process, entries and sidecars as processes of their own. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as callerClient from '@eelgrasswind/caller-client'
import * as configState from '@eelgrasswind/config-state'
import * as standIns from '@eelgrasswind/stand-ins'
import type * as types from '@eelgrasswind/types'
import * as waiting from './eventually.js'
import * as spawning from './spawn-process.js'
import * as startStandIns from './start-stand-ins.js'
import type * as testScope from './test-scope.js'

/** What stands beside one sidecar. */
export type HostPlan =
  | { readonly type: 'engine', readonly host: string, readonly availabilityZone: string, readonly slots?: number, readonly engine?: Omit<standIns.EngineSettings, 'port'> }
  | { readonly type: 'service', readonly host: string, readonly availabilityZone: string, readonly service: string, readonly slots?: number, readonly settings?: Omit<standIns.ServiceSettings, 'port'> }

export interface SystemPlan {
  readonly region: string
  readonly model: string
  readonly token: string
  readonly entries: readonly { readonly host: string, readonly availabilityZone: string }[]
  readonly hosts: readonly HostPlan[]
  readonly log?: Omit<standIns.LogSettings, 'port'>
  /** Merged over the document that the plan makes. */
  readonly config?: Partial<configState.ConfigDocumentInput>
  /** Merged over the settings of every process, or of one role. */
  readonly settings?: Readonly<Record<string, unknown>>
  readonly sidecarSettings?: Readonly<Record<string, unknown>>
  readonly entrySettings?: Readonly<Record<string, unknown>>
  /** Limit of the open descriptors of each entry, enforced by the kernel; without it that of this process. */
  readonly entryDescriptors?: number
}

export interface SystemProcess {
  readonly host: string
  readonly process: spawning.SpawnedProcess
  readonly address: string
}

export interface System {
  readonly plan: SystemPlan
  readonly log: standIns.LogStandIn
  readonly hostList: standIns.HostListStandIn
  readonly engines: ReadonlyMap<string, standIns.EngineStandIn>
  readonly services: ReadonlyMap<string, standIns.ServiceStandIn>
  readonly sidecars: Map<string, SystemProcess>
  readonly entries: Map<string, SystemProcess>
  /** Every process of the system that was ever started, in order. */
  readonly started: readonly SystemProcess[]
  readonly document: configState.ConfigDocumentInput
  /** A client of an entry, by its place in the plan. */
  readonly caller: (entry?: number) => callerClient.CallerClient
  /** Starts the process of a host again after it has ended, as a new one at a new address. */
  readonly restartSidecar: (host: string) => Promise<SystemProcess>
  readonly startEntry: (host: string, availabilityZone: string) => Promise<SystemProcess>
}

function binary (name: 'entry' | 'sidecar'): string {
  return url.fileURLToPath(new URL(`../../../../programs/${name}/dist/eelgrasswind-${name}.mjs`, import.meta.url))
}

/** Two entries, two engines and one service in three availability zones of ncr. */
export const smallPlan: SystemPlan = {
  region: 'ncr',
  model: 'quote-8b',
  token: 'dimasalang-token',
  entries: [
    { host: 'entry-a', availabilityZone: 'makati-a' },
    { host: 'entry-b', availabilityZone: 'makati-b' }
  ],
  hosts: [
    { type: 'engine', host: 'engine-a', availabilityZone: 'makati-a', engine: startStandIns.instantEngine },
    { type: 'engine', host: 'engine-b', availabilityZone: 'makati-b', engine: startStandIns.instantEngine },
    { type: 'service', host: 'kit-a', availabilityZone: 'pasig-a', service: 'kit-orders' }
  ]
}

const defaultSlots = 32

export async function startSystem (scope: testScope.TestScope, plan: SystemPlan): Promise<System> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'eelgrasswind-'))
  scope.teardown(() => fs.rmSync(folder, { recursive: true, force: true }))
  const upstreams = await startUpstreams(scope, plan)
  const { log, hostList } = await startStandIns.startStandIns(scope, { ...(plan.log === undefined ? {} : { log: plan.log }), engines: [], services: [] })
  const document = documentOf(plan, upstreams)
  await publishConfig(log.address, document)
  const sidecars = new Map<string, SystemProcess>()
  const entries = new Map<string, SystemProcess>()
  const started: SystemProcess[] = []

  async function start (role: types.HostRole, host: string, availabilityZone: string, extra: Readonly<Record<string, unknown>>, maxDescriptors?: number): Promise<SystemProcess> {
    const file = path.join(folder, `${host}.jsonc`)
    const settings = {
      host,
      region: plan.region,
      availabilityZone,
      log: { address: log.address },
      hostList: { address: hostList.address, pollMs: 200 },
      configPollMs: 200,
      ...extra,
      ...plan.settings
    }
    fs.writeFileSync(file, JSON.stringify(settings))
    const spawned = await spawning.spawnProcess(scope, binary(role), undefined, { args: ['--settings', file], maxDescriptors })
    const peerAddress = String(spawned.ready['peerAddress'])
    hostList.setHost({ host, role, region: plan.region, availabilityZone, address: peerAddress, state: 'live' } as types.HostEntry)
    const one = { host, process: spawned, address: String(spawned.ready['callerAddress'] ?? peerAddress) }
    started.push(one)
    return one
  }

  async function startSidecar (host: string): Promise<SystemProcess> {
    const { availabilityZone } = plan.hosts.find((one) => one.host === host)!
    const one = await start('sidecar', host, availabilityZone, plan.sidecarSettings ?? {})
    sidecars.set(host, one)
    return one
  }

  async function startEntry (host: string, availabilityZone: string): Promise<SystemProcess> {
    const one = await start('entry', host, availabilityZone, plan.entrySettings ?? {}, plan.entryDescriptors)
    entries.set(host, one)
    return one
  }

  function caller (entry = 0): callerClient.CallerClient {
    const { host } = plan.entries[entry]!
    const client = new callerClient.CallerClient({ address: entries.get(host)!.address, token: plan.token })
    scope.teardown(() => client.close())
    return client
  }

  await Promise.all(plan.hosts.map(({ host }) => startSidecar(host)))
  await Promise.all(plan.entries.map(({ host, availabilityZone }) => startEntry(host, availabilityZone)))
  const system: System = { plan, log, hostList, ...upstreams, sidecars, entries, started, document, caller, restartSidecar: startSidecar, startEntry }
  await untilServing(system)
  return system
}

interface Upstreams {
  readonly engines: Map<string, standIns.EngineStandIn>
  readonly services: Map<string, standIns.ServiceStandIn>
}

async function startUpstreams (scope: testScope.TestScope, plan: SystemPlan): Promise<Upstreams> {
  const engines = new Map<string, standIns.EngineStandIn>()
  const services = new Map<string, standIns.ServiceStandIn>()
  for (const one of plan.hosts) {
    const started = one.type === 'engine'
      ? await standIns.createEngineStandIn({ ...one.engine, port: 0 })
      : await standIns.createServiceStandIn({ ...one.settings, port: 0 })
    scope.teardown(() => started.close())
    if (one.type === 'engine') engines.set(one.host, started as standIns.EngineStandIn)
    else services.set(one.host, started as standIns.ServiceStandIn)
  }
  return { engines, services }
}

/** The configuration that the plan makes: one upstream a host, a kind, a client, and roomy budgets. */
export function documentOf (plan: SystemPlan, upstreams: Upstreams): configState.ConfigDocumentInput {
  const hosts = Object.fromEntries(plan.hosts.map((one) => [one.host, {
    region: plan.region,
    availabilityZone: one.availabilityZone,
    upstreams: [one.type === 'engine'
      ? { id: `${one.host}-1`, type: 'engine' as const, address: upstreams.engines.get(one.host)!.address, models: [plan.model], contextTokens: 200_000, slots: one.slots ?? defaultSlots, cacheTokens: 200_000, checksFencing: true }
      : { id: `${one.host}-1`, type: 'service' as const, address: upstreams.services.get(one.host)!.address, service: one.service, slots: one.slots ?? defaultSlots }]
  }]))
  const services = Object.fromEntries(plan.hosts.flatMap((one) => one.type === 'service' ? [[one.service, { timeoutMs: 10_000, idempotent: false }]] : []))
  return {
    hosts,
    models: { [plan.model]: { version: '1', microCostPerPromptToken: 1, microCostPerGeneratedToken: 3 } },
    services,
    clients: { coach: { tokenSha256: crypto.createHash('sha256').update(plan.token).digest('hex'), startsPerMinute: 1_000_000, callsPerSecond: 1_000_000 } },
    kinds: { 'roster-walk': { weight: 1, budget: { tokens: 2_000_000, calls: 10_000, microCost: 1_000_000_000, wallMs: 3_600_000 }, expectedTurns: 6, deadlineSlackMs: 3_600_000, maxTokens: 256 } },
    limits: {},
    ...plan.config
  } as configState.ConfigDocumentInput
}

/** Appends a first configuration to the log, as the operator's command does. */
export async function publishConfig (address: string, document: configState.ConfigDocumentInput): Promise<void> {
  const config = configState.validateConfig(document)
  if (!config.ok) throw new Error(`the plan's configuration is invalid: ${JSON.stringify(config.failure)}`)
  const change: configState.ConfigChange = {
    ...configState.diffConfig(null, config.value),
    format: configState.configFormat,
    id: crypto.randomUUID() as configState.ChangeId,
    basedOn: 0 as types.ConfigVersion,
    by: 'test',
    at: Date.now() as types.EpochMs
  }
  const body = configState.encodeChange(change)
  const res = await fetch(`${address}/v1/streams/${configState.configStream}/records`, { method: 'POST', body })
  if (res.status !== 201) throw new Error(`the configuration was not appended: ${res.status}`)
}

/** Whether a process has logged that it holds a host for live. */
function knowsLive (lines: readonly string[], host: string): boolean {
  return lines.some((line) => line.includes('hosts changed') && line.includes(`{"host":"${host}","state":"live"`))
}

/** Until every process knows every host, and every entry a home for programs. */
async function untilServing (system: System): Promise<void> {
  const hosts = system.started.map(({ host }) => host)
  await waiting.eventually(() => system.started.every(({ process }) => hosts.every((host) => knowsLive(process.output(), host))))
  for (let entry = 0; entry < system.plan.entries.length; entry += 1) {
    const caller = system.caller(entry)
    await waiting.eventually(async () => {
      const read = await caller.read('no-such-program')
      return !read.ok && read.failure.code === 'unknownProgram'
    })
  }
}
