/** Reads the options of `run`; a wrong one is refused by its name. */
import * as net from 'node:net'
import * as clipanion from 'clipanion'
import * as deployments from '../../workload/deployments.js'

const maxRate = 50
const maxSeconds = 300
const maxWarmUpSeconds = 120
const minTimeScale = 0.01
const maxSeed = 2 ** 31 - 1

export interface RawOptions {
  readonly entry: readonly string[]
  readonly token: string
  readonly deployment: string
  readonly seed: string
  readonly rate: string
  readonly seconds: string
  readonly warmUp: string
  readonly drain: string
  readonly timeScale: string
}

export interface RunOptions {
  readonly entries: readonly string[]
  readonly token: string
  readonly deployment: deployments.Deployment
  readonly seed: number
  /** Programs a second. */
  readonly rate: number
  readonly seconds: number
  readonly warmUpSeconds: number
  readonly drainSeconds: number
  readonly timeScale: number
}

interface Bounds {
  readonly least: number
  readonly most: number
  readonly unit: string
}

function wrong (name: string, expected: string, text: string): clipanion.UsageError {
  return new clipanion.UsageError(`--${name}: expected ${expected}, got ${JSON.stringify(text)}`)
}

function readNumber (name: string, text: string, { least, most, unit }: Bounds): number {
  const value = Number(text)
  if (text.trim() !== '' && value >= least && value <= most) return value
  throw wrong(name, `a number from ${least} to ${most}${unit}`, text)
}

function readWhole (name: string, text: string, bounds: Bounds): number {
  const value = readNumber(name, text, bounds)
  if (Number.isInteger(value)) return value
  throw wrong(name, 'a whole number', text)
}

/** Warm-up and measured time together are bounded as well. */
function checkTogether (run: RunOptions): RunOptions {
  if (run.warmUpSeconds + run.seconds <= maxSeconds) return run
  throw wrong('seconds', `at most ${maxSeconds} s with the warm-up`, String(run.seconds))
}

const addressPattern = /^http:\/\/(?:(\d+\.\d+\.\d+\.\d+)|\[([\da-fA-F:]+)\]):(\d{1,5})$/

/** Whether an address is `http://IP:PORT` with an IP number of this machine's loopback. */
export function isLoopback (address: string): boolean {
  const match = addressPattern.exec(address)
  if (match === null || Number(match[3]) < 1 || Number(match[3]) > 65_535) return false
  const [, ip4, ip6] = match
  return ip4 === undefined ? ip6 === '::1' : net.isIPv4(ip4) && ip4.startsWith('127.')
}

function readEntry (address: string): string {
  if (isLoopback(address)) return address
  throw wrong('entry', 'an address on loopback, as http://127.0.0.1:PORT; load goes to no other machine', address)
}

function isDeployment (name: string): name is deployments.DeploymentName {
  return Object.hasOwn(deployments.deployments, name)
}

function readDeployment (name: string): deployments.Deployment {
  if (isDeployment(name)) return deployments.deployments[name]
  throw wrong('deployment', Object.keys(deployments.deployments).join(' or '), name)
}

/** Throws a usage error that names the option. */
export function readOptions (raw: RawOptions): RunOptions {
  if (raw.entry.length === 0) throw new clipanion.UsageError('--entry: expected at least one address')
  if (raw.token === '') throw wrong('token', 'the token of a client', raw.token)
  return checkTogether({
    entries: raw.entry.map(readEntry),
    token: raw.token,
    deployment: readDeployment(raw.deployment),
    seed: readWhole('seed', raw.seed, { least: 0, most: maxSeed, unit: '' }),
    rate: readNumber('rate', raw.rate, { least: 0.01, most: maxRate, unit: ' programs a second' }),
    seconds: readWhole('seconds', raw.seconds, { least: 1, most: maxSeconds, unit: ' s' }),
    warmUpSeconds: readWhole('warm-up', raw.warmUp, { least: 0, most: maxWarmUpSeconds, unit: ' s' }),
    drainSeconds: readWhole('drain', raw.drain, { least: 0, most: maxSeconds, unit: ' s' }),
    timeScale: readNumber('time-scale', raw.timeScale, { least: minTimeScale, most: 1, unit: '' })
  })
}
