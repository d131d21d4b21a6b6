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

interface Bench {
  readonly log: standIns.LogStandIn
  readonly client: logClient.LogClient
  readonly timers: timerService.ManualTimers
}

const timeoutMs = 100

/** The client's time limit is on manual timers. */
async function bench (t: TestScope, settings: Partial<standIns.LogSettings> = {}): Promise<Bench> {
  const timers = timerService.createManualTimers()
  const log = await standIns.createLogStandIn({ ...settings, port: 0 })
  const client = logClient.createLogClient({ address: log.address, timeoutMs, timers })
  t.teardown(async () => { await log.close(); await client.close() })
  return { log, client, timers }
}

function dataOf (log: standIns.LogStandIn, name: string = stream): string[] {
  return log.records(name).map((record) => record.data)
}

tap.test('offsets of a stream are contiguous from 0', async (t) => {
  const { client } = await bench(t)
  for (const [i, data] of ['a', 'b\n"c"', 'ü€😀', ''].entries()) {
    t.match(await client.append(stream, data), { ok: true, value: { offset: i } })
  }
  t.match(await client.append('other' as types.StreamName, 'x'), { ok: true, value: { offset: 0 } })
  t.match(await client.read(stream, start), { ok: true, value: { first: 0, next: 4, records: [{ offset: 0, data: 'a' }, { data: 'b\n"c"' }, { data: 'ü€😀' }, { data: '' }] } })
  t.match(await client.read(stream, 1 as types.LogOffset, { limit: 2 }), { value: { next: 4, records: [{ offset: 1 }, { offset: 2 }] } })
})

tap.test('reading on from the end gives an empty page', async (t) => {
  const { client } = await bench(t)
  await client.append(stream, 'a')
  t.match(await client.read(stream, 1 as types.LogOffset), { ok: true, value: { first: 0, next: 1, records: [] } })
  t.match(await client.read(stream, 9 as types.LogOffset), { ok: true, value: { next: 1, records: [] } })
})

tap.test('an expired start is said', async (t) => {
  const { log, client } = await bench(t, { retentionRecords: 3 })
  for (const data of ['a', 'b', 'c', 'd', 'e']) await client.append(stream, data)
  t.match(await client.read(stream, start), { ok: true, value: { first: 2, next: 5, records: [{ offset: 2, data: 'c' }, {}, {}] } })
  log.control({ type: 'expire', stream, before: 5 })
  t.match(await client.read(stream, start), { ok: true, value: { first: 5, next: 5, records: [] } })
})

tap.test('a refused append is not run and says when to come back', async (t) => {
  const { log, client } = await bench(t)
  log.faults.set({ type: 'refuse', retryAfterMs: 1250 }, { times: 2 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun', retryAfterMs: 1250 } })
  t.match(await client.read(stream, start), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.same(dataOf(log), [])
  t.match(await client.append(stream, 'a'), { ok: true })
})

tap.test('appends over the rate are refused, not run', async (t) => {
  const { log, client } = await bench(t, { appendsPerSecond: 20 })
  const results = await Promise.all(Array.from({ length: 30 }, (_, i) => client.append(stream, `r${i}`)))
  const refused = results.filter((one) => !one.ok)
  t.ok(refused.length > 0)
  const waits = refused.map((one) => errors.getRetryAfterMs(one.failure) ?? 0)
  t.ok(waits.every((ms) => ms > 0 && ms <= 50), 'the next append is due within a twentieth of a second')
  t.ok(refused.every((one) => one.failure.verdict === 'notRun'))
  t.equal(log.counters().appends, results.length - refused.length)
})

tap.test('no connection means not run', async (t) => {
  const { log, client } = await bench(t)
  await log.close()
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.match(await client.read(stream, start), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
})

tap.test('a reset or a stall without effect may have run', async (t) => {
  const { log, client, timers } = await bench(t)
  log.faults.set({ type: 'reset' }, { times: 1 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { verdict: 'mayHaveRun' } })
  log.faults.set({ type: 'stall', on: 'append' }, { times: 1 })
  const stalled = client.append(stream, 'b')
  while (log.faults.active() > 0) await new Promise((resolve) => { setTimeout(resolve, 2) })
  timers.advance(timeoutMs)
  t.match(await stalled, { ok: false, failure: { verdict: 'mayHaveRun', message: /100 ms/ } })
  log.faults.clear()
  t.match(await client.append(stream, 'c'), { ok: true, value: { offset: 0 } })
  t.same(dataOf(log), ['c'])
})

tap.test('a lost answer leaves the record in the log', async (t) => {
  const { log, client } = await bench(t)
  log.faults.set({ type: 'loseAnswer', on: 'append' }, { scope: stream, times: 1 })
  t.match(await client.append('other' as types.StreamName, 'x'), { ok: true })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { tag: 'logUnavailable', verdict: 'mayHaveRun' } })
  t.same(dataOf(log), ['a'])
})

tap.test('a delayed append lands after the retry', async (t) => {
  const { log, client } = await bench(t)
  log.faults.set({ type: 'delayedAppend', afterAppends: 1 }, { times: 1 })
  t.match(await client.append(stream, 'a'), { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.same(dataOf(log), [])
  t.match(await client.append(stream, 'a'), { ok: true, value: { offset: 0 } })
  t.same(dataOf(log), ['a', 'a'])
})

tap.test('a page that does not follow on is refused', async (t) => {
  const record = (offset: number): object => ({ offset, at: 1, data: 'x' })
  const bodies = [{ first: 0, next: 2, records: [record(1)] }, { first: 0, next: 0, records: [record(0)] }, { first: 0, next: 3, records: [record(0), record(2)] }, { first: -1, next: 0, records: [] }, []]
  for (const body of bodies) t.equal(logAnswers.parsePage(Buffer.from(JSON.stringify(body)), start), undefined)
  t.ok(logAnswers.parsePage(Buffer.from(JSON.stringify({ first: 0, next: 2, records: [record(0), record(1)] })), start))
})

const anyFault = fc.constantFrom<standIns.LogFault | null>(null, null, { type: 'refuse' }, { type: 'reset' }, { type: 'loseAnswer' }, { type: 'delayedAppend', afterAppends: 1 })

tap.test('any faults: appended is in the log, not run is not', async (t) => {
  const { log, client } = await bench(t)
  let round = 0
  await fc.assert(fc.asyncProperty(fc.array(anyFault, { minLength: 1, maxLength: 10 }), async (faults) => {
    round += 1
    const name = `s${round}` as types.StreamName
    const results = []
    for (const [i, fault] of faults.entries()) {
      if (fault !== null) log.faults.set(fault, { times: 1 })
      results.push({ data: `d${i}`, result: await client.append(name, `d${i}`) })
    }
    const kept = dataOf(log, name)
    return results.every(({ data, result }) => result.ok ? kept[result.value.offset] === data : result.failure.verdict !== 'notRun' || !kept.includes(data))
  }), { seed: 1, numRuns: 100 })
  t.equal(round, 100)
})
