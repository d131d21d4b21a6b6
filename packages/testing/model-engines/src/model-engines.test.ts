import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as deployments from './deployments.js'
import * as fakeEngine from './fake-engine.js'
import * as prefixCache from './prefix-cache.js'
import * as rules from './rules.js'
import * as scenario from './scenario.js'
import * as workload from './workload.js'

const settings: fakeEngine.EngineSettings = { ...deployments.deployments.dimasalang.engine, slots: 4, cacheTokens: 10_000 }

interface Ended { readonly prefix: string, readonly at: number, readonly cachedTokens: number }

function createEngine (): { engine: fakeEngine.FakeEngine, timers: timerService.ManualTimers, ended: Ended[], failed: string[], start: (prefix: string, prompt: number, generated: number) => boolean } {
  const timers = timerService.createManualTimers(0)
  const engine = new fakeEngine.FakeEngine(settings, timers)
  const ended: Ended[] = []
  const failed: string[] = []
  const start = (prefix: string, promptTokens: number, generatedTokens: number): boolean => engine.tryStart({
    prefix,
    promptTokens,
    generatedTokens,
    importedTokens: 0,
    importMs: 0,
    onProgress: () => {},
    onEnd: ({ cachedTokens }) => ended.push({ prefix, at: timers.now(), cachedTokens }),
    onFail: () => failed.push(prefix)
  })
  return { engine, timers, ended, failed, start }
}

tap.test('a stream slows as the batch grows', async (t) => {
  const alone = createEngine()
  alone.start('a', 0, 500)
  alone.timers.advance(60_000)
  t.equal(alone.ended[0]?.at, 10_000, '500 tokens at 50 a second')
  const full = createEngine()
  for (const prefix of ['a', 'b', 'c', 'd']) t.ok(full.start(prefix, 0, 500))
  t.notOk(full.start('e', 0, 500), 'no stream is free')
  full.timers.advance(60_000)
  t.equal(full.ended[3]?.at, 11_800, 'slower by 0.06 for each of three others')
})

tap.test('a cached prefix is not computed again', async (t) => {
  const { timers, ended, start } = createEngine()
  start('a', 4_000, 10)
  timers.advance(60_000)
  start('a', 4_010, 10)
  timers.advance(60_000)
  t.match(ended, [{ at: 1_200, cachedTokens: 0 }, { at: 60_200, cachedTokens: 4_010 }])
})

tap.test('a dead engine fails its calls and loses its cache', async (t) => {
  const { engine, timers, ended, failed, start } = createEngine()
  start('a', 1_000, 100)
  timers.advance(500)
  engine.die()
  timers.advance(60_000)
  t.same({ failed, ended, cached: engine.cache.tokensOf('a') }, { failed: ['a'], ended: [], cached: 0 })
})

tap.test('the cache evicts by last use, but not what is held or in use', async (t) => {
  const timers = timerService.createManualTimers(0)
  const cache = new prefixCache.PrefixCache(1_000, timers)
  const evicted: string[] = []
  cache.onEvict = (prefix, ageMs) => evicted.push(`${prefix}@${ageMs}`)
  for (const prefix of ['held', 'old', 'new']) {
    cache.open(prefix, 300, 0, false)
    cache.close(prefix)
    timers.advance(10)
  }
  cache.hold('held', 500)
  t.equal(cache.open('running', 400, 0, false), 0)
  t.same(evicted, ['old@20'])
  t.equal(cache.open('more', 800, 0, false), undefined, 'held and running prefixes stay')
  t.equal(cache.open('more', 600, 0, true), 0, 'unless holds are broken')
  t.same(evicted, ['old@20', 'new@10', 'held@30'])
})

tap.test('load 1 is the work that full engines just carry', async (t) => {
  const deployment = deployments.deployments.shagyl
  const scripts = workload.createScripts({ deployment, seed: 5, load: 1, arrivalsMs: 3_600_000, burst: undefined })
  const expected = 3_600 * workload.capacityPerSecond(deployment)
  t.ok(Math.abs(scripts.length / expected - 1) < 0.1, `${scripts.length} programs against ${expected}`)
  t.ok(scripts.every((script) => script.deadline > script.offeredAt + script.aloneMs), 'each could finish in time alone')
})

tap.test('the same seed gives the same run, and the winners beat the baseline', async (t) => {
  const run = (chosen: string): scenario.ScenarioResult => scenario.runScenario({
    deployment: deployments.deployments.dimasalang, load: 0.8, seed: 3, fault: 'none', rules: rules.parseRules(chosen)
  })
  const winners = run('winners')
  t.same(run('winners'), winners)
  const baseline = run('baseline')
  t.equal(winners.programs, baseline.programs, 'paired')
  t.ok(1 - winners.inTimeShare < 0.5 * (1 - baseline.inTimeShare), 'twice fewer late')
  t.ok(winners.latencyMs.p95 < 0.7 * baseline.latencyMs.p95, 'p95 30 in 100 lower')
  t.ok(winners.waste < 0.5 * baseline.waste, 'waste halved')
})

tap.test('calls of a dead engine run elsewhere, within the retry budget', async (t) => {
  const result = scenario.runScenario({
    deployment: deployments.deployments.shagyl, load: 0.6, seed: 2, fault: 'engineDies', rules: rules.winners
  })
  t.ok(result.attemptFactor > 1 && result.attemptFactor < 1.1, `attempts ${result.attemptFactor}`)
  t.ok(result.recoveryMs !== undefined, 'calls become as fast as before')
})

tap.test('rules are read from a text', async (t) => {
  const chosen = rules.parseRules('baseline,order=weightedSlack:weightMs=9:lateLast=yes,noticeSlow=yes')
  t.match(chosen, { order: { weightMs: 9, lateLast: true }, place: { type: 'roundRobin' }, noticeSlow: true })
  t.throws(() => rules.parseRules('winners,order=unheard'), /unknown rule "unheard"/)
})
