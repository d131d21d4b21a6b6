import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import * as logger from '@eelgrasswind/logger'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as ports from './ports.js'
import * as takeOvers from './take-over.js'
import * as testJournal from './test-journal.js'

const program = 'p1' as types.ProgramId
const newcomer: types.ProcessRef = { host: 'n' as types.HostId, incarnation: 'n1' as types.Incarnation }
const noAnswer: errors.Failure = { tag: 'peerUnavailable', verdict: 'mayHaveRun', message: 'no answer in time', retryAfterMs: 500 }
const refused: errors.Failure = { tag: 'peerUnavailable', verdict: 'notRun', message: 'ECONNREFUSED', retryAfterMs: 500 }

/** Takes the program over from its home; the newcomer is its first choice and has suspected the home. */
async function takeOverFromSuspect (hosts: Partial<ports.HostsPort>) {
  const journal = new testJournal.TestJournal(program)
  const state = await takeOvers.takeOver({
    self: newcomer,
    journal: journal.journal,
    hosts: {
      stateOf: () => 'suspect',
      getIncarnation: () => testJournal.home.incarnation,
      fetchIncarnation: async () => errors.fail(noAnswer),
      isFirstChoice: () => true,
      requestRelease: async () => errors.fail(noAnswer),
      ...hosts
    },
    timers: timerService.createManualTimers(),
    logger: logger.createSilentLogger(),
    onClaimed: () => {}
  }, program)
  return { state, claims: journal.appended.filter(({ type }) => type === 'claim').length }
}

// Guards against a call whose record is void, though it ran whole: its home was claimed from because it was busy.
tap.test('a suspect home that does not release a program in time, but answers, keeps it', async (t) => {
  const { state, claims } = await takeOverFromSuspect({ fetchIncarnation: async () => errors.ok(testJournal.home.incarnation) })
  t.match(state, { ok: false, failure: { tag: 'notHome', verdict: 'notRun', home: testJournal.home.host } })
  t.equal(claims, 0)
})

tap.test('a home that has calls in flight keeps its program', async (t) => {
  const busy: errors.Failure = { tag: 'inProgress', verdict: 'notRun', message: 'a call is in flight', retryAfterMs: 500 }
  const { state, claims } = await takeOverFromSuspect({ requestRelease: async () => errors.fail(busy) })
  t.match(state, { ok: false, failure: { tag: 'notHome', verdict: 'notRun', home: testJournal.home.host } })
  t.equal(claims, 0)
})

// Guards against a call whose record is void, though it ran whole: its home was no longer listed, but had not ended.
tap.test('a home that is not listed any more is asked to release its program', async (t) => {
  const busy: errors.Failure = { tag: 'inProgress', verdict: 'notRun', message: 'a call is in flight', retryAfterMs: 500 }
  const unlisted = { stateOf: () => 'gone' as const, isFirstChoice: () => false }
  const kept = await takeOverFromSuspect({ ...unlisted, requestRelease: async () => errors.fail(busy) })
  t.match(kept.state, { ok: false, failure: { tag: 'notHome', verdict: 'notRun' } })
  t.equal(kept.claims, 0)
  for (const answer of [errors.ok(true), errors.fail(refused), errors.fail(noAnswer)]) {
    const { claims } = await takeOverFromSuspect({ ...unlisted, requestRelease: async () => answer })
    t.ok(claims > 0)
  }
})

tap.test('a program is claimed once its home has released it, is not running, or is suspect and does not answer', async (t) => {
  for (const hosts of [
    { requestRelease: async () => errors.ok(true) },
    { requestRelease: async () => errors.fail(refused) },
    { fetchIncarnation: async () => errors.ok('h2' as types.Incarnation) },
    {}
  ]) {
    const { claims } = await takeOverFromSuspect(hosts)
    t.ok(claims > 0)
  }
})

tap.test('a home that does not answer is claimed from only once it is suspect', async (t) => {
  const { state, claims } = await takeOverFromSuspect({ stateOf: () => 'live' })
  t.match(state, { ok: false, failure: { tag: 'notHome', home: testJournal.home.host } })
  t.equal(claims, 0)
})
