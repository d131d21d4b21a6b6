/** `npm run soak -- --seed N --minutes M`: prints a line for each violation, and ends with 1 if there was one. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as util from 'node:util'
import * as testUtils from '@eelgrasswind/test-utils'
import * as soak from './soak.js'

const mostMinutes = 10
const minuteMs = 60_000

const { values } = util.parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '2' },
    workers: { type: 'string', default: '8' },
    'fault-every-ms': { type: 'string', default: '1500' }
  }
})
const seed = Number(values.seed)
const minutes = Number(values.minutes)
if (!Number.isInteger(seed) || !(minutes > 0 && minutes <= mostMinutes)) {
  console.error(`usage: npm run soak -- --seed N --minutes M, with M at most ${mostMinutes}`)
  process.exit(2)
}

/** Writes what each process has logged to a file of its own. */
function keepLogs (system: testUtils.System): void {
  const dir = path.join('out', `soak-${seed}-${process.pid}`)
  fs.mkdirSync(dir, { recursive: true })
  for (const [index, { host, process }] of system.started.entries()) fs.writeFileSync(path.join(dir, `${index}-${host}.log`), process.output().join('\n'))
  console.log(`logs: ${dir}`)
}

const ends: (() => unknown)[] = []
let report: soak.SoakReport | undefined
try {
  const system = await testUtils.startSystem({ teardown: (run) => { ends.push(run) } }, soak.soakPlan(testUtils.smallPlan))
  report = await soak.runSoak(system, { seed, durationMs: minutes * minuteMs, workers: Number(values.workers), faultEveryMs: Number(values['fault-every-ms']) })
  if (report.violations.length > 0) keepLogs(system)
} finally {
  for (const end of ends.reverse()) await end()
}
for (const violation of report.violations) console.log(`VIOLATION seed ${seed}: ${violation}`)
console.log(JSON.stringify({ seed, minutes, faults: report.faults.length, programs: report.programs, calls: report.calls, releasedMs: report.releasedMs, violations: report.violations.length }))
process.exit(report.violations.length === 0 ? 0 : 1)
