/**
 * Starts a small system with its engines as processes of their own, and measures with the load binary what the path
 * adds. `--homes=N` starts N homes in place of one; the other arguments go to the binary's overhead command.
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import * as testUtils from '@eelgrasswind/test-utils'
import * as scopes from './scope.js'

const loadBinary = url.fileURLToPath(new URL('../../../../operate/load/dist/eelgrasswind-load.mjs', import.meta.url))
const availabilityZone = 'makati-a'
const slots = 256
const homesOption = '--homes='
/** What a log of several hundred appends a second takes, for all homes together. */
const maxAppendsPerSecond = 300
/** Room for all that a run makes, so that the stand-in's eviction is not what is measured. */
const cacheTokens = 100_000_000

interface SmallSystem {
  readonly system: testUtils.System
  readonly engines: readonly testUtils.SpawnedStandIn[]
}

async function startSmallSystem (scope: scopes.Scope, homes: number): Promise<SmallSystem> {
  const { model, region } = testUtils.smallPlan
  const hosts = Array.from({ length: homes }, (_, index) => `engine-${index + 1}`)
  const engines = await Promise.all(hosts.map(() => testUtils.spawnStandIn(scope, { kind: 'engine', ...testUtils.instantEngine, maxBatch: slots, cacheCapacity: cacheTokens })))
  const upstreamOf = (index: number) => ({ id: `${hosts[index]}-1`, type: 'engine' as const, address: engines[index]!.address, models: [model], contextTokens: 200_000, slots, cacheTokens, checksFencing: true })
  const system = await testUtils.startSystem(scope, {
    ...testUtils.smallPlan,
    entries: [{ host: 'entry-a', availabilityZone }],
    hosts: hosts.map((host) => ({ type: 'engine', host, availabilityZone })),
    sidecarSettings: { journal: { maxAppendsPerSecond: maxAppendsPerSecond / homes } },
    config: { hosts: Object.fromEntries(hosts.map((host, index) => [host, { region, availabilityZone, upstreams: [upstreamOf(index)] }])) }
  })
  return { system, engines }
}

function runLoad (args: readonly string[]): Promise<number> {
  const child = childProcess.spawn(process.execPath, [loadBinary, ...args], { stdio: 'inherit' })
  return new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('exit', (code) => resolve(code ?? 1))
  })
}

const scope = scopes.createScope()
try {
  const args = process.argv.slice(2)
  const homes = Number(args.find((arg) => arg.startsWith(homesOption))?.slice(homesOption.length) ?? 1)
  const { system, engines } = await startSmallSystem(scope, homes)
  const entry = system.entries.get('entry-a')!
  const sidecars = [...system.sidecars.values()]
  const watched = [
    `entry=${entry.process.pid}`,
    ...sidecars.map(({ process: home }, index) => `home-${index + 1}=${home.pid}`),
    ...engines.map((engine, index) => `engine-${index + 1}=${engine.pid}`)
  ]
  process.exitCode = await runLoad([
    'overhead',
    '--entry', entry.address,
    '--engine', engines[0]!.address,
    '--token', system.plan.token,
    '--model', system.plan.model,
    '--kind', 'roster-walk',
    ...watched.flatMap((one) => ['--process', one]),
    ...args.filter((arg) => !arg.startsWith(homesOption))
  ])
  // Gracefully, so that a profile is written where one is asked for.
  for (const one of [entry.process, ...sidecars.map((sidecar) => sidecar.process), ...engines]) await one.stop()
} finally {
  await scope.close()
}
process.exit()
