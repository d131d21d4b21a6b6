import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const engine = { tokenMs: 8, prefillTokensPerSecond: null }
const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: [
    ...['makati-a', 'makati-b', 'pasig-a', 'pasig-b'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine })),
    ...['makati-a', 'makati-b', 'pasig-a'].map((availabilityZone, at) => ({ type: 'service' as const, host: `kit-${at}`, availabilityZone, service: recorders.service, settings: { delayMs: 150 } }))
  ]
})

/** After this long a leaving upstream gets no new work, in milliseconds. */
const leavingBoundMs = 5_000
const workers = 8
let programs = 0

interface Load {
  /** Entry that the workers use. */
  entry: number
  /** Attempts that ended otherwise than whole or refused with notRun. */
  readonly cuts: string[]
  readonly counts: { whole: number, refused: number }
  readonly end: () => Promise<void>
}

/** Programs with streaming model calls and service calls, until ended. */
async function startLoad (): Promise<Load> {
  const state = { ended: false }
  const running: Promise<void>[] = []
  const load: Load = {
    entry: 0,
    cuts: [],
    counts: { whole: 0, refused: 0 },
    async end () {
      state.ended = true
      await Promise.all(running)
    }
  }

  async function work (program: string, worker: number): Promise<void> {
    for (let seq = 1; !state.ended; seq += 1) {
      const call = (seq + worker) % 2 === 0 ? recorders.serviceCall(program, `k${seq}`, seq) : recorders.modelCall(program, `k${seq}`, seq, { maxTokens: 48 })
      while (!await attempt(call)) await recorders.pause(100)
    }
  }

  async function attempt (call: recorders.CallRequest): Promise<boolean> {
    const answer = await recorder.ask(call, load.entry)
    if (answer.ok) load.counts.whole += 1
    else if (answer.failure.verdict === 'notRun') load.counts.refused += 1
    else load.cuts.push(`${call.program}/${call.key}: ${JSON.stringify(answer.failure)}`)
    return answer.ok || answer.failure.verdict !== 'notRun'
  }

  for (let worker = 0; worker < workers; worker += 1) {
    const program = `load-${programs++}`
    await start(program)
    running.push(work(program, worker))
  }
  return load
}

function requestsAt (host: string): number {
  const one = system.engines.get(host) ?? system.services.get(host)!
  return Object.values(one.counters().requests).reduce((sum, count) => sum + count, 0)
}

/** Time from now until the last new request to the host, seen over the bound and two seconds more. */
async function lastWorkMs (host: string): Promise<number> {
  const startedAt = performance.now()
  let last = 0
  let seen = requestsAt(host)
  while (performance.now() - startedAt < leavingBoundMs + 2_000) {
    const now = requestsAt(host)
    if (now !== seen) last = performance.now() - startedAt
    seen = now
    await recorders.pause(10)
  }
  return Math.round(last)
}

tap.test('hosts set to leaving in the host list get no new work, and cut none', async (t) => {
  const load = await startLoad()
  await recorders.pause(500)
  system.hostList.leaveHost('kit-0')
  system.hostList.leaveHost('engine-0')
  const [service, model] = await Promise.all([lastWorkMs('kit-0'), lastWorkMs('engine-0')])
  await load.end()
  t.comment(`last new work ${service} ms (service) and ${model} ms (engine) after leaving`)
  t.ok(service < leavingBoundMs && model < leavingBoundMs)
  t.same(load.cuts, [])
  t.comment(JSON.stringify(load.counts))
})

tap.test('sidecars told to leave with the host list stalled get no new work, and cut none', async (t) => {
  const load = await startLoad()
  await recorders.pause(500)
  system.hostList.stall(true)
  const service = system.sidecars.get('kit-1')!.process.stop()
  const model = system.sidecars.get('engine-1')!.process.stop()
  const [lastService, lastModel] = await Promise.all([lastWorkMs('kit-1'), lastWorkMs('engine-1')])
  t.equal(await service, 0)
  t.equal(await model, 0)
  await load.end()
  system.hostList.stall(false)
  t.comment(`last new work ${lastService} ms (service) and ${lastModel} ms (engine) after SIGTERM`)
  t.ok(lastService < leavingBoundMs && lastModel < leavingBoundMs)
  t.same(load.cuts, [])
  t.comment(JSON.stringify(load.counts))
})

tap.test('an entry told to leave cuts no answer', async (t) => {
  const load = await startLoad()
  await recorders.pause(500)
  load.entry = 1
  const before = load.counts.whole
  t.equal(await system.entries.get('entry-a')!.process.stop(), 0)
  await recorders.pause(500)
  await load.end()
  t.same(load.cuts, [])
  t.ok(load.counts.whole > before)
  t.comment(JSON.stringify(load.counts))
})

shared.checkAtEnd(tap, recorder)
