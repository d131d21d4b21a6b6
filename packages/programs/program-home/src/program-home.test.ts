import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as testRunner from './test-runner.js'

// Guards against a sequence failure decided on a state older than the journal.
tap.test('a call refused for its sequence number is checked again after the journal was read', async (t) => {
  const world = await testRunner.createWorld()
  world.journal.outcomes = ['ok', 'unread', 'late']
  const first = world.callHome(testRunner.createCall('model', true))
  await world.timers.advanceAsync(10)
  const second = world.callHome(testRunner.createCall('model', true, 2))
  for (let count = 0; count < 100; count += 1) await world.timers.advanceAsync(100)
  t.match(await first, { ok: true })
  t.match(await second, { ok: true })
})

tap.test('a call whose sequence number is still wrong after the journal was read is refused', async (t) => {
  const world = await testRunner.createWorld()
  t.match(await world.callHome(testRunner.createCall('model', true, 3)), { ok: false, failure: { tag: 'sequenceGap', expectedSeq: 1 } })
  t.equal(world.dispatched.length, 0)
})

// Guards against a call that is refused or run again for as long as another one of its program runs.
tap.test('a home with a call in flight keeps its program and goes on serving it', async (t) => {
  const world = await testRunner.createWorld()
  let endFirst: (result: testRunner.DispatchResult) => void = () => {}
  world.answers.push(new Promise((resolve) => { endFirst = resolve }))
  const first = world.callHome(testRunner.createCall('model', true))
  await world.timers.advanceAsync(10)
  const refused = world.release()
  await world.timers.advanceAsync(2_000)
  t.match(await Promise.race([refused, 'waits']), { ok: false, failure: { tag: 'inProgress', verdict: 'notRun' } })
  const branch = 'side' as types.BranchId
  const second = world.callHome({ ...testRunner.createCall('model', true), key: 'k2' as types.RequestKey, branch })
  await world.timers.advanceAsync(10)
  t.match(await Promise.race([second, 'waits']), { ok: true })
  const released = world.release()
  endFirst(errors.ok(testRunner.answer))
  await world.timers.advanceAsync(10)
  t.match(await first, { ok: true })
  t.match(await released, { ok: true, value: true })
})
