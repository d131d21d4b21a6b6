import * as fc from 'fast-check'
import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as engineBatch from './engine-batch.js'
import * as engineCache from './engine-cache.js'
import * as faultPlan from './faults.js'
import * as lateReports from './late-reports.js'
import type * as prefixTree from './prefix-tree.js'

const speed: engineBatch.BatchSpeed = { tokenMs: 20, batchSlowdown: 0.5, prefillTokensPerSecond: 1000, maxBatch: 2 }

interface Run {
  readonly ended: string[]
  add: (name: string, prefill: number, generate: number, more?: Partial<engineBatch.Sequence>) => engineBatch.Sequence
  readonly batch: engineBatch.Batch
  readonly timers: timerService.ManualTimers
}

function runBatch (): Run {
  const timers = timerService.createManualTimers(0)
  const batch = engineBatch.createBatch(timers, speed)
  const ended: string[] = []
  const add: Run['add'] = (name, prefill, generate, more = {}) => {
    const onEnd = (): void => { ended.push(`${name} at ${timers.monotonic()}`) }
    const sequence = { priority: 0, generate, slowFactor: 1, start: () => prefill, onToken: () => {}, onEnd, ...more }
    batch.add(sequence)
    return sequence
  }
  return { ended, add, batch, timers }
}

tap.test('the token rate falls with the batch', async (t) => {
  const { ended, add, timers } = runBatch()
  add('alone', 0, 10)
  timers.advance(1000)
  add('a', 0, 10)
  add('b', 0, 10)
  timers.advance(1000)
  // The first step of `a` began before `b` came.
  t.same(ended, ['alone at 200', 'a at 1290', 'b at 1310'])
})

tap.test('uncached prompt tokens take time', async (t) => {
  const { ended, add, timers } = runBatch()
  add('long', 4096, 1)
  timers.advance(10_000)
  t.same(ended, ['long at 4116'])
})

tap.test('a full batch makes others wait, by priority, and a removed one frees its place', async (t) => {
  const { ended, add, batch, timers } = runBatch()
  const first = add('first', 0, 1000)
  add('second', 0, 4, { slowFactor: 2 })
  add('late', 0, 1, { priority: 2 })
  add('soon', 0, 1, { priority: 1 })
  timers.advance(speed.tokenMs)
  t.same([batch.running(), batch.waiting()], [2, 2])
  batch.remove(first)
  timers.advance(5000)
  t.same(ended.map((one) => one.split(' ')[0]), ['soon', 'late', 'second'])
  t.same([batch.running(), batch.waiting()], [0, 0])
})

type Step =
  | { readonly type: 'acquire', readonly session: number, readonly turns: number }
  | { readonly type: 'finish' | 'cancel', readonly pick: number }
  | { readonly type: 'hold' | 'release', readonly session: number }

const session = fc.nat(4)
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('acquire' as const), session, turns: fc.integer({ min: 1, max: 6 }) }),
  fc.record({ type: fc.constantFrom('finish' as const, 'cancel' as const), pick: fc.nat(9) }),
  fc.record({ type: fc.constantFrom('hold' as const, 'release' as const), session })
)

/** Runs the steps and checks the memory after each; then ends everything and gives the memory that is left. */
function leftAfter (steps: readonly Step[], capacity: number): number {
  const evicted: prefixTree.CacheChange[] = []
  const cache = engineCache.createEngineCache(capacity, (change) => { if (change.type === 'evicted') evicted.push(change) })
  const leases: engineCache.CacheLease[] = []
  const held = new Set<string>()
  const messagesOf = (name: string, turns: number): { role: string, content: string }[] => Array.from({ length: turns }, (_, i) => ({ role: 'user', content: `${name} ${i}` }))

  function apply (one: Step): void {
    evicted.length = 0
    switch (one.type) {
      case 'acquire': {
        const lease = cache.acquire(`s${one.session}`, messagesOf(`s${one.session}`, one.turns), 10)
        if (lease !== undefined) leases.push(lease)
        if (evicted.some((change) => held.has(change.session))) throw new Error('a held session was evicted')
        return
      }
      case 'finish':
        leases.splice(one.pick, 1)[0]?.finish({ role: 'assistant', content: String(leases.length) }, 10)
        return
      case 'cancel':
        leases.splice(one.pick, 1)[0]?.cancel()
        return
      case 'hold':
        if (cache.hold(`s${one.session}`)) held.add(`s${one.session}`)
        return
      case 'release':
        cache.release(`s${one.session}`)
        held.delete(`s${one.session}`)
    }
  }

  for (const one of steps) {
    apply(one)
    const kept = cache.sessions().reduce((sum, each) => sum + each.tokens, 0)
    if (cache.usedTokens() > capacity) throw new Error('over its capacity')
    if (cache.usedTokens() !== kept + 10 * leases.length) throw new Error('memory is miscounted')
  }
  for (const lease of leases) lease.cancel()
  for (let i = 0; i <= 4; i += 1) cache.release(`s${i}`)
  return cache.usedTokens()
}

tap.test('the cache keeps to its memory, keeps what is held and leaves nothing behind', async (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.integer({ min: 40, max: 200 }), (steps, capacity) => leftAfter(steps, capacity) === 0), { seed: 1, numRuns: 500 })
  t.pass()
})

tap.test('reports lag and events have gaps', async (t) => {
  const timers = timerService.createManualTimers(0)
  const load = lateReports.createLaggingValue(timers, 100, 'first')
  const events = lateReports.createEventFeed<string>(timers, 100, 3)
  load.set('second')
  for (const name of ['a', 'b', 'c', 'd']) events.push(name)
  t.same([load.get(), events.from(0)], ['first', []])
  timers.advance(100)
  t.equal(load.get(), 'second')
  t.same(events.from(1), [{ seq: 1, event: 'b', at: 0 }, { seq: 3, event: 'd', at: 0 }])
})

tap.test('faults strike by scope, by kind and so many times', async (t) => {
  const faults = faultPlan.createFaults<string>()
  faults.set('a', { scope: 's1', times: 2 })
  faults.set('b')
  t.same(['s1', 's2', 's1', 's1'].map((scope) => faults.take(scope)), ['a', 'b', 'a', 'b'])
  t.equal(faults.take('s1', (fault) => fault === 'c'), undefined)
  const cleared = faults.cleared()
  faults.clear()
  await cleared
  t.equal(faults.take('s1'), undefined)
})
