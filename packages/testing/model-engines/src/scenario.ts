/** One run: a deployment, a load, a seed, a fault and a choice of rules, under a manual clock. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as deployments from './deployments.js'
import * as fakeEngine from './fake-engine.js'
import * as homes from './home.js'
import * as measures from './measures.js'
import * as programRun from './program-run.js'
import * as randoms from './random.js'
import type * as rules from './rules.js'
import * as upstreams from './upstream.js'
import * as workload from './workload.js'

export const faults = ['none', 'engineDies', 'engineSlow', 'lateReports', 'burst'] as const
export type Fault = typeof faults[number]

export interface Scenario {
  readonly deployment: deployments.Deployment
  readonly load: number
  readonly seed: number
  readonly fault: Fault
  readonly rules: rules.Rules
}

export interface ScenarioResult extends measures.RunMeasures {
  /** Programs offered before, in the two minutes after, and later than the fault; empty without one. */
  readonly spans: readonly measures.SpanMeasures[]
  /** Undefined when calls never became as fast again as before the fault, or there was none. */
  readonly recoveryMs: number | undefined
  /** Mean time of a call before the fault and after it, as a multiple of its time alone on an idle engine. */
  readonly stretchBefore: number
  readonly stretchAfter: number
}

/** Programs offered before this warm the learners and the caches, and are not judged. */
const warmUpMs = 180_000
const arrivalsMs = 780_000
/** Long enough for every program to end; the run stops once all have. */
const drainMs = 1_800_000
const drainStepMs = 10_000
const faultAtMs = 360_000
const faultSpanMs = 120_000
const burstMs = 60_000
const reportLagMs = 500
const lateReportLagMs = 10_000
/** After this the host list shows that a host is gone. */
const hostListLagMs = 5_000
const slowSpeed = 0.1
const eventLostShare = 0.05

export function runScenario (scenario: Scenario): ScenarioResult {
  const timers = timerService.createManualTimers(0)
  const recorder = new measures.Recorder()
  const news = randoms.createRandom(scenario.seed, -2)
  const demand = new Map<homes.Home, number>()
  const world = createWorld(scenario, timers, recorder, demand)
  const all = world.upstreams.map((_, at) => new homes.Home(world, at, randoms.createRandom(scenario.seed, -10 - at)))
  passEvictionsOn(world, all, news)
  reportDemand(world, all, demand)
  const offered = offerAll(scenario, world, all)
  timers.after(faultAtMs, () => strike(scenario.fault, world))
  timers.advance(arrivalsMs)
  while (recorder.results.length < offered && timers.now() < arrivalsMs + drainMs) timers.advance(drainStepMs)
  return resultOf(scenario, recorder)
}

function createWorld (scenario: Scenario, timers: timerService.TimerService, recorder: measures.Recorder, demand: ReadonlyMap<homes.Home, number>): homes.World {
  const { deployment } = scenario
  const all = Array.from({ length: deployment.engines }, (_, at) => {
    const engine = new fakeEngine.FakeEngine(deployment.engine, timers)
    const availabilityZone = deployment.availabilityZones[at % deployment.availabilityZones.length]!
    const place = { upstream: `engine-${at}` as types.UpstreamId, host: `host-${at}` as types.HostId, availabilityZone }
    return new upstreams.Upstream(place, engine, scenario.rules.order, reportLagMs, timers)
  })
  const demandOfOthers = (home: homes.Home): number => {
    return [...demand].reduce((sum, [other, known]) => other === home ? sum : sum + known, 0)
  }
  return { timers, upstreams: all, rules: scenario.rules, recorder, engine: deployment.engine, demandOfOthers }
}

/** Each home's demand goes with the load report of the engine beside it. */
function reportDemand (world: homes.World, all: readonly homes.Home[], demand: Map<homes.Home, number>): void {
  world.timers.every(upstreams.reportEveryMs, () => {
    all.forEach((home, at) => {
      const reported = home.demand
      home.sampleUse()
      world.timers.after(world.upstreams[at]!.reportLagMs, () => demand.set(home, reported))
    })
  })
}

/** Evictions reach the homes late, and some never. */
function passEvictionsOn (world: homes.World, all: readonly homes.Home[], news: randoms.Random): void {
  for (const { engine, place, evictionAge } of world.upstreams) {
    engine.cache.onEvict = (prefix, ageMs) => {
      const at = world.timers.now()
      if (news.chance(eventLostShare)) return
      world.timers.after(500 + 1_500 * news.uniform(), () => {
        evictionAge.observe(ageMs, world.timers.now())
        for (const home of all) home.prefixes.evicted(prefix, place.upstream, at)
      })
    }
  }
}

function offerAll (scenario: Scenario, world: homes.World, all: readonly homes.Home[]): number {
  const burst = scenario.fault === 'burst' ? { fromMs: faultAtMs, toMs: faultAtMs + burstMs, factor: 5 } : undefined
  const hash = randoms.createRandom(scenario.seed, -1)
  const scripts = workload.createScripts({ ...scenario, arrivalsMs, burst })
  for (const script of scripts) {
    const home = all[Math.floor(hash.uniform() * all.length)]!
    world.timers.after(script.offeredAt, () => programRun.offerProgram(world, home, script))
  }
  return scripts.length
}

function strike (fault: Fault, world: homes.World): void {
  const struck = world.upstreams[0]!
  switch (fault) {
    case 'none':
    case 'burst':
      return
    case 'engineDies':
      struck.engine.die()
      struck.refuseAll()
      world.timers.after(hostListLagMs, () => { struck.listed = 'leaving' })
      return
    case 'engineSlow':
      struck.engine.setSpeed(slowSpeed)
      return
    case 'lateReports':
      for (const upstream of world.upstreams) upstream.reportLagMs = lateReportLagMs
      return
    default: errors.assertNever(fault)
  }
}

function resultOf (scenario: Scenario, recorder: measures.Recorder): ScenarioResult {
  const whole = recorder.measures(warmUpMs, arrivalsMs)
  const struck = scenario.fault !== 'none'
  const edges = [warmUpMs, faultAtMs, faultAtMs + faultSpanMs, arrivalsMs]
  return {
    ...whole,
    spans: struck ? [0, 1, 2].map((at) => recorder.spanMeasures(edges[at]!, edges[at + 1]!)) : [],
    recoveryMs: struck ? recorder.recoveryMs(faultAtMs, arrivalsMs) : undefined,
    stretchBefore: recorder.stretchBetween(warmUpMs, faultAtMs),
    stretchAfter: recorder.stretchBetween(faultAtMs, arrivalsMs)
  }
}
