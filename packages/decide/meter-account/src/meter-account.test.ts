import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as accountBelief from './account-belief.js'
import * as accountMeter from './account-meter.js'
import * as meterBook from './meter-book.js'

const limit: accountMeter.MeterLimit = { requestsPerSecond: 100, burst: 100, slack: 20 }
const account = 'coaches' as types.AccountId
const none = accountMeter.noRequests
const further = (count: number): accountMeter.RequestCounts => ({ first: 0, further: count })
const first = (count: number): accountMeter.RequestCounts => ({ first: count, further: 0 })

function report (change: Partial<meterBook.MeterReport> = {}): meterBook.MeterReport {
  return { account, limit, spent: none, asked: none, ...change }
}

/** What an account has after so many requests at once. */
function levelAfter (book: meterBook.MeterRegistry, count: number, now: number, term = 1): number {
  return book.applyReport(report({ spent: further(count) }), term, 1, now).state.level
}

tap.test('a meter fills at its rate up to its burst', (t) => {
  const empty = accountMeter.createMeter(limit, accountMeter.createState(0), 0)
  t.equal(accountMeter.refillMeter(empty, 500).level, 50)
  t.equal(accountMeter.refillMeter(empty, 60_000).level, accountMeter.computeCapacity(limit))
  t.equal(accountMeter.refillMeter(accountMeter.refillMeter(empty, 500), 400).level, 50, 'time that goes back adds nothing')
  t.end()
})

tap.test('a program is charged with all that programs take when it begins', (t) => {
  let meter = accountMeter.createMeter(limit, accountMeter.createState(0), 0)
  for (let program = 0; program < 400; program += 1) {
    meter = accountMeter.spend(meter, first(1))
    meter = accountMeter.refillMeter(accountMeter.spend(meter, further(24)), (program + 1) * 50)
  }
  const before = meter.uncommitted
  const after = accountMeter.spend(meter, first(1))
  t.ok(Math.abs(before - after.uncommitted - 25) < 1, `${before - after.uncommitted} requests`)
  t.equal(accountMeter.spend(after, further(1)).uncommitted, after.uncommitted, 'what follows is paid for')
  t.end()
})

tap.test('programs under way go on where new ones are told to wait', (t) => {
  const book = new meterBook.MeterRegistry()
  const answer = book.applyReport(report({ asked: { first: 100, further: 40 } }), 1, 1, 0)
  t.equal(answer.granted.further, 40)
  t.ok(answer.granted.first > 0 && answer.granted.first < 20, `${answer.granted.first} programs begin`)
  t.ok(answer.waitMs.first > 0)
  const next = book.applyReport(report({ asked: { first: 5, further: 20 } }), 1, 1, 10)
  t.same(next.granted, { first: 0, further: 20 })
  t.end()
})

tap.test('the time to come back is true if nobody else asks', (t) => {
  const book = new meterBook.MeterRegistry()
  const { waitMs } = book.applyReport(report({ spent: further(400) }), 1, 1, 0)
  const early = book.applyReport(report({ asked: further(1) }), 1, 1, waitMs.further - 20)
  t.equal(early.granted.further, 0)
  const back = book.applyReport(report({ asked: further(1) }), 1, 1, waitMs.further + 20)
  t.equal(back.granted.further, 1)
  t.end()
})

tap.test('a lower limit holds at once, an older version of it does not come back', (t) => {
  const book = new meterBook.MeterRegistry()
  const low = { requestsPerSecond: 2, burst: 2, slack: 0 }
  t.equal(levelAfter(book, 0, 0), accountMeter.computeCapacity(limit))
  t.equal(book.applyReport(report({ limit: low }), 1, 2, 0).state.level, 2)
  t.equal(book.applyReport(report({ limit }), 1, 1, 1_000).state.level, 2)
  t.end()
})

tap.test('a new owner goes on from what the hosts were told, the lowest first of all', (t) => {
  const former = new meterBook.MeterRegistry()
  const early = former.applyReport(report(), 1, 1, 0)
  const late = former.applyReport(report({ spent: further(90) }), 1, 1, 0)
  const next = new meterBook.MeterRegistry()
  const heard = (answer: meterBook.MeterAnswer): meterBook.MeterReport => report({ believed: { state: answer.state, term: answer.term } })
  t.equal(next.applyReport(heard(early), 2, 1, 0).state.level, early.state.level)
  t.equal(next.applyReport(heard(late), 2, 1, 0).state.level, late.state.level)
  t.equal(next.applyReport(heard(early), 2, 1, 0).state.level, late.state.level)
  t.end()
})

tap.test('a lower limit, and a host that has not sent anything, charge nobody for what the limit was before', (t) => {
  const book = new meterBook.MeterRegistry()
  levelAfter(book, 60, 0)
  const low = { requestsPerSecond: 10, burst: 10, slack: 0 }
  const quiet = { state: accountMeter.createState(accountMeter.computeCapacity(low)), term: -1 }
  const { state } = book.applyReport(report({ limit: low, believed: quiet }), 1, 2, 0)
  t.equal(state.level, 10)
  t.equal(state.uncommitted, 10)
  t.equal(book.applyReport(report({ believed: { state: accountMeter.createState(2), term: 0 } }), 1, 1, 0).state.level, 10, 'a host with the former limit says nothing of this one')
  t.end()
})

tap.test('an owner that comes back does not go by what it counted before', (t) => {
  const book = new meterBook.MeterRegistry()
  levelAfter(book, 500, 0, 1)
  t.equal(levelAfter(book, 0, 10, 3), accountMeter.unknownLevel(limit))
  t.end()
})

tap.test('quiet accounts are forgotten', (t) => {
  const book = new meterBook.MeterRegistry()
  levelAfter(book, 1, 0)
  book.prune(1_000)
  t.equal(book.size, 1)
  book.prune(100_000)
  t.equal(book.size, 0)
  t.end()
})

tap.test('a host asks before a program begins and near the limit, and for nothing else', (t) => {
  const answer = new meterBook.MeterRegistry().applyReport(report(), 1, 1, 0)
  let belief = accountBelief.createEstimate(limit, answer, none, 0)
  t.notOk(accountBelief.canSendUnasked(belief, 'first'))
  t.ok(accountBelief.canSendUnasked(belief, 'further'))
  for (let sent = 0; sent < 80; sent += 1) belief = accountBelief.countRequest(belief, 'further', 1)
  t.notOk(accountBelief.canSendUnasked(belief, 'further'))
  t.same(belief.unreported, further(80))
  t.equal(accountBelief.computeConfirmedState(belief, 0).level, answer.state.level)
  belief = accountBelief.countRequest(belief, 'further', -1)
  t.same(belief.unreported, further(79))
  t.end()
})

tap.test('the shares of all hosts make up the limit', (t) => {
  const share = accountBelief.divideLimit(limit, 4)
  t.same(share, { requestsPerSecond: 25, burst: 25, slack: 5 })
  t.end()
})
