/** Drawn schedules of one account's traffic and of faults, for tests. */
import * as timerService from '@eelgrasswind/timer-service'
import type * as accountLimits from './account-limits.js'
import * as testCluster from './test-cluster.js'
import * as testLimits from './test-limits.js'

/** How an account's clients choose their hosts in one phase. */
export type Spread =
  /** All requests go to one host, the same in each phase. */
  | 'stay'
  /** All requests go to one host, another one in each phase. */
  | 'move'
  /** Each request goes to a drawn host. */
  | 'all'

/** A time of traffic, followed by a time without. */
export interface Phase {
  readonly busyMs: number
  readonly pauseMs: number
  readonly spread: Spread
  /** Requests that are sent at the beginning, as a multiple of the burst. */
  readonly atOnce: number
  /** Requests per second after that, as a multiple of the rate. */
  readonly load: number
}

/** A schedule; everything is drawn from a seed. */
export interface Schedule {
  readonly hosts: number
  readonly limit: testLimits.Limit
  readonly phases: readonly Phase[]
  readonly faults: readonly testCluster.Fault[]
}

/** What came of a schedule. */
export interface Outcome {
  /** Times of all admitted requests, ms since the start of traffic. */
  readonly sentAt: readonly number[]
  readonly refusedAt: readonly number[]
}

const lengthMs = 18_000
const stepMs = 10
/** Time that a client waits for a decision, in ms. */
const clientTimeoutMs = 2_000
/** Most requests of one schedule: more would only take time. */
const maxRequests = 12_000

/** Draws a schedule. */
export function drawSchedule (seed: number): Schedule {
  const random = testLimits.createRandom(seed)
  const between = (from: number, to: number): number => from + random() * (to - from)
  const pick = <T>(...choices: readonly T[]): T => choices[Math.floor(random() * choices.length)]!
  const hosts = pick(3, 5, 12, 31)
  const requestsPerSecond = Math.round(pick(between(2, 10), between(10, 80)))
  // From a fifth of a second to 20 s of the rate, small and large ones equally often.
  const burst = Math.round(requestsPerSecond * 0.2 * 100 ** random())
  const phases: Phase[] = []
  for (let at = 0; at < lengthMs;) {
    const phase = { busyMs: Math.round(between(200, 3_000)), pauseMs: Math.round(pick(0, between(100, 2_500), between(0, 8_000))), spread: pick<Spread>('stay', 'move', 'all'), atOnce: pick(0, 0.5, 1.5, 3), load: pick(0.5, 2, 8) }
    phases.push(phase)
    at += phase.busyMs + phase.pauseMs
  }
  const faults = Array.from({ length: 1 + Math.floor(random() * 6) }, () => drawFault(random, hosts, phases))
  return { hosts, limit: { requestsPerSecond, burst }, phases, faults }
}

/** Draws a fault, often of the process that counts the account, and often when a busy phase ends or begins. */
function drawFault (random: () => number, hosts: number, phases: readonly Phase[]): testCluster.Fault {
  const between = (from: number, to: number): number => Math.round(from + random() * (to - from))
  const pick = <T>(...choices: readonly T[]): T => choices[Math.floor(random() * choices.length)]!
  const drawHosts = (maxShare: number): number[] => {
    const share = 0.1 + random() * (maxShare - 0.1)
    return Array.from({ length: hosts }, (_, host) => host).filter(() => random() < share)
  }
  const at = pick(between(500, lengthMs - 3_000), drawEdge(phases, random) + between(-300, 900))
  const forMs = between(300, 4_000)
  switch (pick('owner', 'owner', 'owner', 'isolate', 'split', 'store', 'kill', 'stop', 'freeze')) {
    case 'owner': return { type: 'owner', how: pick<testCluster.OwnerFault>('kill', 'kill', 'stop', 'freeze', 'isolate'), at, forMs }
    case 'isolate': return { type: 'isolate', hosts: drawHosts(0.4), at, forMs }
    case 'split': return { type: 'split', hosts: drawHosts(0.6), store: random() < 0.4, at, forMs }
    case 'store': return { type: 'store', hosts: random() < 0.4 ? Array.from({ length: hosts }, (_, host) => host) : drawHosts(0.5), how: pick<testCluster.StoreFault>('refuse', 'silent', 'loseAnswers'), at, forMs }
    case 'kill': return { type: 'kill', hosts: drawHosts(1), at, forMs: between(300, 1_500) }
    case 'stop': return { type: 'stop', hosts: drawHosts(0.5), at, forMs: between(300, 1_500) }
    case 'freeze': return { type: 'freeze', hosts: drawHosts(0.4), at, forMs }
  }
}

/** The end of a drawn busy phase, in ms. */
function drawEdge (phases: readonly Phase[], random: () => number): number {
  const count = 1 + Math.floor(random() * phases.length)
  return phases.slice(0, count).reduce((sum, { busyMs, pauseMs }, index) => sum + busyMs + (index < count - 1 ? pauseMs : 0), 0)
}

/** Creates a store for a number of hosts. */
export type CreateStore = (timers: timerService.TimerService, hosts: number) => testCluster.SimulatedStore

/** Plays a schedule on simulated hosts. */
export async function play ({ hosts, limit, phases, faults }: Schedule, seed: number, createStore: CreateStore): Promise<Outcome> {
  const random = testLimits.createRandom(seed + 1)
  const timers = timerService.createManualTimers()
  const cluster = new testCluster.Cluster(limit, { store: createStore(timers, hosts), timers, random: testLimits.createRandom(seed + 2), hostCount: hosts })
  await cluster.start()
  const start = timers.monotonic()
  const elapsed = (): number => timers.monotonic() - start
  const outcome = { sentAt: [] as number[], refusedAt: [] as number[] }
  let requestCount = 0
  for (const fault of faults) timers.after(Math.max(0, fault.at), () => { cluster.apply(fault) })
  const send = async (host: number): Promise<void> => {
    const limits = cluster.isServing(host) ? cluster.get(host)?.limits : undefined
    if (limits === undefined || requestCount >= maxRequests) return
    requestCount += 1
    const result = await acquire(limits, timers)
    if (result === 'admitted') outcome.sentAt.push(elapsed())
    else outcome.refusedAt.push(elapsed())
  }
  const home = Math.floor(random() * hosts)
  for (const [index, phase] of phases.entries()) {
    const phaseHost = phase.spread === 'stay' ? home : Math.floor(random() * hosts)
    const pickHost = (): number => phase.spread === 'all' ? Math.floor(random() * hosts) : findServing(cluster, phaseHost, hosts)
    for (let count = 0; count < phase.atOnce * limit.burst; count += 1) void send(pickHost())
    const endsAt = elapsed() + phase.busyMs
    let pending = 0
    while (elapsed() < endsAt) {
      pending += phase.load * limit.requestsPerSecond * stepMs / 1_000
      for (; pending >= 1; pending -= 1) void send(pickHost())
      await timers.advanceAsync(stepMs)
    }
    for (const pauseEndsAt = endsAt + (index < phases.length - 1 ? phase.pauseMs : 0); elapsed() < pauseEndsAt;) await timers.advanceAsync(stepMs)
  }
  for (let at = 0; at < clientTimeoutMs; at += stepMs) await timers.advanceAsync(stepMs)
  return outcome
}

/** Clients of a host that does not serve go on at the next one. */
function findServing (cluster: testCluster.Cluster, host: number, hosts: number): number {
  for (let step = 0; step < hosts; step += 1) {
    if (cluster.isServing((host + step) % hosts)) return (host + step) % hosts
  }
  return host
}

async function acquire (limits: accountLimits.AccountLimits, timers: timerService.TimerService): Promise<'admitted' | 'limited' | 'given up'> {
  let hasClientLeft = false
  const decision = Promise.resolve(limits.acquire(testCluster.account, 'further', timers.monotonic() + clientTimeoutMs)).then((result) => {
    if (hasClientLeft && result.type === 'admitted') limits.refund(testCluster.account, 'further', result.term)
    return result.type
  })
  const result = await timerService.withTimeout(timers, decision, clientTimeoutMs)
  hasClientLeft = result === undefined
  return result ?? 'given up'
}
