import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as chooseUpstream from './choose-upstream.js'
import * as upstreamList from './upstream-list.js'

const service = 'engines' as types.ServiceId

function createFixture (running: Readonly<Record<string, number>>, others: Readonly<Record<string, number>> = {}) {
  const list = new upstreamList.UpstreamList()
  for (const [name, count] of Object.entries(running)) {
    list.put({ id: name as types.UpstreamId, service, address: `${name}:1`, name, slots: 24, leaving: false })
    list.get(name as types.UpstreamId)!.running = count
  }
  const choose = (preferred?: string, tried: readonly string[] = [], now = 1_000): string | undefined => chooseUpstream.chooseUpstream({
    candidates: list.getByService(service),
    tried: new Set(tried as types.UpstreamId[]),
    affinity: preferred === undefined ? undefined : { holder: preferred as types.UpstreamId, sharedPrefix: undefined },
    othersRunning: (id) => others[id] ?? 0,
    now,
    random: () => 0.5
  })?.listed.id
  return { list, choose, getUpstream: (name: string) => list.get(name as types.UpstreamId)! }
}

/** A seeded random generator, uniform in [0, 1). */
function createRandom (): () => number {
  let state = 7
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

tap.test('a request without affinity goes to the least loaded upstream', (t) => {
  const { choose } = createFixture({ a: 4, b: 1, c: 3 })
  t.equal(choose(), 'b')
  t.equal(choose(undefined, ['b']), 'c')
  t.equal(choose(undefined, ['a', 'b', 'c']), undefined)
  t.end()
})

tap.test('calls at a low rate reuse upstreams with an open connection, calls at a high rate spread over all', (t) => {
  const names = Array.from({ length: 60 }, (_, index) => `s${index}`)
  const simulateCalls = (intervalMs: number, callMs: number): { readonly connectionsOpened: number, readonly maxRunning: number } => {
    const { list, getUpstream } = createFixture(Object.fromEntries(names.map((name) => [name, 0])))
    const random = createRandom()
    const choose = (now: number): string => chooseUpstream.chooseUpstream({ candidates: list.getByService(service), tried: new Set(), affinity: undefined, othersRunning: () => 0, now, random })!.listed.id
    for (const { listed } of [...list.getByService(service)]) list.put({ ...listed, slots: 6 })
    const calls: { readonly endsAt: number, readonly upstream: string }[] = []
    let connectionsOpened = 0
    let maxRunning = 0
    for (let now = 10_000; now < 40_000; now += intervalMs) {
      while (calls[0] !== undefined && calls[0].endsAt <= now) {
        const { upstream, endsAt } = calls.shift()!
        getUpstream(upstream).running -= 1
        upstreamList.noteActivity(getUpstream(upstream), endsAt)
      }
      const upstream = choose(now)
      if (now - getUpstream(upstream).lastActivityAt > 3_500) connectionsOpened += 1
      getUpstream(upstream).running += 1
      maxRunning = Math.max(maxRunning, getUpstream(upstream).running)
      calls.push({ endsAt: now + callMs, upstream })
    }
    return { connectionsOpened, maxRunning }
  }
  const lowRate = simulateCalls(50, 80)
  t.ok(lowRate.connectionsOpened <= 60, `${lowRate.connectionsOpened} of 600 calls opened a connection`)
  const highRate = simulateCalls(1, 80)
  t.ok(highRate.maxRunning <= 6, `${highRate.maxRunning} at once`)
  t.end()
})

tap.test('a program stays on the engine that has its prompt cached until that engine is much busier than the others', (t) => {
  const { choose, getUpstream } = createFixture({ a: 12, b: 4, c: 4, d: 4 })
  t.equal(choose('a'), 'a')
  getUpstream('a').running = 24
  t.not(choose('a'), 'a')
  t.end()
})

/** Sends the first turns of programs whose prompts begin with one of several shared prefixes, some more popular than others. */
function simulateFirstTurns (prefixCount: number, engineCount: number, turnCount: number) {
  const { list } = createFixture(Object.fromEntries(Array.from({ length: engineCount }, (_, index) => [`e${index}`, 0])))
  for (const { listed } of [...list.getByService(service)]) list.put({ ...listed, slots: 8 })
  const random = createRandom()
  const running: upstreamList.Upstream[] = []
  const upstreamsByPrefix = new Map<string, Set<string>>()
  let maxRunning = 0
  for (let turn = 0; turn < turnCount; turn += 1) {
    const prefix = `p${Math.floor(prefixCount * random() ** 2)}`
    const chosen = chooseUpstream.chooseUpstream({ candidates: list.getByService(service), tried: new Set(), affinity: { holder: undefined, sharedPrefix: prefix }, othersRunning: () => 0, now: 0, random })!
    chosen.running += 1
    running.push(chosen)
    if (running.length > engineCount * 4) running.shift()!.running -= 1
    if (turn > turnCount / 2) maxRunning = Math.max(maxRunning, chosen.running)
    upstreamsByPrefix.set(prefix, (upstreamsByPrefix.get(prefix) ?? new Set()).add(chosen.listed.id))
  }
  const meanUpstreams = [...upstreamsByPrefix.values()].reduce((sum, set) => sum + set.size, 0) / upstreamsByPrefix.size
  return { maxRunning, meanUpstreams }
}

tap.test('first turns: load is spread evenly over the engines, and each shared prefix is cached on few of them', (t) => {
  const { maxRunning, meanUpstreams } = simulateFirstTurns(8, 24, 4_000)
  t.ok(maxRunning <= 6, `at most ${maxRunning} of 8 slots at a mean of 4`)
  t.ok(meanUpstreams < 16, `a prefix is cached on ${meanUpstreams} of 24 engines`)
  t.end()
})

tap.test('requests of other processes count like those of this process', (t) => {
  t.equal(createFixture({ a: 1, b: 2 }, { a: 3 }).choose(), 'b')
  t.equal(createFixture({ a: 0, b: 0 }, { a: 10 }).choose('a'), 'b', 'the engine with the cached prompt is busy with requests of other processes')
  t.equal(createFixture({ a: 0, b: 0 }, { a: 9 }).choose('a'), 'a')
  t.end()
})

tap.test('selection samples a few of many upstreams, so that the least loaded one does not get all requests until the next report', (t) => {
  const counts = Object.fromEntries(Array.from({ length: 24 }, (_, index) => [`e${index}`, index === 7 ? 0 : 3]))
  const { choose } = createFixture(counts)
  t.not(choose(), 'e7')
  t.end()
})

tap.test('full upstreams are preferred to ejected ones', (t) => {
  const { choose, getUpstream } = createFixture({ a: 0, b: 0 })
  getUpstream('a').ejectedUntil = 2_000
  t.equal(choose('a'), 'b')
  getUpstream('b').fullUntil = 2_000
  t.equal(choose('a'), 'b')
  t.equal(choose('a', ['b']), 'a', 'the only candidate')
  t.end()
})

tap.test('leaving upstreams are never selected, failing ones only if there is no other', (t) => {
  const { list, choose, getUpstream } = createFixture({ a: 0, b: 0 })
  list.put({ ...getUpstream('a').listed, leaving: true })
  t.equal(choose('a'), 'b')
  upstreamList.noteUnresponsive(getUpstream('b'), 1_000)
  t.equal(choose(), 'b', 'the only candidate')
  list.put({ ...getUpstream('a').listed, leaving: false })
  t.equal(choose('b'), 'a')
  t.equal(choose('b', [], 10_000), 'b', 'after the backoff')
  t.end()
})

tap.test('the backoff grows with each failure and ends with a success', (t) => {
  const { getUpstream } = createFixture({ a: 0 })
  const backoffsMs = [1, 2, 3, 4, 5, 6].map(() => {
    upstreamList.noteFailure(getUpstream('a'), 0)
    return getUpstream('a').avoidUntil
  })
  t.same(backoffsMs, [150, 300, 600, 1_200, 2_400, 2_400])
  upstreamList.noteSuccess(getUpstream('a'))
  t.equal(getUpstream('a').avoidUntil, 0)
  t.end()
})

tap.test('an upstream that changes its service is no longer listed under the former one', (t) => {
  const { list, choose, getUpstream } = createFixture({ a: 0, b: 5 })
  list.put({ ...getUpstream('a').listed, service: 'other' as types.ServiceId })
  t.equal(choose(), 'b')
  list.remove('b' as types.UpstreamId)
  t.equal(choose(), undefined)
  t.equal(list.size, 1)
  t.end()
})
