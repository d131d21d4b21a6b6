import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const { system, recorder, start } = await shared.startShared(tap, testUtils.smallPlan)
const { log } = system

for (const type of ['refuse', 'stall', 'reset'] as const) {
  tap.test(`log outage: ${type}`, async (t) => {
    const program = `out-${type}`
    await start(program)
    t.ok((await recorder.ask(recorders.modelCall(program, 'k1', 1))).ok)
    log.faults.set({ type })
    const outageAt = performance.now()
    const model = await recorder.ask(recorders.modelCall(program, 'k2', 2))
    t.match(model, { ok: false, failure: { code: 'logUnavailable', verdict: 'ran' } })
    t.comment(`answered after ${Math.round(performance.now() - outageAt)} ms of outage`)
    t.equal(recorder.executions(program, 'k2'), 1)

    const askedAt = performance.now()
    const order = await recorder.ask(recorders.serviceCall(program, 'o1', 1, { branch: 'orders' }), 1)
    t.match(order, { ok: false, failure: { code: 'logUnavailable', verdict: 'notRun' } })
    t.ok(!order.ok && (order.failure.retryAfterMs ?? 0) > 0)
    const started = await recorder.caller(1).start(`${program}-new`, { kind: recorders.kind })
    t.match(started, { ok: false, failure: { code: 'logUnavailable', verdict: 'notRun' } })
    t.ok(!started.ok && (started.failure.retryAfterMs ?? 0) > 0)
    t.comment(`order and start refused within ${Math.round(performance.now() - askedAt)} ms`)
    t.equal(recorder.executions(program, 'o1'), 0)

    log.faults.clear()
    const again = await recorder.askUntilWhole(recorders.modelCall(program, 'k2', 2), 10_000, 1)
    t.ok(again.ok)
    t.equal(recorder.executions(program, 'k2'), 1, 'the answer was kept, not generated again')
    t.ok((await recorder.askUntilWhole(recorders.serviceCall(program, 'o1', 1, { branch: 'orders' }), 10_000)).ok)
    t.equal(recorder.executions(program, 'o1'), 1)
    await start(`${program}-new`)
    const read = await recorder.caller(0).readHistory(program)
    t.same(read.ok && read.value.history.map((turn) => turn.key), ['k1', 'k2', 'o1'])
    if (read.ok) recorder.checkHistory(program, read.value.history)
  })
}

tap.test('no takeover while the log is down', async (t) => {
  const home = await start('alone')
  t.ok((await recorder.ask(recorders.modelCall('alone', 'k1', 1))).ok)
  log.faults.set({ type: 'refuse' })
  await system.sidecars.get(home)!.process.kill()
  t.match(await recorder.ask(recorders.modelCall('alone', 'k2', 2, { timeoutMs: 2_000 }), 1), { ok: false, failure: { verdict: /notRun|mayHaveRun/ } })
  t.equal(recorder.executions('alone', 'k2'), 0)
  log.faults.clear()
  t.ok((await recorder.askUntilWhole(recorders.modelCall('alone', 'k2', 2), 15_000)).ok)
  t.equal(recorder.executions('alone', 'k2'), 1)
})

shared.checkAtEnd(tap, recorder)
