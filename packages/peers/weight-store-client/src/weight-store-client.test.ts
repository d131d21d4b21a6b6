import * as crypto from 'node:crypto'
import tap from 'tap'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as weightStoreClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

interface Bench {
  readonly store: standIns.WeightStoreStandIn
  readonly timers: timerService.ManualTimers
  readonly client: weightStoreClient.WeightStoreClient
}

const model = 'agent' as types.ModelId
const signal = new AbortController().signal
const bytes = 300_000

/** The client runs on manual timers, the store on its own rate of them. */
async function bench (t: TestScope, settings: Partial<weightStoreClient.WeightStoreSettings> = {}, storeRate: number | null = null): Promise<Bench> {
  const timers = timerService.createManualTimers()
  const store = await standIns.createWeightStoreStandIn({ port: 0, timers, weightBytes: bytes, requestsPerSecond: storeRate })
  const client = weightStoreClient.createWeightStoreClient({ address: store.address, timers, requestsPerSecond: 10, share: 0.5, timeoutMs: 60_000, maxAttempts: 3, random: () => 0, ...settings })
  t.teardown(async () => { await store.close(); await client.close() })
  return { store, timers, client }
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

/** Whether the client waits for its next attempt: sooner due than the time limit of an attempt. */
function isWaiting (timers: timerService.ManualTimers): boolean {
  return (timers.getNextDueMs() ?? Infinity) < timers.now() + 10_000
}

tap.test('fetches the bytes and checks their digest', async (t) => {
  const { client } = await bench(t)
  const hash = crypto.createHash('sha256')
  const result = await client.fetch(model, 'v1', { signal, onChunk: (chunk) => { hash.update(chunk) } })
  t.match(result, { ok: true, value: { bytes, sha256: hash.digest('hex') } })
})

tap.test('broken weights are not taken', async (t) => {
  const { store, client, timers } = await bench(t, { share: 1, requestsPerSecond: 1e9 })
  const failures: readonly [standIns.WeightStoreFault, object][] = [
    [{ type: 'truncate' }, { tag: 'answerBroken', verdict: 'ran', detail: 'lost' }],
    [{ type: 'corrupt' }, { tag: 'answerBroken', verdict: 'ran', detail: 'digest' }],
    [{ type: 'reset' }, { tag: 'answerBroken', verdict: 'mayHaveRun' }]
  ]
  for (const [fault, failure] of failures) {
    store.faults.set(fault, { times: 1 })
    timers.advance(1)
    t.match(await client.fetch(model, 'v1', { signal }), { ok: false, failure })
  }
})

tap.test('a refusal is waited out as the store says, longer each time', async (t) => {
  const { store, client, timers } = await bench(t, { share: 1, requestsPerSecond: 1e9 })
  store.faults.set({ type: 'refuse', retryAfterMs: 400 })
  let ended = false
  const fetched = client.fetch(model, 'v1', { signal }).finally(() => { ended = true })
  const waits = []
  for (const refusals of [1, 2]) {
    await until(() => store.counters().refused === refusals && isWaiting(timers))
    waits.push(timers.getNextDueMs()! - timers.now())
    timers.advance(waits.at(-1)! - 1)
    await new Promise((resolve) => { setImmediate(resolve) })
    t.equal(store.counters().refused, refusals, 'not before')
    timers.advance(1)
  }
  await until(() => ended)
  t.match(await fetched, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun', retryAfterMs: 400 } })
  t.same(waits, [400, 800])
  t.same(store.counters(), { served: 0, refused: 3 })
})

tap.test('requests keep to the share of the rate', async (t) => {
  const { store, client, timers } = await bench(t, { share: 0.5, requestsPerSecond: 10 })
  const fetches = [0, 1, 2].map(() => client.fetch(model, 'v1', { signal }))
  await until(() => store.counters().served === 1)
  timers.advance(199)
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  t.equal(store.counters().served, 1)
  timers.advance(1)
  await until(() => store.counters().served === 2)
  timers.advance(200)
  t.ok((await Promise.all(fetches)).every((one) => one.ok))
})

tap.test('a fetch can be given up while it waits', async (t) => {
  const { store, client, timers } = await bench(t)
  const asker = new AbortController()
  store.faults.set({ type: 'refuse' })
  const fetched = client.fetch(model, 'v1', { signal: asker.signal })
  await until(() => store.counters().refused === 1 && isWaiting(timers))
  asker.abort()
  t.match(await fetched, { ok: false, failure: { tag: 'cancelled', verdict: 'notRun' } })
  t.equal(store.counters().refused, 1)
})

tap.test('two shares of the rate all get through', async (t) => {
  const { store, client, timers } = await bench(t, {}, 10)
  const other = weightStoreClient.createWeightStoreClient({ address: store.address, timers, requestsPerSecond: 10, share: 0.5, timeoutMs: 60_000, maxAttempts: 3, random: () => 0 })
  t.teardown(() => other.close())
  const ended: boolean[] = []
  for (const one of [client, other, client, other, client, other]) {
    one.fetch(model, 'v1', { signal }).then((result) => { ended.push(result.ok) }, t.threw)
  }
  await until(() => {
    timers.advance(5)
    return ended.length === 6
  })
  t.same(ended, Array.from({ length: 6 }, () => true))
})

tap.test('no connection means not run', async (t) => {
  const { store, client } = await bench(t, { maxAttempts: 1 })
  await store.close()
  t.match(await client.fetch(model, 'v1', { signal }), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})
