import * as fc from 'fast-check'
import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as logClient from './index.js'
import * as logAnswers from './log-answers.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

const stream = 'journal-0' as types.StreamName
const start = 0 as types.LogOffset

interface Fixture {
  readonly log: standIns.LogStandIn
  readonly client: logClient.LogClient
  readonly timers: timerService.ManualTimers
}

const timeoutMs = 100

/** Starts a log stand-in and a client whose time limit runs on manual timers. */
async function createFixture (t: TestScope, settings: Partial<standIns.LogSettings> = {}): Promise<Fixture> {
  const timers = timerService.createManualTimers()
  const log = await standIns.createLogStandIn({ ...settings, port: 0 })
  const client = logClient.createLogClient({ address: log.address, timeoutMs, timers })
  t.teardown(async () => { await log.close(); await client.close() })
  return { log, client, timers }
}

function getStoredData (log: standIns.LogStandIn, name: string = stream): string[] {
  return log.records(name).map((record) => record.data)
}

tap.test('offsets of a stream are contiguous from 0', async (t) => {
  const { client } = await createFixture(t)
  for (const [i, data] of ['a', 'b\n"c"', 'ü€😀', ''].entries()) {
    t.match(await client.append(stream, data), { ok: true, value: { offset: i } })
  }
  t.match(await client.append('other' as types.StreamName, 'x'), { ok: true, value: { offset: 0 } })
  t.match(await client.read(stream, start), { ok: true, value: { first: 0, next: 4, records: [{ offset: 0, data: 'a' }, { data: 'b\n"c"' }, { data: 'ü€😀' }, { data: '' }] } })
  t.match(await client.read(stream, 1 as types.LogOffset, { limit: 2 }), { value: { next: 4, records: [{ offset: 1 }, { offset: 2 }] } })
})

tap.test('a read at or after the end returns an empty page', async (t) => {
  const { client } = await createFixture(t)
  await client.append(stream, 'a')
  t.match(await client.read(stream, 1 as types.LogOffset), { ok: true, value: { first: 0, next: 1, records: [] } })
  t.match(await client.read(stream, 9 as types.LogOffset), { ok: true, value: { next: 1, records: [] } })
})

tap.test('a read from an expired offset starts at the oldest stored record', async (t) => {
  const { log, client } = await createFixture(t, { retentionRecords: 3 })
  for (const data of ['a', 'b', 'c', 'd', 'e']) await client.append(stream, data)
  t.match(await client.read(stream, start), { ok: true, value: { first: 2, next: 5, records: [{ offset: 2, data: 'c' }, {}, {}] } })
  log.control({ type: 'expire', stream, before: 5 })
  t.match(await client.read(stream, start), { ok: true, value: { first: 5, next: 5, records: [] } })
})

tap.test('a refused append has not run and carries the retry-after time', async (t) => {
  const { log, client } = await createFixture(t)
  log.faults.set({ type: 'refuse', retryAfterMs: 1250 }, { times: 2 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun', retryAfterMs: 1250 } })
  t.match(await client.read(stream, start), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.same(getStoredData(log), [])
  t.match(await client.append(stream, 'a'), { ok: true })
})

tap.test('appends over the rate limit are refused and have not run', async (t) => {
  const { log, client } = await createFixture(t, { appendsPerSecond: 20 })
  const results = await Promise.all(Array.from({ length: 30 }, (_, i) => client.append(stream, `r${i}`)))
  const refused = results.filter((result) => !result.ok)
  t.ok(refused.length > 0)
  const waitsMs = refused.map((result) => errors.getRetryAfterMs(result.failure) ?? 0)
  t.ok(waitsMs.every((waitMs) => waitMs > 0 && waitMs <= 50), 'the retry-after time is at most the interval between appends, 50 ms')
  t.ok(refused.every((result) => result.failure.verdict === 'notRun'))
  t.equal(log.counters().appends, results.length - refused.length)
})

tap.test('a request without a connection has not run', async (t) => {
  const { log, client } = await createFixture(t)
  await log.close()
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.match(await client.read(stream, start), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
})

tap.test('an append that is reset or stalled may have run, even if it had no effect', async (t) => {
  const { log, client, timers } = await createFixture(t)
  log.faults.set({ type: 'reset' }, { times: 1 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { verdict: 'mayHaveRun' } })
  log.faults.set({ type: 'stall', on: 'append' }, { times: 1 })
  const stalled = client.append(stream, 'b')
  while (log.faults.active() > 0) await new Promise((resolve) => { setTimeout(resolve, 2) })
  timers.advance(timeoutMs)
  t.match(await stalled, { ok: false, failure: { verdict: 'mayHaveRun', message: /100 ms/ } })
  log.faults.clear()
  t.match(await client.append(stream, 'c'), { ok: true, value: { offset: 0 } })
  t.same(getStoredData(log), ['c'])
})

tap.test('an append whose answer is lost is stored', async (t) => {
  const { log, client } = await createFixture(t)
  log.faults.set({ type: 'loseAnswer', on: 'append' }, { scope: stream, times: 1 })
  t.match(await client.append('other' as types.StreamName, 'x'), { ok: true })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'mayHaveRun' } })
  t.same(getStoredData(log), ['a'])
})

tap.test('a delayed append is stored after its retry', async (t) => {
  const { log, client } = await createFixture(t)
  log.faults.set({ type: 'delayedAppend', afterAppends: 1 }, { times: 1 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.same(getStoredData(log), [])
  t.match(await client.append(stream, 'a'), { ok: true, value: { offset: 0 } })
  t.same(getStoredData(log), ['a', 'a'])
})

tap.test('a page whose offsets are not contiguous is rejected', async (t) => {
  const createRecord = (offset: number): object => ({ offset, at: 1, data: 'x' })
  const invalidBodies = [{ first: 0, next: 2, records: [createRecord(1)] }, { first: 0, next: 0, records: [createRecord(0)] }, { first: 0, next: 3, records: [createRecord(0), createRecord(2)] }, { first: -1, next: 0, records: [] }, []]
  for (const body of invalidBodies) t.equal(logAnswers.parsePage(Buffer.from(JSON.stringify(body)), start), undefined)
  t.ok(logAnswers.parsePage(Buffer.from(JSON.stringify({ first: 0, next: 2, records: [createRecord(0), createRecord(1)] })), start))
})

const faultArbitrary = fc.constantFrom<standIns.LogFault | null>(null, null, { type: 'refuse' }, { type: 'reset' }, { type: 'loseAnswer' }, { type: 'delayedAppend', afterAppends: 1 })

tap.test('with random faults, successful appends are stored and appends with verdict notRun are not', async (t) => {
  const { log, client } = await createFixture(t)
  let round = 0
  await fc.assert(fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 10 }), async (faults) => {
    round += 1
    const name = `s${round}` as types.StreamName
    const results = []
    for (const [i, fault] of faults.entries()) {
      if (fault !== null) log.faults.set(fault, { times: 1 })
      results.push({ data: `d${i}`, result: await client.append(name, `d${i}`) })
    }
    const storedData = getStoredData(log, name)
    return results.every(({ data, result }) => result.ok ? storedData[result.value.offset] === data : result.failure.verdict !== 'notRun' || !storedData.includes(data))
  }), { seed: 1, numRuns: 100 })
  t.equal(round, 100)
})
