import tap from 'tap'
import * as util from 'node:util'
import * as fc from 'fast-check'
import * as deployments from './deployments.js'
import * as plan from './plan.js'

const { dimasalang, shagyl } = deployments.deployments

function planOf (deployment: deployments.Deployment, seed: number, over: Partial<plan.WorkloadSettings> = {}): readonly plan.PlannedProgram[] {
  return plan.planWorkload({ deployment, seed, rate: 20, seconds: 200, timeScale: 1, ...over })
}

tap.test('the same seed gives the same programs, another gives others', async (t) => {
  fc.assert(fc.property(fc.constantFrom(dimasalang, shagyl), fc.nat(1_000_000), fc.nat(1_000_000), (deployment, seed, other) => {
    const short = { seconds: 5 }
    const programs = planOf(deployment, seed, short)
    const repeats = util.isDeepStrictEqual(programs, planOf(deployment, seed, short))
    return repeats && (seed === other || !util.isDeepStrictEqual(programs, planOf(deployment, other, short)))
  }), { seed: 1, numRuns: 30 })
  t.pass('every pair of seeds held')
})

tap.test('programs come in order, at the rate, and by their shares', async (t) => {
  for (const deployment of [dimasalang, shagyl]) {
    const programs = planOf(deployment, 7)
    t.ok(Math.abs(programs.length - 4_000) < 250, `${programs.length} programs`)
    t.ok(programs.every(({ offeredAtMs }, at) => at === 0 || offeredAtMs >= programs[at - 1]!.offeredAtMs))
    for (const { kind, share } of deployment.kinds) {
      const found = programs.filter((one) => one.kind === kind).length / programs.length
      t.ok(Math.abs(found - share) < 0.03, `${kind}: ${found}`)
    }
  }
})

tap.test('the workload has a heavy tail, loops, hung tools and orders that must not repeat', async (t) => {
  const programs = planOf(dimasalang, 3)
  const walks = programs.filter(({ kind, fate }) => kind === 'roster-walk' && fate === 'finishes').map(({ steps }) => steps.length).sort((a, b) => a - b)
  t.ok(walks[Math.floor(walks.length * 0.95)]! > 2 * walks[Math.floor(walks.length / 2)]!, 'the tail of the turns')
  const loops = programs.filter(({ fate }) => fate === 'loops')
  t.ok(loops.length > 0 && loops.every(({ steps }) => steps.length > deployments.budgetCalls))
  const services = programs.flatMap(({ steps }) => steps.flatMap(({ call, subAgent }) => [call, ...subAgent])).filter((call) => call.type === 'service')
  t.ok(services.some(({ path, timeoutMs }) => path === deployments.hangPath && timeoutMs === deployments.toolTimeoutMs))
  t.ok(services.some(({ path, idempotent }) => path === '/stock' && idempotent))
  t.ok(services.filter(({ path }) => path === '/print').every(({ idempotent }) => !idempotent))
  t.ok(services.some(({ askAgain }) => askAgain))
})

tap.test('a quarter of the deadlines are at common events', async (t) => {
  const programs = planOf(shagyl, 5)
  const atEvent = programs.filter(({ deadlineMs }) => deadlineMs % 240_000 < 0.001 || deadlineMs % 240_000 > 239_999.999)
  t.ok(Math.abs(atEvent.length / programs.length - 0.25) < 0.03, `${atEvent.length} of ${programs.length}`)
  t.ok(programs.every(({ offeredAtMs, deadlineMs, wallMs }) => deadlineMs > offeredAtMs && wallMs > 0))
})

tap.test('the time scale shortens times and nothing else', async (t) => {
  const [whole, scaled] = [planOf(dimasalang, 9, { seconds: 5 }), planOf(dimasalang, 9, { seconds: 5, timeScale: 0.5 })]
  t.same(scaled.map(({ steps }) => steps.map(({ call }) => call.type)), whole.map(({ steps }) => steps.map(({ call }) => call.type)))
  t.same(scaled.map(({ steps }) => steps[0]!.pauseMs), whole.map(({ steps }) => steps[0]!.pauseMs / 2))
})
