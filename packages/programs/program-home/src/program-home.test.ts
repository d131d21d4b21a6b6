import tap from 'tap'
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
