import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as testRunner from './test-runner.js'

const brokenAnswer: testRunner.DispatchResult = errors.fail({ tag: 'answerBroken', verdict: 'mayHaveRun', message: 'cut', detail: 'cut' })

function unreachable (verdict: types.Verdict): testRunner.DispatchResult {
  return errors.fail({ tag: 'peerUnavailable', verdict, message: 'gone', retryAfterMs: 10 })
}

async function settled<T> ({ timers }: testRunner.RunnerWorld, promise: Promise<T>): Promise<T> {
  for (let count = 0; count < 400; count += 1) await timers.advanceAsync(100)
  return await promise
}

// Guards against "told notRun, but it ran": the verdict of the last attempt stood for all of them.
tap.test('a call whose first attempt may have run is not told notRun after a later one that did not', async (t) => {
  const world = await testRunner.createWorld()
  world.answers.push(brokenAnswer, ...Array.from({ length: 20 }, () => unreachable('notRun')))
  const result = await settled(world, world.ask(testRunner.callOf('model', true)))
  t.match(result, { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.ok(world.dispatched.length > 1)
})

tap.test('what an attempt may have used is counted once', async (t) => {
  const world = await testRunner.createWorld()
  world.answers.push(brokenAnswer, ...Array.from({ length: 20 }, () => unreachable('notRun')))
  await settled(world, world.ask(testRunner.callOf('model', true)))
  t.equal(world.journal.program.unrecorded.calls, 1)
  t.equal(world.journal.program.reserved.calls, 0)
})

// Guards against an entry that takes the failure of an upstream's host for one of the home, and asks another host.
for (const [type, idempotent] of [['model', true], ['service', false]] as const) {
  tap.test(`a ${type} call whose upstream can't be reached says nothing of its home`, async (t) => {
    const world = await testRunner.createWorld()
    const leaving: testRunner.DispatchResult = errors.fail({ tag: 'shuttingDown', verdict: 'notRun', message: 'leaving', retryAfterMs: 10 })
    world.answers.push(leaving, ...Array.from({ length: 20 }, () => unreachable('notRun')))
    t.match(await settled(world, world.ask(testRunner.callOf(type, idempotent))), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
  })
}

// Guards against a request that runs after its caller was told that it did not and would not.
tap.test('a call whose caller was told notRun while the log was down is not sent again', async (t) => {
  const world = await testRunner.createWorld()
  world.answers.push(unreachable('notRun'))
  world.journal.outcomes = ['ok']
  world.journal.usual = 'refused'
  const told = world.ask(testRunner.callOf('service', false))
  await world.timers.advanceAsync(10_000)
  t.match(await told, { ok: false, failure: { verdict: 'notRun' } })
  world.journal.usual = 'ok'
  await world.timers.advanceAsync(10_000)
  t.equal(world.dispatched.length, 1)
  t.equal(world.journal.program.running.size, 0)
  t.match(await settled(world, world.ask(testRunner.callOf('service', false))), { ok: true })
  t.equal(world.dispatched.length, 2)
})

tap.test('a call none of whose attempts ran is told so', async (t) => {
  const world = await testRunner.createWorld()
  world.answers.push(...Array.from({ length: 20 }, () => unreachable('notRun')))
  t.match(await settled(world, world.ask(testRunner.callOf('model', true))), { ok: false, failure: { verdict: 'notRun' } })
  t.equal(world.journal.program.unrecorded.calls, 0)
})
