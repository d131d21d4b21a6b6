/**
 * Starts a small system with its engines as processes of their own, and measures with the load binary what the path
 * adds. Arguments go to the binary's overhead command.
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import * as testUtils from '@eelgrasswind/test-utils'
import * as scopes from './scope.js'

const loadBinary = url.fileURLToPath(new URL('../../../load/dist/eelgrasswind-load.mjs', import.meta.url))
const host = 'engine-a'
const availabilityZone = 'makati-a'
const slots = 256
/** One home has all that a log of several hundred appends a second takes. */
const maxAppendsPerSecond = 300

async function startSmallSystem (scope: scopes.Scope): Promise<{ system: testUtils.System, engine: testUtils.SpawnedStandIn }> {
  const { model, region } = testUtils.smallPlan
  const engine = await testUtils.spawnStandIn(scope, { kind: 'engine', ...testUtils.instantEngine })
  const upstream = { id: `${host}-1`, type: 'engine' as const, address: engine.address, models: [model], contextTokens: 200_000, slots, cacheTokens: 200_000, checksFencing: true }
  const system = await testUtils.startSystem(scope, {
    ...testUtils.smallPlan,
    entries: [{ host: 'entry-a', availabilityZone }],
    hosts: [{ type: 'engine', host, availabilityZone }],
    sidecarSettings: { journal: { maxAppendsPerSecond } },
    config: { hosts: { [host]: { region, availabilityZone, upstreams: [upstream] } } }
  })
  return { system, engine }
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
  const { system, engine } = await startSmallSystem(scope)
  const entry = system.entries.get('entry-a')!
  process.exitCode = await runLoad([
    'overhead',
    '--entry', entry.address,
    '--engine', engine.address,
    '--token', system.plan.token,
    '--model', system.plan.model,
    '--kind', 'roster-walk',
    '--process', `entry=${entry.process.pid}`,
    '--process', `home=${system.sidecars.get(host)!.process.pid}`,
    '--process', `engine=${engine.pid}`,
    ...process.argv.slice(2)
  ])
  // Gracefully, so that a profile is written where NODE_OPTIONS asks for one.
  for (const one of [entry.process, ...[...system.sidecars.values()].map((sidecar) => sidecar.process), engine]) await one.stop()
} finally {
  await scope.close()
}
process.exit()
