import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as candidates from './candidate.js'
import * as inFlightHistory from './in-flight-history.js'
import * as placeCall from './place-call.js'
import * as slowUpstreams from './slow-upstreams.js'

function createCandidate (index: number, overrides: Partial<candidates.Candidate> = {}): candidates.Candidate {
  return {
    upstream: `u${index}` as types.UpstreamId,
    host: `h${index}` as types.HostId,
    availabilityZone: 'makati-a' as types.AvailabilityZoneId,
    inFlight: 0,
    reported: { running: 0, waiting: 0, at: 0 },
    inFlightAtReport: 0,
    slots: 4,
    cachedTokens: 0,
    state: 'live',
    slowFactor: 1,
    ...overrides
  }
}

function createInput (candidates: readonly candidates.Candidate[], overrides: Partial<candidates.PlaceInput> = {}): candidates.PlaceInput {
  return {
    home: 'h0' as types.HostId,
    lastUpstream: undefined,
    candidates,
    promptTokens: 2_000,
    expectedTokens: 100,
    turn: 0,
    random: () => 0,
    ...overrides
  }
}

const homeFirst: candidates.PlaceRule = {
  type: 'homeFirst',
  costs: { ...candidates.defaultPlaceCosts, importMsPerToken: 0.02 },
  spillMarginMs: 500
}
const rules: candidates.PlaceRule[] = [{ type: 'roundRobin' }, { type: 'leastLoaded' }, { type: 'twoChoices' }, homeFirst]

tap.test('leaving upstreams are never selected, suspect ones only if no live one exists', async (t) => {
  const states = fc.array(fc.constantFrom('live' as const, 'leaving' as const, 'suspect' as const), { maxLength: 6 })
  fc.assert(fc.property(fc.constantFrom(...rules), states, fc.nat(20), fc.double({ min: 0, max: 0.999, noNaN: true }), (rule, offeredStates, turn, randomValue) => {
    const offered = offeredStates.map((state, index) => createCandidate(index, { state }))
    const placement = placeCall.placeCall(rule, createInput(offered, { turn, random: () => randomValue, lastUpstream: offered[0]?.upstream }))
    const wanted = offeredStates.includes('live') ? 'live' : offeredStates.includes('suspect') ? 'suspect' : 'none'
    if (placement.type === 'none') return wanted === 'none' && placement.retryAfterMs > 0
    return offered.find(({ upstream }) => upstream === placement.upstream)?.state === wanted
  }), { seed: 1, numRuns: 1_000 })
})

tap.test('round robin rotates, leastLoaded uses reports only, twoChoices also counts own calls', async (t) => {
  const busy = createCandidate(0, { inFlight: 9, reported: { running: 0, waiting: 0, at: 0 } })
  const idle = createCandidate(1, { reported: { running: 2, waiting: 0, at: 0 } })
  const both = [busy, idle]
  t.match(placeCall.placeCall({ type: 'roundRobin' }, createInput(both, { turn: 1 })), { upstream: 'u1' })
  t.match(placeCall.placeCall({ type: 'leastLoaded' }, createInput(both)), { upstream: 'u0' })
  t.match(placeCall.placeCall({ type: 'twoChoices' }, createInput(both)), { upstream: 'u1', reason: { type: 'betterOfTwo' } })
})

tap.test('own calls that a report includes are not counted twice', async (t) => {
  const reported = createCandidate(0, { inFlight: 3, inFlightAtReport: 3, reported: { running: 3, waiting: 0, at: 0 } })
  const placement = placeCall.placeCall({ type: 'twoChoices' }, createInput([reported]))
  t.match(placement, { considered: [{ load: 3 }] })
})

tap.test('a program stays on its engine while that is cheaper, otherwise spills and stays on the new one', async (t) => {
  const cached = createCandidate(0, { cachedTokens: 2_000 })
  t.match(placeCall.placeCall(homeFirst, createInput([cached, createCandidate(1)])), { upstream: 'u0', reason: { type: 'home' } })
  const full = { ...cached, reported: { running: 4, waiting: 8, at: 0 } }
  t.match(placeCall.placeCall(homeFirst, createInput([full, createCandidate(1)])), { upstream: 'u1', importFrom: 'u0', reason: { type: 'spill', prefix: 'import' } })
  const noImport: candidates.PlaceRule = { ...homeFirst, costs: candidates.defaultPlaceCosts }
  t.match(placeCall.placeCall(noImport, createInput([full, createCandidate(1)])), { upstream: 'u1', importFrom: undefined, reason: { prefix: 'recompute' } })
  const moved = createInput([createCandidate(0), createCandidate(1, { cachedTokens: 2_000 })], { lastUpstream: 'u1' as types.UpstreamId })
  t.match(placeCall.placeCall(homeFirst, moved), { upstream: 'u1', reason: { type: 'prefix', cachedTokens: 2_000 } })
})

tap.test('an upstream that is slow but reports itself as healthy is detected and avoided', async (t) => {
  const detector = slowUpstreams.createSlowUpstreamDetector()
  const names = ['u0', 'u1', 'u2'] as types.UpstreamId[]
  for (let now = 0; now < 3_000; now += 100) {
    for (const name of names) detector.observe(name, name === 'u0' ? 1 : 10, 250, now)
  }
  const slowFactor = detector.getSlowFactor(names[0]!, 3_000)
  t.ok(slowFactor > 8 && slowFactor < 12, `factor ${slowFactor}`)
  t.equal(detector.getSlowFactor(names[1]!, 3_000), 1)
  const cached = createCandidate(0, { cachedTokens: 2_000, slowFactor })
  t.match(placeCall.placeCall(homeFirst, createInput([cached, createCandidate(1)])), { upstream: 'u1', reason: { type: 'spill' } })
  t.ok(detector.getSlowFactor(names[0]!, 63_000) < 1.3, 'the factor decays, so that the upstream is used again')
})

tap.test('own calls are counted now and at the time of a report', async (t) => {
  const calls = inFlightHistory.createInFlightHistory(1_000)
  const upstream = 'u0' as types.UpstreamId
  for (let now = 0; now < 10_000; now += 10) {
    calls.begin(upstream, now)
    if (now >= 50) calls.end(upstream, now + 5)
  }
  t.equal(calls.getInFlight(upstream), 5)
  t.equal(calls.getInFlightAt(upstream, 9_502), 6)
  t.equal(calls.getInFlightAt(upstream, 9_506), 5)
  t.equal(calls.getInFlight('u1' as types.UpstreamId), 0)
})
