/** Load on a system of real processes while they are killed, paused and cut, and the checks of what callers were told. */
import type * as standIns from '@eelgrasswind/stand-ins'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as soakFaults from './soak-faults.js'
import * as soakPrograms from './soak-programs.js'

export interface SoakSettings {
  readonly seed: number
  readonly durationMs: number
  /** Programs under way at once. */
  readonly workers: number
  readonly faultEveryMs: number
}

export interface SoakReport {
  readonly violations: readonly string[]
  readonly faults: readonly string[]
  readonly programs: soakPrograms.ProgramCounts
  readonly calls: recorders.RecorderCounts
  /** Time after the last program until no session was held in an engine, in milliseconds. */
  readonly releasedMs: number
}

/** A hold is a lease of at most ten seconds with the rule `fixed`, and a sweep follows within five. */
const holdBoundMs = 20_000
const readBoundMs = 30_000
/** Index of the random numbers for details of faults: above those of the workers. */
const variantSeedIndex = 1_000

/** The plan of a soak: three hosts with engines, two with a service, two entries. */
export function soakPlan (base: testUtils.SystemPlan): testUtils.SystemPlan {
  const engine = { tokenMs: 4, prefillTokensPerSecond: null }
  return {
    ...base,
    hosts: [
      ...['makati-a', 'makati-b', 'pasig-a', 'pasig-b'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine })),
      ...['makati-a', 'pasig-b'].map((availabilityZone, at) => ({ type: 'service' as const, host: `kit-${at}`, availabilityZone, service: recorders.service }))
    ],
    config: { ...base.config, limits: { holdRule: 'fixed', admissionRule: 'none' } }
  }
}

export async function runSoak (system: testUtils.System, settings: SoakSettings): Promise<SoakReport> {
  const { seed, durationMs, workers, faultEveryMs } = settings
  const recorder = new recorders.CallRecorder(system)
  const programs = new soakPrograms.SoakPrograms(recorder, `soak-${seed}`)
  const faults = new soakFaults.SoakFaults(system, testUtils.createSeeded(seed), testUtils.createSeeded(seed, variantSeedIndex), { everyMs: faultEveryMs })
  const running = Array.from({ length: workers }, (_, worker) => programs.run(worker, testUtils.createSeeded(seed, worker + 1)))
  const striking = faults.run()
  await recorders.pause(durationMs)
  faults.end()
  await striking
  programs.end()
  await Promise.all(running)
  const endedAt = performance.now()
  await programs.checkAll(readBoundMs)
  const released = await untilReleased([...system.engines.values()], endedAt + holdBoundMs)
  recorder.checkCounts()
  await recorder.close()
  const violations = [...recorder.violations, ...programs.violations]
  if (!released) violations.push(`sessions are held ${holdBoundMs} ms after the last program`)
  return { violations, faults: faults.done, programs: programs.counts, calls: recorder.counts, releasedMs: Math.round(performance.now() - endedAt) }
}

async function untilReleased (engines: readonly standIns.EngineStandIn[], until: number): Promise<boolean> {
  const isHeld = (): boolean => engines.some((engine) => engine.sessions().some(({ held }) => held))
  while (isHeld() && performance.now() < until) await recorders.pause(100)
  return !isHeld()
}
