/** Measures the time from a home's death to the next whole answer of its program, over many kills. */
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'

const hosts = 10
/** A host that comes back more often within ten minutes is no longer taken as a home. */
const killsEach = 3
const askEveryMs = 20
const withinMs = 30_000

const ends: (() => unknown)[] = []

function planOf (): testUtils.SystemPlan {
  const zones = ['makati-a', 'makati-b', 'pasig-a', 'pasig-b']
  return {
    ...testUtils.smallPlan,
    hosts: Array.from({ length: hosts }, (_, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone: zones[at % zones.length]!, engine: testUtils.instantEngine })),
    config: { services: {} }
  }
}

async function startAt (system: testUtils.System, recorder: recorders.CallRecorder, mayDie: (host: string) => boolean, round: number): Promise<{ readonly program: string, readonly home: string }> {
  for (let count = 0; ; count += 1) {
    const program = `recover-${round}-${count}`
    const started = await recorder.caller(round % 2).start(program, { kind: recorders.kind })
    if (!started.ok || !mayDie(started.value.home)) continue
    await recorder.askUntilWhole(recorders.modelCall(program, 'k1', 1), withinMs)
    return { program, home: started.value.home }
  }
}

/** Time to the next whole answer, asked again every few milliseconds with the same key. */
async function recoveryMs (recorder: recorders.CallRecorder, program: string, entry: number): Promise<number> {
  const startedAt = performance.now()
  while (performance.now() - startedAt < withinMs) {
    if ((await recorder.ask(recorders.modelCall(program, 'k2', 2), entry)).ok) break
    await recorders.pause(askEveryMs)
  }
  return Math.round(performance.now() - startedAt)
}

function percentile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!
}

try {
  const system = await testUtils.startSystem({ teardown: (run) => { ends.push(run) } }, planOf())
  const recorder = new recorders.CallRecorder(system)
  ends.push(() => recorder.close())
  const kills = new Map<string, number>()
  const back = new Map<string, Promise<unknown>>()
  const times: number[] = []
  for (let round = 0; round < hosts * killsEach; round += 1) {
    const { program, home } = await startAt(system, recorder, (host) => (kills.get(host) ?? 0) < killsEach, round)
    await back.get(home)
    kills.set(home, (kills.get(home) ?? 0) + 1)
    await system.sidecars.get(home)!.process.kill()
    times.push(await recoveryMs(recorder, program, round % 2))
    back.set(home, system.restartSidecar(home))
  }
  await Promise.all(back.values())
  const sorted = [...times].sort((a, b) => a - b)
  console.log(JSON.stringify({ kills: times.length, p50: percentile(sorted, 0.5), p90: percentile(sorted, 0.9), p99: percentile(sorted, 0.99), most: sorted.at(-1), times }))
} finally {
  for (const end of ends.reverse()) await end()
}
process.exit(0)
