/**
 * What one sidecar spends while nothing happens, by the size of the fleet: whole bundled processes on loopback, with
 * the platform's stand-ins in this process. Shows whether anything done on a timer grows with the fleet.
 */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as configState from '@eelgrasswind/config-state'
import * as standIns from '@eelgrasswind/stand-ins'
import * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'
import * as fits from '../fit.js'
import type * as series from '../series.js'

/** Bounded by the memory of the machine: a sidecar takes some 70 MB. */
const fleetSizes = [10, 40, 120]
/** Processes that start at the same time. */
const startsAtOnce = 4
/** After the last start, before measuring, in milliseconds. */
const settleMs = 30_000
const restMs = 20_000
/** Clock ticks of /proc/PID/stat in a second, on Linux. */
const ticksPerSecond = 100
const microsPerSecond = 1_000_000
const sidecarFile = url.fileURLToPath(new URL('../../../../../programs/sidecar/dist/eelgrasswind-sidecar.mjs', import.meta.url))

interface Used {
  readonly cpuUs: number
  /** Bytes that system calls read and wrote, on sockets and files. */
  readonly bytes: number
}

interface Fleet {
  readonly processes: readonly testUtils.SpawnedProcess[]
  readonly close: () => Promise<void>
}

function usedOf (pid: number): Used {
  const afterName = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  const ticks = Number(afterName[11]) + Number(afterName[12])
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8')
  const count = (name: string): number => Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(io)![1])
  return { cpuUs: ticks * microsPerSecond / ticksPerSecond, bytes: count('rchar') + count('wchar') }
}

function residentOf (pid: number): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)![1]) * 1024
}

function documentOf (hosts: readonly string[], engineAddress: string): configState.ConfigDocumentInput {
  const engineOf = (host: string): NonNullable<configState.ConfigDocumentInput['hosts']>[types.HostId] => ({
    region: 'ncr',
    availabilityZone: 'makati-a',
    upstreams: [{ id: `${host}-1`, type: 'engine' as const, address: engineAddress, models: ['quote-8b'], contextTokens: 32_768, slots: 8, cacheTokens: 100_000, checksFencing: true }]
  })
  return {
    hosts: Object.fromEntries(hosts.map((host) => [host, engineOf(host)])),
    services: {},
    clients: {},
    kinds: {},
    models: { 'quote-8b': { version: '1', microCostPerPromptToken: 1, microCostPerGeneratedToken: 1 } }
  }
}

async function publish (logAddress: string, document: configState.ConfigDocumentInput): Promise<void> {
  const config = configState.validateConfig(document)
  if (!config.ok) throw new Error(JSON.stringify(config.failure))
  const body = configState.encodeChange({
    ...configState.diffConfig(null, config.value),
    format: configState.configFormat,
    id: 'first' as configState.ChangeId,
    basedOn: 0 as types.ConfigVersion,
    by: 'slopes',
    at: Date.now() as types.EpochMs
  })
  const res = await fetch(`${logAddress}/v1/streams/${configState.configStream}/records`, { method: 'POST', body })
  if (res.status !== 201) throw new Error(`the configuration was not appended: ${res.status}`)
}

async function startFleet (size: number): Promise<Fleet> {
  const teardowns: (() => unknown)[] = []
  const scope = { teardown: (run: () => unknown) => { teardowns.push(run) } }
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'eelgrasswind-fleet-'))
  scope.teardown(() => fs.rmSync(folder, { recursive: true, force: true }))
  const engine = await standIns.createEngineStandIn({ port: 0 })
  scope.teardown(() => engine.close())
  const { log, hostList } = await testUtils.startStandIns(scope, { engines: [], services: [] })
  const hosts = Array.from({ length: size }, (_, index) => `host-${index}`)
  await publish(log.address, documentOf(hosts, engine.address))

  async function start (host: string): Promise<testUtils.SpawnedProcess> {
    const file = path.join(folder, `${host}.jsonc`)
    const placed = { host, region: 'ncr', availabilityZone: 'makati-a' }
    fs.writeFileSync(file, JSON.stringify({ ...placed, log: { address: log.address }, hostList: { address: hostList.address }, logLevel: 'error' }))
    const spawned = await testUtils.spawnProcess(scope, sidecarFile, undefined, { args: ['--settings', file] })
    hostList.setHost({ ...placed, role: 'sidecar', address: String(spawned.ready['peerAddress']), state: 'live' } as types.HostEntry)
    return spawned
  }

  const processes: testUtils.SpawnedProcess[] = []
  for (let first = 0; first < size; first += startsAtOnce) {
    processes.push(...await Promise.all(hosts.slice(first, first + startsAtOnce).map(start)))
  }
  return { processes, close: async () => { for (const run of teardowns.reverse()) await run() } }
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

interface Rest {
  readonly cpuUs: number
  readonly bytes: number
  readonly resident: number
}

/** Medians over the processes of a resting fleet, for one second. */
async function measureRest (size: number): Promise<Rest> {
  const fleet = await startFleet(size)
  try {
    await sleep(settleMs)
    const before = fleet.processes.map(({ pid }) => usedOf(pid))
    await sleep(restMs)
    const after = fleet.processes.map(({ pid }) => usedOf(pid))
    const each = (of: (used: Used) => number): number =>
      fits.median(after.map((used, index) => of(used) - of(before[index]!))) / (restMs / 1_000)
    return { cpuUs: each((used) => used.cpuUs), bytes: each((used) => used.bytes), resident: fits.median(fleet.processes.map(({ pid }) => residentOf(pid))) }
  } finally {
    await fleet.close()
  }
}

export const restingFleet: series.Slope = {
  name: 'resting-fleet',
  measure: async () => {
    const rests: { readonly size: number, readonly rest: Rest }[] = []
    for (const size of fleetSizes) rests.push({ size, rest: await measureRest(size) })
    const run = (of: (rest: Rest) => number): fits.Point[][] => [rests.map(({ size, rest }) => ({ size, value: of(rest) }))]
    return [
      { name: 'processor time of a resting sidecar in a second, by fleet', per: 'host', unit: 'us', runs: run((rest) => rest.cpuUs) },
      { name: 'read and written by a resting sidecar in a second, by fleet', per: 'host', unit: 'bytes', runs: run((rest) => rest.bytes) },
      { name: 'resident memory of a resting sidecar, by fleet', per: 'host', unit: 'bytes', runs: run((rest) => rest.resident) }
    ]
  }
}
