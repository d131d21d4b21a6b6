import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as decideHold from './decide-hold.js'
import * as evictionAge from './eviction-age.js'
import * as learnPauses from './learn-pauses.js'

const kind = 'roster' as types.KindId
const learnt: decideHold.HoldRule = { type: 'learnt', fallbackMs: 7_000, minSamples: 20, maxMs: 600_000 }

function createInput (pauses: learnPauses.PauseStats, overrides: Partial<decideHold.HoldInput> = {}): decideHold.HoldInput {
  return { prefixTokens: 1_000, pauses, leftMs: 100_000, survivalMs: 700, ...overrides }
}

function computeStats (ends: readonly learnPauses.PauseEnd[]): learnPauses.PauseStats {
  const learner = learnPauses.createPauseLearner()
  for (const end of ends) learner.observe(kind, end)
  return learner.getStats(kind)
}

function repeat (times: number, end: learnPauses.PauseEnd): learnPauses.PauseEnd[] {
  return Array.from({ length: times }, () => end)
}

tap.test('the fixed rules hold for the configured time, never past the deadline', async (t) => {
  const stats = computeStats([])
  t.equal(decideHold.decideHold({ type: 'always' }, createInput(stats)).holdMs, 100_000)
  t.equal(decideHold.decideHold({ type: 'never' }, createInput(stats)).holdMs, 0)
  t.equal(decideHold.decideHold({ type: 'fixed', holdMs: 5_000 }, createInput(stats)).holdMs, 5_000)
  t.equal(decideHold.decideHold({ type: 'fixed', holdMs: 5_000 }, createInput(stats, { leftMs: 900 })).holdMs, 900)
  t.match(decideHold.decideHold({ type: 'always' }, createInput(stats, { leftMs: -1 })), { holdMs: 0, reason: { type: 'deadlinePassed' } })
})

tap.test('learned holds cover short pauses and release prefixes of programs that rarely return', async (t) => {
  t.match(decideHold.decideHold(learnt, createInput(computeStats(repeat(5, { type: 'gone', afterMs: 300_000 })))), { holdMs: 7_000, reason: { type: 'fewSamples', samples: 5 } })
  const short = computeStats([...repeat(50, { type: 'returned', afterMs: 900 }), ...repeat(2, { type: 'gone', afterMs: 300_000 })])
  t.equal(decideHold.decideHold(learnt, createInput(short)).holdMs, 1_000)
  const goneEarly = computeStats([...repeat(50, { type: 'returned', afterMs: 900 }), ...repeat(50, { type: 'gone', afterMs: 200 })])
  t.equal(decideHold.decideHold(learnt, createInput(goneEarly)).holdMs, 1_000, 'a hold costs little if its program ends early')
  const gone = computeStats([...repeat(2, { type: 'returned', afterMs: 60_000 }), ...repeat(50, { type: 'gone', afterMs: 300_000 })])
  const released = decideHold.decideHold(learnt, createInput(gone))
  t.match(released, { holdMs: 0, reason: { type: 'leastWaste' } })
  // Two of 52 pauses end with another call, which recomputes 1,000 tokens.
  t.ok(released.reason.type === 'leastWaste' && Math.abs(released.reason.expectedWaste - 1_000 * 2 / 52) < 1e-6)
})

tap.test('older pauses count less', async (t) => {
  const stats = computeStats([...repeat(400, { type: 'gone', afterMs: 300_000 }), ...repeat(800, { type: 'returned', afterMs: 400 })])
  const gone = stats.gone.reduce((a, b) => a + b, 0)
  const returned = stats.returned.reduce((a, b) => a + b, 0)
  t.ok(gone < 0.2, 'the first observations have little weight')
  t.ok(Math.abs(gone + returned - 1) < 1e-9, 'the shares add up to 1')
})

tap.test('nothing is held while unheld prefixes stay cached anyway', async (t) => {
  const short = computeStats(repeat(50, { type: 'returned', afterMs: 900 }))
  t.match(decideHold.decideHold(learnt, createInput(short, { survivalMs: Infinity })), { holdMs: 0, reason: { type: 'cacheLargeEnough' } })
  t.equal(decideHold.decideHold(learnt, createInput(short, { survivalMs: 2_000 })).holdMs, 0)
})

tap.test('the survival time is learned from evictions and reset when they stop', async (t) => {
  const age = evictionAge.createEvictionAgeTracker()
  t.equal(age.getSurvivalMs(0), Infinity)
  for (let now = 0; now < 5_000; now += 100) age.observe(8_000, now)
  t.ok(Math.abs(age.getSurvivalMs(5_000) - 8_000) < 1)
  t.equal(age.getSurvivalMs(70_000), Infinity)
})
