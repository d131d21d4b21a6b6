import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as journalWriter from './journal-writer.js'
import * as testJournal from './test-journal.js'

const program = 'p1' as types.ProgramId
const target: types.CallTarget = { type: 'service', service: 'kit' as types.ServiceId, path: '/print', body: '' }

const intent: journalWriter.UnsequencedRecord = {
  type: 'intent',
  key: 'k1' as types.RequestKey,
  branch: testJournal.mainBranch,
  seq: 1,
  digest: 'd',
  target,
  upstream: 'u' as types.UpstreamId,
  dispatchTo: testJournal.home,
  reserved: { tokens: 0, calls: 1, microCost: 1 },
  at: 3 as types.EpochMs
}

async function advanceUntilSettled<T> (timers: timerService.ManualTimers, promise: Promise<T>): Promise<T> {
  for (let count = 0; count < 100; count += 1) await timers.advanceAsync(100)
  return await promise
}

// Guards against the failure "the intent record had no effect": a first copy that was stored but not acknowledged was
// mistaken for another record.
tap.test('a record that was stored without an acknowledgement is recognized when it is appended again', async (t) => {
  const timers = timerService.createManualTimers()
  const world = new testJournal.TestJournal(program)
  world.outcomes = ['lost', 'late']
  t.match(await advanceUntilSettled(timers, journalWriter.appendUntilResolved({ journal: world.journal, timers }, world.program, intent)), { ok: true, value: 11 })
  t.equal(world.program.state.n, 2)
  t.equal(world.appended.length, 3)
})

tap.test('a record that is stored between two append attempts is recognized', async (t) => {
  const timers = timerService.createManualTimers()
  const world = new testJournal.TestJournal(program)
  world.outcomes = ['late']
  const written = journalWriter.appendUntilResolved({ journal: world.journal, timers }, world.program, intent)
  await timers.advanceAsync(10)
  world.storeRecord(world.appended[0]!)
  t.match(await advanceUntilSettled(timers, written), { ok: true, value: 11 })
  t.equal(world.program.state.n, 2)
})

tap.test('a record that was not stored is appended at the next free chain position', async (t) => {
  const timers = timerService.createManualTimers()
  const world = new testJournal.TestJournal(program)
  world.outcomes = ['refused']
  const written = journalWriter.appendUntilResolved({ journal: world.journal, timers }, world.program, intent)
  await timers.advanceAsync(10)
  t.match(await journalWriter.appendRecord(world.journal, world.program, { type: 'allow', allowance: { tokens: 1, calls: 1, microCost: 1 } }), { ok: true })
  t.match(await advanceUntilSettled(timers, written), { ok: true, value: 12 })
  t.equal(world.program.state.intents.size, 1)
})
