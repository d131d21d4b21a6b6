import tap from 'tap'
import * as testRunner from './test-runner.js'

// Guards against a refusal by place that rests on a state from before the journal was read.
tap.test('a call that was refused by its place is checked again on what the journal says', async (t) => {
  const world = await testRunner.createWorld()
  world.journal.outcomes = ['ok', 'unread', 'late']
  const first = world.askHome(testRunner.callOf('model', true))
  await world.timers.advanceAsync(10)
  const second = world.askHome(testRunner.callOf('model', true, 2))
  for (let count = 0; count < 100; count += 1) await world.timers.advanceAsync(100)
  t.match(await first, { ok: true })
  t.match(await second, { ok: true })
})

tap.test('a call whose place is still taken is refused', async (t) => {
  const world = await testRunner.createWorld()
  t.match(await world.askHome(testRunner.callOf('model', true, 3)), { ok: false, failure: { tag: 'sequenceGap', expectedSeq: 1 } })
  t.equal(world.dispatched.length, 0)
})
