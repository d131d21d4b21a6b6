import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as retryBudget from './retry-budget.js'
import * as shareHolder from './share-holder.js'
import * as shareOwner from './share-owner.js'

const limit: shareOwner.ClientLimit = { perSecond: 20, burst: 10 }
const leaseMs = 2_000
const holders = ['h0', 'h1', 'h2', 'h3'] as types.HostId[]

interface Step { readonly waitMs: number, readonly holder: number, readonly amount: number, readonly grantLost: boolean }

const steps: fc.Arbitrary<Step[]> = fc.array(fc.record({
  waitMs: fc.integer({ min: 0, max: 300 }),
  holder: fc.nat(holders.length - 1),
  amount: fc.integer({ min: 1, max: 4 }),
  grantLost: fc.boolean()
}), { minLength: 50, maxLength: 300 })

/** Simulates holders that ask the owner when they refuse or renew; returns the taken amounts with their times. */
function simulate (allSteps: readonly Step[], ownerChangesAt: number): Array<{ at: number, amount: number }> {
  let now = 0
  let owner = shareOwner.createShareOwner(limit, now, leaseMs)
  const states = holders.map(() => shareHolder.createShareHolder(now))
  const taken: Array<{ at: number, amount: number }> = []
  allSteps.forEach((step, index) => {
    now += step.waitMs
    if (index === ownerChangesAt) owner = shareOwner.createShareOwner(limit, now, leaseMs)
    const attempt = shareHolder.takeShare(states[step.holder]!, step.amount, now)
    states[step.holder] = attempt.holder
    if (attempt.result.type === 'taken') taken.push({ at: now, amount: step.amount })
    if (attempt.result.type === 'taken' && !shareHolder.shouldRenew(attempt.holder, leaseMs, now)) return
    const granted = shareOwner.grantShare(owner, { holder: holders[step.holder]!, ...shareHolder.computeShareRequest(attempt.holder, now) }, now)
    owner = granted.owner
    if (!step.grantLost) states[step.holder] = shareHolder.applyGrant(attempt.holder, granted.grant, now, now)
  })
  return taken
}

function computeMaxExcess (taken: ReadonlyArray<{ at: number, amount: number }>): number {
  let maxExcess = -Infinity
  for (let from = 0; from < taken.length; from += 1) {
    let sum = 0
    for (let to = from; to < taken.length; to += 1) {
      sum += taken[to]!.amount
      maxExcess = Math.max(maxExcess, sum - limit.perSecond * (taken[to]!.at - taken[from]!.at) / 1000)
    }
  }
  return maxExcess
}

tap.test('all holders together stay within the documented bound', async (t) => {
  fc.assert(fc.property(steps, (all) => computeMaxExcess(simulate(all, -1)) <= 2 * limit.burst + 1e-6), { seed: 1, numRuns: 300 })
})

tap.test('a change of owner adds no more than documented', async (t) => {
  const extra = limit.perSecond * leaseMs / 1000 + limit.burst
  fc.assert(fc.property(steps, (all) => computeMaxExcess(simulate(all, 25)) <= 2 * limit.burst + extra + 1e-6), { seed: 2, numRuns: 300 })
})

tap.test('a steady client gets its full rate through one holder', async (t) => {
  const steady = Array.from({ length: 400 }, () => ({ waitMs: 50, holder: 0, amount: 1, grantLost: false }))
  const taken = simulate(steady, -1).length
  t.ok(taken >= 0.9 * 400, `took ${taken} of 400 at the limit's own rate`)
})

tap.test('a holder without a share refuses with a retry-after time', async (t) => {
  const holder = shareHolder.createShareHolder(0)
  t.match(shareHolder.takeShare(holder, 1, 10).result, { type: 'limited', askOwner: true, retryAfterMs: 250 })
  const granted = shareHolder.applyGrant(holder, { perSecond: 2, burst: 1, credit: 0, leaseMs }, 10, 10)
  t.match(shareHolder.takeShare(granted, 1, 10).result, { type: 'limited', retryAfterMs: 500 })
  t.match(shareHolder.takeShare(granted, 1, 510).result, { type: 'taken' })
  t.match(shareHolder.takeShare(granted, 1, 3_000).result, { type: 'limited' }, 'the lease has expired')
})

tap.test('retries are limited to a fraction of first attempts', async (t) => {
  let budget = retryBudget.createRetryBudget(retryBudget.processRetrySettings)
  let retries = 0
  for (let sent = 0; sent < 1_000; sent += 1) {
    budget = retryBudget.earnRetry(budget)
    while (budget.retriesLeft >= 1) {
      budget = retryBudget.spendRetry(budget)
      retries += 1
    }
  }
  t.ok(retries <= 100, `${retries} retries for 1,000 first attempts`)
  t.ok(retries >= 80, 'earned retries can be spent')
  t.throws(() => retryBudget.spendRetry(budget))
})
