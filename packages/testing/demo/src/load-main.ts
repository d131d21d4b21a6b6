/**
 * Starts a small system of a deployment with engines that take time for their tokens, and runs the load command on it.
 * Options: `--deployment=NAME`, `--rules=default|baseline`; the other arguments go to the command, after the defaults.
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import type * as configState from '@eelgrasswind/config-state'
import * as testUtils from '@eelgrasswind/test-utils'
import * as scopes from './scope.js'

type DeploymentName = 'dimasalang' | 'shagyl'

interface Place {
  readonly region: string
  readonly availabilityZones: readonly [string, string, string]
  readonly model: string
  readonly service: string
  /** Weight of each kind. */
  readonly kinds: Readonly<Record<string, { readonly weight: number, readonly expectedTurns: number }>>
}

const places: Readonly<Record<DeploymentName, Place>> = {
  dimasalang: {
    region: 'ncr',
    availabilityZones: ['makati-a', 'makati-b', 'pasig-a'],
    model: 'quote-8b',
    service: 'kit-orders',
    kinds: { 'quick-quote': { weight: 1, expectedTurns: 3 }, 'roster-walk': { weight: 2, expectedTurns: 14 } }
  },
  shagyl: {
    region: 'almaty',
    availabilityZones: ['almaty-a', 'almaty-b', 'almaty-c'],
    model: 'mentor-8b',
    service: 'placements',
    kinds: { 'intake-chat': { weight: 1, expectedTurns: 7 }, 'mentor-consultation': { weight: 4, expectedTurns: 10 }, 'school-booking': { weight: 2, expectedTurns: 4 } }
  }
}

const loadBinary = url.fileURLToPath(new URL('../../../../operate/load/dist/eelgrasswind-load.mjs', import.meta.url))
/** Engines run five times as fast as those of the deployments, and so do people and tools. */
const timeScale = 0.2
const slots = 8
const engine = { tokenMs: 20 * timeScale, batchSlowdown: 0.06, prefillTokensPerSecond: 4_000 / timeScale, maxBatch: slots, cacheCapacity: 80_000, loadLagMs: 100, eventLagMs: 50 }
const service = { delayMs: 20 }
const baseline: configState.ConfigDocumentInput['limits'] = { queueRule: 'fifo', admissionRule: 'none', holdRule: 'never' }

function planOf (place: Place, rules: string): testUtils.SystemPlan {
  const [zoneA, zoneB, zoneC] = place.availabilityZones
  const budget = { tokens: 2_000_000, calls: 1_000, microCost: 1_000_000_000, wallMs: 3_600_000 }
  const kinds = Object.entries(place.kinds).map(([kind, one]) => [kind, { ...one, budget, deadlineSlackMs: 600_000, maxTokens: 2_000 }] as const)
  return {
    region: place.region,
    model: place.model,
    token: 'load-token',
    entries: [{ host: 'entry-a', availabilityZone: zoneA }, { host: 'entry-b', availabilityZone: zoneB }],
    hosts: [
      { type: 'engine', host: 'engine-a', availabilityZone: zoneA, slots, engine },
      { type: 'engine', host: 'engine-b', availabilityZone: zoneB, slots, engine },
      { type: 'service', host: 'service-a', availabilityZone: zoneC, service: place.service, settings: service }
    ],
    config: { kinds: Object.fromEntries(kinds), limits: rules === 'baseline' ? baseline : {} }
  }
}

function runLoad (args: readonly string[]): Promise<number> {
  const child = childProcess.spawn(process.execPath, [loadBinary, ...args], { stdio: 'inherit' })
  return new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('exit', (code) => resolve(code ?? 1))
  })
}

/** Takes an option as `--NAME=VALUE` out of the arguments. */
function takeOption (args: string[], name: string, allowed: readonly string[]): string {
  const at = args.findIndex((arg) => arg.startsWith(`--${name}=`))
  if (at < 0) return allowed[0]!
  const value = args.splice(at, 1)[0]!.slice(name.length + 3)
  if (allowed.includes(value)) return value
  throw new Error(`--${name}: expected ${allowed.join(' or ')}, got ${value}`)
}

/** Adds a default before the arguments that are given, unless they name the option. */
function withDefaults (args: readonly string[], defaults: Readonly<Record<string, string>>): readonly string[] {
  const missing = Object.entries(defaults).filter(([name]) => !args.includes(name))
  return [...missing.flat(), ...args]
}

const scope = scopes.createScope()
try {
  const args = process.argv.slice(2)
  const deployment = takeOption(args, 'deployment', Object.keys(places)) as DeploymentName
  const rules = takeOption(args, 'rules', ['default', 'baseline'])
  const system = await testUtils.startSystem(scope, planOf(places[deployment], rules))
  const upstream = system.services.get('service-a')!
  upstream.faults.set({ type: 'hang', run: true }, { scope: 'hang' })
  console.log(`rules: ${rules}`)
  const entries = [...system.entries.values()].flatMap(({ address }) => ['--entry', address])
  process.exitCode = await runLoad(['run', ...entries, '--token', system.plan.token, '--deployment', deployment, ...withDefaults(args, { '--seed': '1', '--rate': '3', '--warm-up': '15', '--seconds': '30', '--time-scale': String(timeScale) })])
  const executions = Object.values(upstream.counters().executions)
  console.log(`the service ran ${executions.length} requests; ${executions.filter((times) => times > 1).length} of them more than once`)
} finally {
  await scope.close()
}
process.exit()
