import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as findOutliers from './find-outliers.js'
import * as upstreamList from './upstream-list.js'

const service = 'orders' as types.ServiceId

/** Upstreams of one service and a seeded random generator, so that loads are reproducible. */
function createFixture (count: number, seed: number) {
  const upstreams = new upstreamList.UpstreamList()
  for (let index = 0; index < count; index += 1) {
    upstreams.put({ id: `u${index}` as types.UpstreamId, service, address: `h${index}:1`, name: 'n', slots: 6, leaving: false })
  }
  let state = seed
  const random = (): number => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
  return { upstreams, random, finder: new findOutliers.OutlierDetector(upstreams) }
}

interface Load {
  readonly upstreamCount: number
  readonly processCount: number
  /** Requests per second of all processes together. */
  readonly requestsPerSecond: number
  readonly seconds: number
  /** Share of the requests to an upstream that get a mark. */
  readonly markedShare: (upstream: number) => number
  readonly mark: findOutliers.Mark
}

/** Time at the start of a simulation without marks, in ms: until then a process knows too little of its own request rate. */
const warmUpMs = 3_000

/** Simulates a load as one process sees it: its own requests and the marks of all processes. */
function simulateLoad (load: Load, seed = 1) {
  const { upstreams, random, finder } = createFixture(load.upstreamCount, seed)
  const ejected: { upstream: number, atMs: number }[] = []
  let lostCount = 0
  const stepMs = 1_000 / load.requestsPerSecond
  for (let now = 0; now < warmUpMs + load.seconds * 1_000; now += stepMs) {
    if (random() < 1 / load.processCount) finder.countRequest(service, now)
    const usable = [...upstreams.getByService(service)].filter((upstream) => upstream.ejectedUntil <= now)
    const upstream = usable[Math.floor(random() * usable.length)]!
    const index = Number(upstream.listed.id.slice(1))
    if (now < warmUpMs || random() >= load.markedShare(index)) continue
    lostCount += 1
    const ejection = finder.applyReport({ upstream: upstream.listed.id, mark: load.mark, count: 1 }, load.processCount, now)
    if (ejection !== undefined) ejected.push({ upstream: index, atMs: now - warmUpMs })
  }
  return { ejected, lostCount, upstreams }
}

const seeds = [1, 2, 3, 4, 5, 6, 7, 8]

tap.test('upstreams that fail nearly half of their requests are ejected within 2.5 seconds', (t) => {
  for (const seed of seeds) {
    const { ejected, lostCount } = simulateLoad({ upstreamCount: 71, processCount: 29, requestsPerSecond: 900, seconds: 5, markedShare: (at) => at < 10 ? 0.45 : 0, mark: 'failed' }, seed)
    t.equal(new Set(ejected.filter(({ atMs }) => atMs < 2_500).map(({ upstream }) => upstream)).size, 10, `seed ${seed}`)
    t.ok(lostCount < 160, `${lostCount} requests lost of about 285 without`)
  }
  t.end()
})

tap.test('upstreams that fail nearly half of their requests are ejected at a fraction of the load', (t) => {
  for (const seed of seeds) {
    const { ejected } = simulateLoad({ upstreamCount: 24, processCount: 29, requestsPerSecond: 60, seconds: 6, markedShare: (at) => at < 3 ? 0.45 : 0, mark: 'failed' }, seed)
    t.ok(new Set(ejected.map(({ upstream }) => upstream)).size >= 2, `seed ${seed}`)
    t.same(ejected.filter(({ upstream }) => upstream >= 3), [])
  }
  t.end()
})

tap.test('occasional lost responses at many upstreams eject at most two', (t) => {
  for (const seed of seeds) {
    const { ejected } = simulateLoad({ upstreamCount: 71, processCount: 29, requestsPerSecond: 900, seconds: 5, markedShare: (at) => at < 42 ? 0.055 : 0, mark: 'failed' }, seed)
    t.ok(ejected.length <= 2, `seed ${seed}: ${ejected.length}`)
  }
  t.end()
})

tap.test('at most one upstream is ejected when all of them are slow', (t) => {
  for (const seed of seeds) {
    const { ejected } = simulateLoad({ upstreamCount: 24, processCount: 29, requestsPerSecond: 450, seconds: 6, markedShare: () => 0.7, mark: 'slow' }, seed)
    t.ok(ejected.length <= 1, `seed ${seed}: ${ejected.length}`)
  }
  t.end()
})

tap.test('at most a third of the upstreams of a service are ejected at a time', (t) => {
  const { upstreams, finder } = createFixture(6, 1)
  for (const id of ['u0', 'u1', 'u2', 'u3']) {
    for (let count = 0; count < 6; count += 1) finder.applyReport({ upstream: id as types.UpstreamId, mark: 'failed', count: 1 }, 1, 0)
  }
  t.equal(upstreams.getByService(service).filter(({ ejectedUntil }) => ejectedUntil > 0).length, 2)
  t.end()
})

tap.test('each further ejection lasts longer, up to a limit', (t) => {
  const { finder } = createFixture(6, 1)
  const id = 'u0' as types.UpstreamId
  const durationsMs: number[] = []
  let now = 0
  for (let round = 0; round < 4; round += 1) {
    const ejection = finder.applyReport({ upstream: id, mark: 'failed', count: 6 }, 1, now)
    durationsMs.push(ejection?.forMs ?? 0)
    now += (ejection?.forMs ?? 0) + 1
  }
  t.same(durationsMs, [1_500, 3_000, 6_000, 6_000])
  t.end()
})
