import tap from 'tap'
import type * as standIns from '@eelgrasswind/stand-ins'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const { system, recorder, start } = await shared.startShared(tap, testUtils.smallPlan)
const kit = system.services.get('kit-a')!
const timeoutMs = 700

type EngineFault = Exclude<standIns.EngineFault, { type: 'control' }>

const engineFaults: readonly EngineFault[] = [
  { type: 'refuse', retryAfterMs: 50 },
  { type: 'reset' },
  { type: 'error' },
  { type: 'truncate', afterTokens: 3, clean: true },
  { type: 'truncate', afterTokens: 3, clean: false },
  { type: 'truncate', afterTokens: 0, clean: true },
  { type: 'wrongId' },
  { type: 'crossed' },
  { type: 'crossedBody' },
  { type: 'neverEnd' },
  { type: 'duplicate' },
  { type: 'loseAnswer' }
]

function setEngineFault (fault: EngineFault, scope: string, times: number): void {
  for (const engine of system.engines.values()) engine.faults.set(fault, { scope, times })
}

function clearEngineFaults (): void {
  for (const engine of system.engines.values()) engine.faults.clear()
}

/** Answers of other programs, for a crossed answer to be taken from. */
async function others (program: string): Promise<void> {
  await Promise.all([1, 2, 3].map((at) => recorder.ask(recorders.modelCall(`${program}-other`, `o${at}`, 1, { branch: `b${at}` }), at % 2)))
}

/** Checks a program's history; false where it could not be read. */
async function checkWhole (program: string): Promise<boolean> {
  const read = await recorder.caller(1).readHistory(program)
  if (read.ok) recorder.checkHistory(program, read.value.history)
  return read.ok
}

for (const fault of engineFaults) {
  const name = `${fault.type}${'clean' in fault ? `-${fault.afterTokens}-${fault.clean}` : ''}`
  tap.test(`engine answers ${name}`, async (t) => {
    const program = `e-${name}`
    await start(program)
    await start(`${program}-other`)
    t.ok((await recorder.askUntilWhole(recorders.modelCall(program, 'k1', 1), 5_000)).ok)
    await others(program)
    setEngineFault(fault, program, 1)
    const once = await recorder.ask(recorders.modelCall(program, 'k2', 2, { timeoutMs }))
    t.comment(once.ok ? 'whole at once' : JSON.stringify(once.failure))
    clearEngineFaults()
    t.ok((await recorder.askUntilWhole(recorders.modelCall(program, 'k2', 2, { timeoutMs }), 5_000, 1)).ok)
    setEngineFault(fault, program, 1_000)
    const always = await recorder.ask(recorders.modelCall(program, 'k3', 3, { timeoutMs }))
    t.comment(always.ok ? 'whole in spite of it' : JSON.stringify(always.failure))
    if (!always.ok) t.match(always.failure.verdict, /^(notRun|mayHaveRun|ran)$/)
    clearEngineFaults()
    t.ok((await recorder.askUntilWhole(recorders.modelCall(program, 'k3', 3, { timeoutMs }), 5_000, 1)).ok)
    t.ok(await checkWhole(program))
    t.ok(await checkWhole(`${program}-other`))
    t.same(recorder.violations, [])
  })
}

const serviceFaults: readonly (readonly [standIns.ServiceFault, readonly string[]])[] = [
  [{ type: 'refuse', retryAfterMs: 50 }, ['whole', 'notRun']],
  [{ type: 'reset' }, ['mayHaveRun']],
  [{ type: 'loseAnswer' }, ['mayHaveRun']],
  [{ type: 'delay', delayMs: 100 }, ['whole']],
  [{ type: 'delay', delayMs: 1_200 }, ['mayHaveRun']],
  [{ type: 'error', run: true }, ['mayHaveRun', 'ran', 'whole']],
  [{ type: 'error', run: false }, ['mayHaveRun', 'ran', 'whole']],
  [{ type: 'truncate' }, ['mayHaveRun', 'ran']],
  [{ type: 'wrongId' }, ['mayHaveRun', 'ran']],
  [{ type: 'crossed' }, ['mayHaveRun', 'ran']],
  [{ type: 'duplicate' }, ['whole']],
  [{ type: 'invalidJson' }, ['mayHaveRun', 'ran']],
  [{ type: 'oversize', bytes: 5_000_000 }, ['mayHaveRun', 'ran']],
  [{ type: 'hang', run: true }, ['mayHaveRun']],
  [{ type: 'hang', run: false }, ['mayHaveRun']],
  [{ type: 'unframed' }, ['whole']],
  [{ type: 'truncate', unframed: { bytes: 0, reset: true } }, ['mayHaveRun', 'ran']],
  [{ type: 'truncate', unframed: { bytes: 0, reset: false } }, ['mayHaveRun', 'ran']],
  [{ type: 'truncate', unframed: { bytes: 9, reset: true } }, ['mayHaveRun', 'ran']],
  [{ type: 'truncate', unframed: { bytes: 9, reset: false } }, ['mayHaveRun', 'ran']]
]

function endOf (answer: recorders.Answer): string {
  return answer.ok ? 'whole' : answer.failure.verdict
}

serviceFaults.forEach(([fault, ends], at) => {
  tap.test(`service answers ${fault.type}${'unframed' in fault ? ` ${JSON.stringify(fault.unframed)}` : ''}`, async (t) => {
    const program = `s-${at}-${fault.type}`
    await start(program)
    t.ok((await recorder.ask(recorders.serviceCall(program, 'k1', 1))).ok)
    kit.faults.set(fault, { scope: 'print', times: 1 })
    const answer = await recorder.ask(recorders.serviceCall(program, 'k2', 2, { timeoutMs }))
    const faultEnd = endOf(answer)
    t.ok(ends.includes(faultEnd), `${faultEnd} ${answer.ok ? '' : JSON.stringify(answer.failure)}`)
    kit.faults.clear()
    const again = await recorder.ask(recorders.serviceCall(program, 'k2', 2, { timeoutMs }), 1)
    t.equal(endOf(again), faultEnd === 'notRun' ? 'whole' : faultEnd, 'asking again gives the same end, or runs what did not run')
    t.ok(recorder.executions(program, 'k2') <= 1)
    t.ok((await recorder.ask(recorders.serviceCall(program, 'k3', 3), 1)).ok)
    t.ok(await checkWhole(program))
    t.same(recorder.violations, [])
  })
})

tap.test('answers of many programs at once are not crossed', async (t) => {
  const programs = Array.from({ length: 20 }, (_, at) => `many-${at}`)
  for (const program of programs) await start(program)
  await Promise.all(programs.map(async (program, at) => {
    for (let seq = 1; seq <= 4; seq += 1) {
      const call = seq % 2 === 0 ? recorders.serviceCall(program, `k${seq}`, seq) : recorders.modelCall(program, `k${seq}`, seq, { maxTokens: 64 })
      t.ok((await recorder.ask(call, (at + seq) % 2)).ok)
    }
  }))
  for (const program of programs) t.ok(await checkWhole(program))
})

shared.checkAtEnd(tap, recorder)
