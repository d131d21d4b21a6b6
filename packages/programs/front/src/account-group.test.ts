import tap from 'tap'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountGroup from './account-group.js'
import * as accountRecords from './account-records.js'
import type * as meterCall from './meter-call.js'

const account = 'coaches' as types.AccountId
const limit: meterAccount.MeterLimit = { requestsPerSecond: 5, burst: 200, slack: 20 }
const debt = -meterAccount.computeLowestLevel(limit)
const formerOwnerMs = 1_200
const group = 3
const context = { share: 1, reportTtlMs: 1_200, decideBy: Infinity }

/** A store, and the groups that use it one after the other. */
function createSite () {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, 1)
  const decisions: decisionLog.Decision[] = []
  let sequence = 0
  const createCall = (reports: readonly meterCall.MeterReport[], ended?: meterCall.EndedTerm): meterCall.MeterCall => {
    sequence += 1
    return { type: 'meter', group, version: 1, host: 'host-0', incarnation: 'first', sequence, knownTerm: -1, usesShare: false, ended, reports }
  }
  return {
    timers,
    store,
    decisions,
    /** Answers of former owners. */
    former: { type: 'noAnswer', ended: false } as meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer,
    /** `address`: another one for each process; `forMs`: how long it is opened. */
    async open (term: number, faults = standIns.noFaults(), address = `10.0.0.${term}:7000`, forMs = 20) {
      const callPeer = (): Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer> => Promise.resolve(this.former)
      const opened = new accountGroup.AccountGroup({ group, term, host: `host-${term}`, address, formerOwnerMs }, { callPeer, log: store.client(faults), timers, decisions: { record: (decision) => { decisions.push(decision) } }, getLimit: () => limit, getVersion: () => 1 })
      await timers.advanceAsync(forMs)
      return opened
    },
    /** Asks for many requests at once; resolves with the number of granted ones, and `undefined` if the group does not count. */
    async ask (target: accountGroup.AccountGroup, asked: number, ended?: meterCall.EndedTerm): Promise<number | undefined> {
      const report = { account, limit, counter: sequence, total: meterAccount.noRequests, kept: 0, allowanceTerm: target.term, wanted: 0, asked: { first: 0, further: asked }, spent: meterAccount.noRequests }
      const answers = target.count(createCall([report], ended), context)
      await timers.advanceAsync(400)
      return (await answers)?.[0]?.granted.further
    }
  }
}

tap.test('a burst is granted at once, and its floor is stored before', async (t) => {
  const site = createSite()
  const owner = await site.open(1)
  t.equal(await site.ask(owner, 150), 150)
  const page = await readAll(site)
  t.match(page, [{ type: 'owner', owner: { type: 'active', term: 1 } }, { type: 'account', stored: { account } }])
})

// Guards against a burst that is granted again by the next owner.
tap.test('after an owner that ended without a handover, the next one grants what it had left', async (t) => {
  const site = createSite()
  const granted = (await site.ask(await site.open(1), 180)) ?? 0
  const next = (await site.ask(await site.open(2), 500)) ?? 0
  t.ok(granted === 180 && granted + next <= meterAccount.computeCapacity(limit) + debt, `${granted} and ${next}`)
})

tap.test('after a handover the next owner grants exactly what was left', async (t) => {
  const site = createSite()
  const owner = await site.open(1)
  t.equal(await site.ask(owner, 50), 50)
  void owner.handOver(900)
  await site.timers.advanceAsync(20)
  t.equal(await site.ask(owner, 1), undefined, 'a group that is handed over counts no more')
  const next = (await site.ask(await site.open(2), 500)) ?? 0
  t.ok(Math.abs(next - (meterAccount.computeCapacity(limit) - 50 + debt)) <= 3, `${next}`)
})

// Guards against a group that counts as not handed over because its owner was stopped while it opened it.
tap.test('an owner that hands over while it opens a group leaves what its predecessor left', async (t) => {
  for (const openedMs of [0, 1, 2, 3, 4, 5, 6, 7]) {
    const site = createSite()
    const former = await site.open(1)
    t.equal(await site.ask(former, 50), 50)
    void former.handOver(900)
    await site.timers.advanceAsync(20)
    void (await site.open(2, undefined, undefined, openedMs)).handOver(900)
    await site.timers.advanceAsync(20)
    const next = (await site.ask(await site.open(3), 500)) ?? 0
    const name = `handed over after ${openedMs} ms`
    t.match(site.decisions.findLast(({ event }) => event === 'accountGroupOpened'), { term: 3, handedOver: true }, name)
    t.ok(Math.abs(next - (meterAccount.computeCapacity(limit) - 50 + debt)) <= 3, `${name}: ${next}`)
  }
})

tap.test('without the store an owner grants what is above the floor, and then the rate', async (t) => {
  const site = createSite()
  const faults = standIns.noFaults()
  const owner = await site.open(1, faults)
  faults.silent = true
  const first = (await site.ask(owner, 500)) ?? 0
  t.equal(first, Math.floor(meterAccount.computeCapacity(limit) - meterAccount.computeStartLevel(undefined, limit)))
  await site.timers.advanceAsync(2_000)
  const later = (await site.ask(owner, 500)) ?? 0
  t.ok(later >= 9 && later <= 14, `${later}`)
})

tap.test('a former owner is fenced, and neither it nor a later call of another order counts', async (t) => {
  const site = createSite()
  const former = await site.open(1)
  const next = await site.open(2)
  t.equal((await site.ask(former, 200)) ?? 0, 0)
  t.ok(former.isClosed && next.isOpen)
  const call: meterCall.MeterCall = { type: 'meter', group, version: 1, host: 'host-0', incarnation: 'first', sequence: 1_000, knownTerm: -1, usesShare: false, reports: [] }
  t.same(await next.count(call, context), [])
  t.equal(await next.count({ ...call, sequence: 999 }, context), undefined)
})

tap.test('an owner refills what has become free since its predecessor ended, once a host knows that', async (t) => {
  for (const [ended, expected] of [[undefined, 0], [{ term: 1, agoMs: 1_000 }, 5], [{ term: 0, agoMs: 1_000 }, 0]] as const) {
    const site = createSite()
    const capacity = Math.floor(meterAccount.computeCapacity(limit) + debt)
    t.equal(await site.ask(await site.open(1), capacity), capacity)
    const granted = (await site.ask(await site.open(2), 100, ended)) ?? -1
    t.ok(Math.abs(granted - expected) <= 1, `${granted} granted, ${expected} expected`)
  }
})

tap.test('an owner refills at once when its predecessor answers that it counts no more, or has ended', async (t) => {
  const silent = { type: 'noAnswer', ended: false } as const
  const plays = [[silent, 2, 0], [{ type: 'noAnswer', ended: true }, 2, 3], [{ type: 'notOwner', reason: 'superseded' }, 2, 3], [{ type: 'metered', term: 1, hosts: 1, answers: [] }, 2, 0], [silent, 1, 3]] as const
  for (const [former, address, expected] of plays) {
    const site = createSite()
    const capacity = Math.floor(meterAccount.computeCapacity(limit) + debt)
    t.equal(await site.ask(await site.open(1), capacity), capacity)
    site.former = former
    const owner = await site.open(2, undefined, `10.0.0.${address}:7000`)
    await site.ask(owner, 0)
    await site.timers.advanceAsync(200)
    t.equal(await site.ask(owner, 100), expected, JSON.stringify(former))
    t.match((await readAll(site))[0], { owner: { term: 2, isSole: expected > 0 } })
    await site.timers.advanceAsync(formerOwnerMs)
    t.match((await readAll(site))[0], { owner: { term: 2, isSole: true } }, 'a former owner counts no longer than its lease')
  }
})

tap.test('a record that can not be decoded leaves nothing to grant', async (t) => {
  const site = createSite()
  await site.open(1)
  void site.store.client().append({ partition: accountRecords.getGroupPartition(group), epoch: 2, sequence: 0, records: [{ key: `a${account}`, value: Buffer.from('none') }] })
  await site.timers.advanceAsync(20)
  const owner = await site.open(3)
  t.ok(site.decisions.some(({ event }) => event === 'accountRecordUnreadable'))
  t.ok(((await site.ask(owner, 500)) ?? 0) <= debt)
})

async function readAll (site: ReturnType<typeof createSite>): Promise<accountRecords.GroupRecord[]> {
  const page = site.store.client().readNewest(accountRecords.getGroupPartition(group), undefined)
  await site.timers.advanceAsync(20)
  const read = await page
  return read.type === 'page' ? read.records.map(({ key, value }) => accountRecords.decodeRecord(key, value)) : []
}
