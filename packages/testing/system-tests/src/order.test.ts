import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const { system, recorder, start } = await shared.startShared(tap, testUtils.smallPlan)

async function orderOf (program: string): Promise<readonly string[]> {
  const read = await recorder.caller(1).readHistory(program)
  if (!read.ok) throw new Error(JSON.stringify(read.failure))
  recorder.checkHistory(program, read.value.history)
  return read.value.history.map((turn) => `${turn.branch}/${turn.seq} ${turn.key}`)
}

tap.test('concurrent duplicates through two entries run once', async (t) => {
  await start('dup')
  const answers = await Promise.all(Array.from({ length: 8 }, (_, at) => recorder.ask(recorders.modelCall('dup', 'k1', 1), at % 2)))
  t.same(answers.flatMap((answer) => answer.ok ? [] : [answer.failure]), [])
  t.equal(recorder.executions('dup', 'k1'), 1)
  const orders = await Promise.all(Array.from({ length: 8 }, (_, at) => recorder.ask(recorders.serviceCall('dup', 'k2', 2), at % 2)))
  t.same(orders.flatMap((answer) => answer.ok ? [] : [answer.failure]), [])
  t.equal(recorder.executions('dup', 'k2'), 1)
  t.same(await orderOf('dup'), ['main/1 k1', 'main/2 k2'])
})

tap.test('two calls for one place: one runs', async (t) => {
  await start('race')
  const answers = await Promise.all(Array.from({ length: 6 }, (_, at) => recorder.ask(recorders.modelCall('race', `k${at}`, 1), at % 2)))
  t.equal(answers.filter((answer) => answer.ok).length, 1)
  for (const answer of answers) if (!answer.ok) t.match(answer.failure, { code: 'sequenceRepeat', verdict: 'notRun' })
  const ran = Array.from({ length: 6 }, (_, at) => recorder.executions('race', `k${at}`))
  t.equal(ran.reduce((sum, one) => sum + one, 0), 1)
  t.equal((await orderOf('race')).length, 1)
})

tap.test('a gap is refused and does not run', async (t) => {
  await start('gap')
  t.match(await recorder.ask(recorders.modelCall('gap', 'k3', 3)), { ok: false, failure: { code: 'sequenceGap', verdict: 'notRun' } })
  t.match(await recorder.ask(recorders.modelCall('gap', 'k0', 2)), { ok: false, failure: { code: 'sequenceGap', verdict: 'notRun' } })
  t.match(await recorder.ask(recorders.modelCall('gap', 'k1', 1)), { ok: true })
  t.equal(recorder.executions('gap', 'k3') + recorder.executions('gap', 'k0'), 0)
})

tap.test('a key with another request is refused', async (t) => {
  await start('reuse')
  t.match(await recorder.ask(recorders.modelCall('reuse', 'k1', 1)), { ok: true })
  t.match(await recorder.ask(recorders.modelCall('reuse', 'k1', 1, { text: 'other' }), 1), { ok: false, failure: { code: 'keyReused', verdict: 'notRun' } })
  t.equal(recorder.executions('reuse', 'k1'), 1)
})

tap.test('branches of sub-agents keep their own order', async (t) => {
  await start('agents')
  const branches = ['main', 'stock', 'sizes']
  await Promise.all(branches.map(async (branch, at) => {
    for (let seq = 1; seq <= 4; seq += 1) {
      const answer = await recorder.ask(recorders.modelCall('agents', `${branch}-${seq}`, seq, { branch }), (at + seq) % 2)
      t.ok(answer.ok)
    }
  }))
  const order = await orderOf('agents')
  for (const branch of branches) t.same(order.filter((one) => one.startsWith(branch)), [1, 2, 3, 4].map((seq) => `${branch}/${seq} ${branch}-${seq}`))
})

tap.test('order kept across a takeover, with calls of three branches under way', async (t) => {
  const home = await start('moved')
  const branches = ['main', 'stock', 'sizes']
  const done = Promise.all(branches.map(async (branch, at) => {
    for (let seq = 1; seq <= 10; seq += 1) {
      const call = seq % 3 === 0 ? recorders.serviceCall('moved', `${branch}-${seq}`, seq, { branch }) : recorders.modelCall('moved', `${branch}-${seq}`, seq, { branch })
      await recorder.askUntilWhole(call, 15_000, at % 2)
    }
  }))
  await recorders.pause(60)
  await system.sidecars.get(home)!.process.kill()
  await done
  const read = await recorder.caller(1).read('moved')
  t.not(read.ok && read.value.home, home)
  const order = await orderOf('moved')
  for (const branch of branches) t.same(order.filter((one) => one.startsWith(branch)), Array.from({ length: 10 }, (_, at) => `${branch}/${at + 1} ${branch}-${at + 1}`))
  await system.restartSidecar(home)
})

shared.checkAtEnd(tap, recorder)
