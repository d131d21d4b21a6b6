import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const { system, recorder, start } = await shared.startShared(tap, testUtils.smallPlan)

function ran (program: string, keys: readonly string[]): number {
  return keys.reduce((sum, key) => sum + recorder.executions(program, key), 0)
}

function keysOf (count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `k${at + 1}`)
}

tap.test('concurrent sub-agents share one budget of calls', async (t) => {
  await start('agents', { calls: 5 })
  const keys = keysOf(12)
  const answers = await Promise.all(keys.map((key, at) => {
    const place = { branch: `agent-${at}` }
    return recorder.ask(at % 3 === 0 ? recorders.serviceCall('agents', key, 1, place) : recorders.modelCall('agents', key, 1, place), at % 2)
  }))
  t.equal(answers.filter((answer) => answer.ok).length, 5)
  for (const answer of answers) if (!answer.ok) t.match(answer.failure, { code: 'budgetExceeded', verdict: 'notRun', field: 'budget.calls' })
  t.equal(ran('agents', keys), 5)
})

tap.test('concurrent sub-agents share one budget of tokens', async (t) => {
  await start('tokens', { tokens: 300 })
  const keys = keysOf(12)
  const answers = await Promise.all(keys.map((key, at) => recorder.ask(recorders.modelCall('tokens', key, 1, { branch: `agent-${at}`, maxTokens: 64 }), at % 2)))
  const whole = answers.filter((answer) => answer.ok).length
  t.ok(whole > 0 && whole < 12, `${whole} ran`)
  t.equal(ran('tokens', keys), whole)
  const read = await recorder.caller(0).read('tokens')
  t.ok(read.ok && read.value.spent.tokens <= 300)
})

tap.test('a program that loops ends at its budget', async (t) => {
  await start('loop', { tokens: 2_000, calls: 1_000 })
  let calls = 0
  let end: recorders.Answer
  do {
    calls += 1
    end = await recorder.ask(recorders.modelCall('loop', `k${calls}`, calls, { text: 'again' }), calls % 2)
  } while (end.ok && calls < 200)
  t.match(end, { ok: false, failure: { code: 'budgetExceeded', verdict: 'notRun', field: 'budget.tokens' } })
  t.comment(`refused at call ${calls}`)
  const read = await recorder.caller(1).read('loop')
  t.ok(read.ok && read.value.spent.tokens <= 2_000, JSON.stringify(read))
})

tap.test('a program that loops without a word ends at its wall time', async (t) => {
  await start('wall', { wallMs: 1_500 })
  t.ok((await recorder.ask(recorders.modelCall('wall', 'k1', 1))).ok)
  const ended = await testUtils.eventually(async () => {
    const read = await recorder.caller(1).read('wall')
    return read.ok && read.value.state === 'finished' ? read.value : undefined
  })
  t.equal(ended.result, 'expired')
  t.match(await recorder.ask(recorders.modelCall('wall', 'k2', 2)), { ok: false, failure: { code: 'programFinished', verdict: 'notRun' } })
})

tap.test('an engine that reports too much use: no further call runs', async (t) => {
  await start('over', { tokens: 1_000 })
  t.ok((await recorder.ask(recorders.modelCall('over', 'k1', 1))).ok)
  for (const engine of system.engines.values()) engine.faults.set({ type: 'overReportUsage', factor: 100 }, { scope: 'over', times: 1 })
  const over = await recorder.ask(recorders.modelCall('over', 'k2', 2))
  t.comment(over.ok ? JSON.stringify(over.value.trailer.usage) : JSON.stringify(over.failure))
  for (const engine of system.engines.values()) engine.faults.clear()
  t.match(await recorder.ask(recorders.modelCall('over', 'k3', 3)), { ok: false, failure: { code: 'budgetExceeded', verdict: 'notRun' } })
  t.equal(recorder.executions('over', 'k3'), 0)
})

tap.test('the budget stands after a takeover', async (t) => {
  const home = await start('moved', { calls: 3 })
  t.ok((await recorder.ask(recorders.modelCall('moved', 'k1', 1))).ok)
  t.ok((await recorder.ask(recorders.serviceCall('moved', 'k2', 2))).ok)
  await system.sidecars.get(home)!.process.kill()
  t.ok((await recorder.askUntilWhole(recorders.modelCall('moved', 'k3', 3), 15_000, 1)).ok)
  t.match(await recorder.ask(recorders.modelCall('moved', 'k4', 4)), { ok: false, failure: { code: 'budgetExceeded', verdict: 'notRun' } })
  t.equal(ran('moved', ['k1', 'k2', 'k3', 'k4']), 3)
  await system.restartSidecar(home)
})

tap.test('an unsettled call counts as spent after a takeover', async (t) => {
  const home = await start('unsettled', { calls: 2 })
  t.ok((await recorder.ask(recorders.modelCall('unsettled', 'k1', 1))).ok)
  system.services.get('kit-a')!.faults.set({ type: 'hang', run: true }, { times: 1 })
  const first = recorder.ask(recorders.serviceCall('unsettled', 'k2', 2))
  await testUtils.eventually(() => recorder.executions('unsettled', 'k2') === 1)
  await Promise.all([system.sidecars.get(home)!.process.kill(), system.sidecars.get('kit-a')!.process.kill()])
  system.services.get('kit-a')!.faults.clear()
  await Promise.all([system.restartSidecar(home), system.restartSidecar('kit-a'), first])
  const end = await recorder.askUntilWhole(recorders.serviceCall('unsettled', 'k2', 2), 20_000, 1)
  t.match(end, { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.match(await recorder.askUntilWhole(recorders.modelCall('unsettled', 'k3', 3), 5_000), { ok: false, failure: { code: 'budgetExceeded', verdict: 'notRun' } })
  t.equal(ran('unsettled', ['k1', 'k2', 'k3']), 2)
})

shared.checkAtEnd(tap, recorder)
