import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as learnRemaining from './learn-remaining.js'
import * as orderQueue from './order-queue.js'
import type * as orderRule from './order-rule.js'

const kind = 'quote' as types.KindId

function createItem (value: string, overrides: Partial<orderRule.WaitingCall> = {}): orderQueue.WaitingItem<string> {
  return {
    program: value as types.ProgramId,
    kind,
    weight: 1,
    deadline: 100_000,
    enqueuedAt: 0,
    attainedTokens: 0,
    expectedRemainingMs: 1_000,
    value,
    ...overrides
  }
}

function drain (queue: orderQueue.OrderQueue<string>, now: number): string[] {
  const values: string[] = []
  for (let taken = queue.pop(now); taken !== undefined; taken = queue.pop(now)) values.push(taken.item.value)
  return values
}

const starvationMs = 60_000

tap.test('each rule orders by its own key', async (t) => {
  const items = [
    createItem('a', { enqueuedAt: 1, deadline: 90_000, attainedTokens: 30 }),
    createItem('b', { enqueuedAt: 2, deadline: 70_000, attainedTokens: 20 }),
    createItem('c', { enqueuedAt: 3, deadline: 80_000, attainedTokens: 10, expectedRemainingMs: 50_000 })
  ]
  const orders: Array<[orderRule.OrderRule, string[]]> = [
    [{ type: 'fifo' }, ['a', 'b', 'c']],
    [{ type: 'earliestDeadline', starvationMs }, ['b', 'c', 'a']],
    [{ type: 'leastAttained', starvationMs }, ['c', 'b', 'a']],
    [{ type: 'weightedSlack', weightMs: 0, lateLast: true, starvationMs }, ['c', 'b', 'a']]
  ]
  for (const [rule, order] of orders) {
    const queue = orderQueue.createOrderQueue<string>(rule)
    for (const waitingItem of items) queue.push(waitingItem)
    t.same(drain(queue, 10), order, rule.type)
  }
})

tap.test('a higher weight counts as less slack, and late programs come last', async (t) => {
  const queue = orderQueue.createOrderQueue<string>({ type: 'weightedSlack', weightMs: 5_000, lateLast: true, starvationMs })
  queue.push(createItem('light', { deadline: 40_000 }))
  queue.push(createItem('heavy', { deadline: 48_000, weight: 4 }))
  queue.push(createItem('late', { deadline: 500 }))
  queue.push(createItem('later', { deadline: 500, weight: 2 }))
  const first = queue.pop(100)
  t.match(first, { item: { value: 'heavy' }, reason: { type: 'leastSlack', slackMs: 46_900, weight: 4 } })
  t.equal(queue.pop(100)?.item.value, 'light')
  t.match(queue.pop(100), { item: { value: 'later' }, reason: { type: 'late' } })
  t.equal(queue.pop(100)?.item.value, 'late')
})

tap.test('without lateLast a late program keeps its position', async (t) => {
  const queue = orderQueue.createOrderQueue<string>({ type: 'weightedSlack', weightMs: 0, lateLast: false, starvationMs })
  queue.push(createItem('in time', { deadline: 40_000 }))
  queue.push(createItem('late', { deadline: 500 }))
  t.match(queue.pop(100), { item: { value: 'late' }, reason: { type: 'leastSlack', slackMs: -600 } })
})

tap.test('calls that waited longer than the starvation bound come before all others', async (t) => {
  const call = fc.record({
    deadline: fc.integer({ min: 0, max: 200_000 }),
    enqueuedAt: fc.integer({ min: 0, max: 100_000 }),
    attainedTokens: fc.integer({ min: 0, max: 9_999 }),
    weight: fc.constantFrom(1, 2, 4)
  })
  const rule = fc.constantFrom<orderRule.OrderRule>(
    { type: 'earliestDeadline', starvationMs },
    { type: 'leastAttained', starvationMs },
    { type: 'weightedSlack', weightMs: 3_000, lateLast: true, starvationMs }
  )
  fc.assert(fc.property(rule, fc.array(call, { minLength: 1, maxLength: 40 }), (chosen, calls) => {
    const queue = orderQueue.createOrderQueue<string>(chosen)
    calls.forEach((overrides, index) => queue.push(createItem(String(index), overrides)))
    const now = 110_000
    const taken = drain(queue, now).map((value) => now - calls[Number(value)]!.enqueuedAt)
    const starving = taken.filter((waited) => waited >= starvationMs)
    const sorted = [...starving].sort((a, b) => b - a)
    return taken.length === calls.length && starving.every((waited, index) => taken[index] === waited && sorted[index] === waited)
  }), { seed: 1, numRuns: 300 })
})

tap.test('every pushed call is returned exactly once, unless removed', async (t) => {
  const actions = fc.oneof(
    fc.record({ type: fc.constant('push' as const), deadline: fc.integer({ min: 0, max: 50_000 }) }),
    fc.record({ type: fc.constant('pop' as const) }),
    fc.record({ type: fc.constant('remove' as const), pick: fc.nat(500) })
  )
  fc.assert(fc.property(fc.array(actions, { maxLength: 400 }), (steps) => {
    const queue = orderQueue.createOrderQueue<string>({ type: 'weightedSlack', weightMs: 0, lateLast: true, starvationMs })
    const waiting = new Set<orderQueue.WaitingItem<string>>()
    let now = 0
    for (const action of steps) {
      now += 100
      if (action.type === 'push') {
        const pushed = createItem(String(now), { deadline: action.deadline, enqueuedAt: now })
        queue.push(pushed)
        waiting.add(pushed)
      } else if (action.type === 'pop') {
        const taken = queue.pop(now)
        if (taken === undefined ? waiting.size > 0 : !waiting.delete(taken.item)) return false
      } else {
        const picked = [...waiting][action.pick % Math.max(1, waiting.size)]
        if (picked !== undefined && !(queue.remove(picked) && !queue.remove(picked) && waiting.delete(picked))) return false
      }
      if (queue.size !== waiting.size) return false
    }
    return drain(queue, now).length === waiting.size
  }), { seed: 2, numRuns: 200 })
})

tap.test('remaining work is learned by kind and number of turns', async (t) => {
  const estimator = learnRemaining.createRemainingEstimator({ prior: { calls: 9, tokens: 9, runMs: 9, ms: 9 }, newestShare: 0.05 })
  t.match(estimator.estimate(kind, 0), { calls: 9, tokens: 9, ms: 9, samples: 0 })
  const turn = { tokens: 100, runMs: 400, ms: 1_000 }
  for (let program = 0; program < 40; program += 1) estimator.observe(kind, program % 2 === 0 ? [turn, turn] : [turn, turn, turn, turn])
  const wholeProgram = estimator.estimate(kind, 0)
  t.ok(Math.abs(wholeProgram.calls - 3) < 0.3, 'mean of two and four calls')
  t.ok(Math.abs(wholeProgram.msDeviation - 1_000) < 300, 'deviation of one call')
  t.equal(estimator.estimate(kind, 3).calls, 1)
  t.equal(estimator.estimate(kind, 3).runMs, 400)
  t.equal(estimator.estimate(kind, 50).calls, 1, 'more turns than observed: the estimate of the longest program')
})
