import tap from 'tap'
import * as fc from 'fast-check'
import * as decideAdmission from './decide-admission.js'
import * as meanUtilization from './mean-utilization.js'
import * as usableSlots from './usable-slots.js'

const inTime: decideAdmission.AdmissionRule = { type: 'inTime', minLikelihood: 0.5, peakUse: 0.9, sustainedUse: 0.8, usePerDoubling: 0.05 }

function createInput (overrides: Partial<decideAdmission.AdmissionInput> = {}): decideAdmission.AdmissionInput {
  return {
    now: 0,
    deadline: 60_000,
    weight: 1,
    slots: 8,
    waiting: 0,
    demand: 0,
    meanUtilization: 0,
    runMs: 8_000,
    meanValueDensity: 1 / 8_000,
    expectedMs: 20_000,
    expectedMsDeviation: 6_000,
    slowdown: 1,
    ...overrides
  }
}

tap.test('no rule admits all', async (t) => {
  t.match(decideAdmission.decideAdmission({ type: 'none' }, createInput({ waiting: 9_999, deadline: -1 })), { type: 'admit' })
})

tap.test('the queue bound refuses while the queue is longer than the bound', async (t) => {
  const rule: decideAdmission.AdmissionRule = { type: 'queueBound', waitingPerSlot: 2 }
  t.match(decideAdmission.decideAdmission(rule, createInput({ waiting: 16 })), { type: 'admit' })
  t.match(decideAdmission.decideAdmission(rule, createInput({ waiting: 17 })), { type: 'refuse', reason: { type: 'queue', most: 16 } })
})

tap.test('an idle system admits a program with enough time, and reports when a retry does not help', async (t) => {
  t.match(decideAdmission.decideAdmission(inTime, createInput()), { type: 'admit' })
  t.match(decideAdmission.decideAdmission(inTime, createInput({ deadline: 10_000 })), { type: 'refuse', reason: { type: 'deadlineTooClose' } })
})

tap.test('admitted programs count as load, and a higher value density raises the limit', async (t) => {
  t.match(decideAdmission.decideAdmission(inTime, createInput({ demand: 6.7 })), { type: 'admit' })
  const busy = createInput({ demand: 7 })
  t.match(decideAdmission.decideAdmission(inTime, busy), { type: 'refuse', retryAfterMs: 13_333, reason: { type: 'likelihood', use: 0.925 } })
  t.match(decideAdmission.decideAdmission(inTime, { ...busy, weight: 2 }), { type: 'admit' })
  t.match(decideAdmission.decideAdmission(inTime, createInput({ demand: 6.5, meanValueDensity: 1 / 2_000 })), { type: 'refuse', reason: { mostUse: 0.8 } })
  t.match(decideAdmission.decideAdmission(inTime, createInput({ demand: 80 })), { type: 'refuse', retryAfterMs: 18_209 })
  t.match(decideAdmission.decideAdmission(inTime, createInput({ slowdown: 8 })), { type: 'refuse', reason: { type: 'likelihood' } })
})

tap.test('more load or less time never turns a refusal into an admission', async (t) => {
  const inputs = fc.record({
    demand: fc.double({ min: 0, max: 16, noNaN: true }),
    slowdown: fc.double({ min: 1, max: 10, noNaN: true }),
    deadline: fc.integer({ min: 1_000, max: 120_000 }),
    weight: fc.constantFrom(1, 2, 4)
  }).map(createInput)
  let refusals = 0
  fc.assert(fc.property(inputs, fc.double({ min: 1, max: 3, noNaN: true }), (lighter, factor) => {
    const heavier = { ...lighter, demand: lighter.demand * factor, slowdown: lighter.slowdown * factor, deadline: lighter.deadline / factor }
    const refused = decideAdmission.decideAdmission(inTime, lighter).type === 'refuse'
    if (refused) refusals += 1
    return !refused || decideAdmission.decideAdmission(inTime, heavier).type === 'refuse'
  }), { seed: 1, numRuns: 1_000 })
  t.ok(refusals > 100 && refusals < 900, 'the inputs include admissions and refusals')
})

tap.test('long calls fill the cache memory before the batch', async (t) => {
  t.equal(usableSlots.computeUsableSlots({ slots: 16, cacheTokens: 100_000, meanCallTokens: 1_000 }), 16)
  t.equal(usableSlots.computeUsableSlots({ slots: 16, cacheTokens: 100_000, meanCallTokens: 6_000 }), 10)
})

tap.test('the limit falls after minutes of high utilization', async (t) => {
  t.match(decideAdmission.decideAdmission(inTime, createInput({ demand: 6.6, meanUtilization: 0.5 })), { type: 'admit' })
  t.match(decideAdmission.decideAdmission(inTime, createInput({ demand: 6.6, meanUtilization: 0.8 })), { type: 'refuse', reason: { mostUse: 0.8 } })
  const mean = meanUtilization.createMeanUtilization(0, 100_000)
  for (let now = 1_000; now <= 100_000; now += 1_000) mean.observe(1, now)
  t.ok(Math.abs(mean.mean() - (1 - Math.exp(-1))) < 1e-6)
})
