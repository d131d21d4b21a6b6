import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as limitCrashes from './index.js'

const request = 'r' as types.RequestFingerprint
const limits: limitCrashes.CrashLimits = { maxEnds: 3, memoryMs: 1_000, maxRequests: 10 }

function createReport (upstream: string, overrides: Partial<limitCrashes.CrashReport> = {}): limitCrashes.CrashReport {
  return { request, upstream: upstream as types.UpstreamId, isExclusive: true, sentAgoMs: 10, endedAgoMs: 5, wasAlive: true, ...overrides }
}

tap.test('a request is refused once as many upstreams have ended under it as may', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  t.ok(records.isEmpty(0))
  for (const [at, upstream] of ['a', 'b', 'b', 'c'].entries()) {
    t.equal(records.getRefusalMs(request, at), undefined, upstream)
    records.noteEnd(createReport(upstream), at)
  }
  t.equal(records.getRefusalMs(request, 10), 988, 'the last end, at -2, is forgotten after 1,000 ms')
  t.equal(records.getRefusalMs('other' as types.RequestFingerprint, 10), undefined)
  t.same(records.listNearLimit(10).map(({ ends }) => ends), [['a', 'b', 'c']])
})

tap.test('an end is forgotten after its time, and each further end starts the time again', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  records.noteEnd(createReport('a'), 0)
  records.noteEnd(createReport('b'), 900)
  records.noteEnd(createReport('c'), 1_800)
  t.not(records.getRefusalMs(request, 2_700), undefined)
  t.equal(records.getRefusalMs(request, 2_800), undefined)
  t.ok(records.isEmpty(2_800))
  t.equal(records.get(request, 2_800), undefined)
})

// Guards against a rack crash that gets a popular request refused: it ran at several upstreams at the same time.
tap.test('ends at the same time count once for a request that several clients can make', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  for (const upstream of ['a', 'b', 'c', 'd']) records.noteEnd(createReport(upstream, { isExclusive: false }), 100)
  t.same(records.get(request, 100)?.ends, ['a'])
  records.noteEnd(createReport('e', { isExclusive: false, sentAgoMs: 50, endedAgoMs: 0 }), 200)
  records.noteEnd(createReport('f', { isExclusive: false, sentAgoMs: 50, endedAgoMs: 0 }), 300)
  t.not(records.getRefusalMs(request, 300), undefined, 'ends of sends that follow one another all count')
})

// Guards against a rack crash that gets a popular request refused: it was sent to upstreams on connections that had not broken yet.
tap.test('an upstream that may have ended before the request was sent does not count, unless it ended much later', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  const unproven = { isExclusive: false, sentAgoMs: 2, endedAgoMs: 0, wasAlive: false }
  for (const [upstream, now] of [['a', 100], ['b', 105], ['c', 150]] as const) records.noteEnd(createReport(upstream, unproven), now)
  t.same(records.get(request, 150)?.ends, ['a'])
  records.noteEnd(createReport('d', { ...unproven, wasAlive: true }), 160)
  records.noteEnd(createReport('e', unproven), 300)
  t.same(records.get(request, 300)?.ends, ['a', 'd', 'e'])
})

// Guards against one crash that counts twice: another process reports it late, as the end of a send that seems to come after it.
tap.test('a report that was under way for a while does not tell a further end of a request that several clients can make', async (t) => {
  for (const [delayMs, ends] of [[0, ['a', 'a#2']], [100, ['a']]] as const) {
    const records = new limitCrashes.CrashRecords(limits)
    records.noteEnd(createReport('a', { isExclusive: false, sentAgoMs: 30, endedAgoMs: 0 }), 100)
    records.noteEnd(createReport('a', { isExclusive: false, sentAgoMs: 12, endedAgoMs: 0 }), 125, delayMs)
    t.same(records.get(request, 125)?.ends, ends)
    records.noteEnd(createReport('b', { isExclusive: false, sentAgoMs: 12, endedAgoMs: 0 }), 400, delayMs)
    t.same(records.get(request, 400)?.ends, [...ends, 'b'])
  }
})

// Guards against a rack crash that gets a popular request refused: each process saw it at another upstream.
tap.test('ends that processes have counted apart are not added up for a request that several clients can make', async (t) => {
  const processes = ['a', 'b', 'c'].map((upstream) => {
    const records = new limitCrashes.CrashRecords(limits)
    records.noteEnd(createReport(upstream, { isExclusive: false }), 0)
    return records
  })
  const [first, second, third] = processes as [limitCrashes.CrashRecords, limitCrashes.CrashRecords, limitCrashes.CrashRecords]
  for (const records of [second, third]) first.merge(records.get(request, 0)!, 0)
  t.same(first.get(request, 0)?.ends, ['a'])
  second.noteEnd(createReport('d', { isExclusive: false, sentAgoMs: 50, endedAgoMs: 0 }), 200)
  first.merge(second.get(request, 200)!, 200)
  t.same(first.get(request, 200)?.ends, ['b', 'd'], 'the longer series counts')
  const reserved = limitCrashes.createReservation(request, 'attempt-1')
  third.reserve(reserved, 200)
  first.merge(third.get(request, 200)!, 200)
  t.same(first.get(request, 200)?.ends, ['b', 'd', reserved.end], 'a reserved end is kept')
})

// Guards against an upstream that starts again under its id and ends again, and was counted once.
tap.test('each end of an upstream that starts again counts', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  for (const now of [0, 100, 200]) {
    records.noteEnd(createReport('a'), now)
    records.noteEnd(createReport('a', { sentAgoMs: 20 }), now)
  }
  t.same(records.get(request, 200)?.ends, ['a', 'a#2', 'a#3'], 'two reports of the same end count once')
})

// Guards against a harmless request that is refused since one crash counted several times: it was sent on connections that had broken, but whose ends had not been read yet.
tap.test('an upstream that may not have started again in between has ended once', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  records.noteEnd(createReport('a', { sentAgoMs: 200 }), 0)
  for (const now of [5, 10, 20]) records.noteEnd(createReport('a', { sentAgoMs: 2, endedAgoMs: 0, wasAlive: false }), now)
  t.same(records.get(request, 20)?.ends, ['a'])
  records.noteEnd(createReport('a', { sentAgoMs: 2, endedAgoMs: 0 }), 30)
  t.same(records.get(request, 30)?.ends, ['a', 'a#2'], 'it was alive after it had ended')
  records.noteEnd(createReport('a', { sentAgoMs: 2, endedAgoMs: 0, wasAlive: false }), 200)
  t.same(records.get(request, 200)?.ends, ['a', 'a#2', 'a#3'], 'it ended much later')
})

tap.test('a reserved end counts for all but the process that reserved it, until it is withdrawn', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  const reservation = limitCrashes.createReservation(request, 'attempt-1')
  for (const upstream of ['a', 'b']) records.noteEnd(createReport(upstream), 0)
  t.ok(records.isLastSend(request, 0))
  records.reserve(reservation, 0)
  t.equal(records.getRefusalMs(request, 1), limits.memoryMs - 1)
  t.equal(records.getRefusalMs(request, 1, reservation.end), undefined)
  const count = records.get(request, 1)!
  t.ok(limitCrashes.hasReservedEnds(count))
  t.same(limitCrashes.omitReservedEnds(count).ends, ['a', 'b'])
  records.withdraw(reservation, 2)
  t.equal(records.getRefusalMs(request, 2), undefined)
  t.same(records.get(request, 2)?.ends, ['a', 'b'])
  records.reserve(reservation, 3)
  records.noteEnd(createReport('c'), 3)
  t.not(records.getRefusalMs(request, 3, reservation.end), undefined, 'also for that process once the limit is reached')
  records.withdraw(reservation, 3)
  t.not(records.getRefusalMs(request, 3), undefined)
})

tap.test('a request that was answered is forgotten', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  for (const upstream of ['a', 'b', 'c']) records.noteEnd(createReport(upstream), 0)
  t.ok(records.forget(request, 1))
  t.notOk(records.forget(request, 1))
  t.equal(records.getRefusalMs(request, 1), undefined)
})

tap.test('processes that exchange what they have counted refuse the same requests', async (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(2), fc.constantFrom('a', 'b', 'c', 'd')), { maxLength: 6 }), (ends) => {
    const processes = [0, 1, 2].map(() => new limitCrashes.CrashRecords(limits))
    for (const [at, upstream] of ends) processes[at]!.noteEnd(createReport(upstream), 0)
    const counted = processes.map((records) => records.get(request, 0))
    for (const records of processes) {
      for (const ended of counted) if (ended !== undefined) records.merge(ended, 0)
    }
    const isRefused = new Set(ends.map(([, upstream]) => upstream)).size >= limits.maxEnds
    return processes.every((records) => (records.getRefusalMs(request, 0) !== undefined) === isRefused)
  }), { seed: 1, numRuns: 500 })
})

tap.test('the number of remembered requests is bounded', async (t) => {
  const records = new limitCrashes.CrashRecords(limits)
  for (let at = 0; at < 30; at += 1) {
    for (const upstream of ['a', 'b', 'c']) records.noteEnd(createReport(upstream, { request: `r${at}` as types.RequestFingerprint }), at)
  }
  t.equal(records.listNearLimit(40).length, limits.maxRequests)
})

tap.test('every process selects the same keepers, and few change with the membership', async (t) => {
  const addresses = Array.from({ length: 20 }, (_, at) => `10.0.0.${at}:1`)
  let changed = 0
  let differing = 0
  for (let at = 0; at < 200; at += 1) {
    const fingerprint = `f${at}` as types.RequestFingerprint
    const keepers = limitCrashes.selectKeepers(fingerprint, addresses)
    if (String(limitCrashes.selectKeepers(fingerprint, [...addresses].reverse())) !== String(keepers)) differing += 1
    const remaining = limitCrashes.selectKeepers(fingerprint, addresses.slice(1))
    changed += remaining.filter((address) => !keepers.includes(address)).length
  }
  t.equal(differing, 0)
  t.ok(changed < 60, `${changed} of 600 changed; a twentieth is expected`)
  t.same(limitCrashes.selectKeepers(request, ['a']), ['a'])
})
