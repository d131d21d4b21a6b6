import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as soak from './soak.js'

const seed = 7
const ends: (() => unknown)[] = []
tap.teardown(async () => { for (const end of ends.reverse()) await end() })
const system = await testUtils.startSystem({ teardown: (run) => { ends.push(run) } }, soak.soakPlan(testUtils.smallPlan))

tap.test('a schedule of faults from a seed: no key runs twice, and no other point is broken', async (t) => {
  const report = await soak.runSoak(system, { seed, durationMs: 10_000, workers: 6, faultEveryMs: 900 })
  t.comment(`seed ${seed}: ${JSON.stringify({ faults: report.faults.length, programs: report.programs, calls: report.calls, releasedMs: report.releasedMs })}`)
  t.same(report.violations, [])
  t.ok(report.programs.finished > 0)
})
