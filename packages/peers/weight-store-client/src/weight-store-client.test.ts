import * as crypto from 'node:crypto'
import tap from 'tap'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as weightStoreClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

interface Fixture {
  readonly store: standIns.WeightStoreStandIn
  readonly timers: timerService.ManualTimers
  readonly client: weightStoreClient.WeightStoreClient
}

const model = 'agent' as types.ModelId
const signal = new AbortController().signal
const weightBytes = 300_000

/** Starts a weight store stand-in and a client on the same manual timers. `storeRate` is the store's rate limit, in requests per second. */
async function createFixture (t: TestScope, settings: Partial<weightStoreClient.WeightStoreSettings> = {}, storeRate: number | null = null): Promise<Fixture> {
  const timers = timerService.createManualTimers()
  const store = await standIns.createWeightStoreStandIn({ port: 0, timers, weightBytes, requestsPerSecond: storeRate })
  const client = weightStoreClient.createWeightStoreClient({ address: store.address, timers, requestsPerSecond: 10, share: 0.5, timeoutMs: 60_000, maxAttempts: 3, random: () => 0, ...settings })
  t.teardown(async () => { await store.close(); await client.close() })
  return { store, timers, client }
}

async function waitUntil (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

/** Whether the client is waiting for its next attempt: then a timer is due sooner than the time limit of an attempt, 60 s. */
function isWaiting (timers: timerService.ManualTimers): boolean {
  return (timers.getNextDueMs() ?? Infinity) < timers.now() + 10_000
}

tap.test('fetches the weights and verifies their digest', async (t) => {
  const { client } = await createFixture(t)
  const hash = crypto.createHash('sha256')
  const result = await client.fetch(model, 'v1', { signal, onChunk: (chunk) => { hash.update(chunk) } })
  t.match(result, { ok: true, value: { bytes: weightBytes, sha256: hash.digest('hex') } })
})

tap.test('truncated or corrupt weights are rejected', async (t) => {
  const { store, client, timers } = await createFixture(t, { share: 1, requestsPerSecond: 1e9 })
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

tap.test('a refused fetch is retried after the retry-after time, doubled after each refusal', async (t) => {
  const { store, client, timers } = await createFixture(t, { share: 1, requestsPerSecond: 1e9 })
  store.faults.set({ type: 'refuse', retryAfterMs: 400 })
  let isEnded = false
  const fetched = client.fetch(model, 'v1', { signal }).finally(() => { isEnded = true })
  const waitsMs = []
  for (const refusals of [1, 2]) {
    await waitUntil(() => store.counters().refused === refusals && isWaiting(timers))
    waitsMs.push(timers.getNextDueMs()! - timers.now())
    timers.advance(waitsMs.at(-1)! - 1)
    await new Promise((resolve) => { setImmediate(resolve) })
    t.equal(store.counters().refused, refusals, 'no retry before the delay has passed')
    timers.advance(1)
  }
  await waitUntil(() => isEnded)
  t.match(await fetched, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun', retryAfterMs: 400 } })
  t.same(waitsMs, [400, 800])
  t.same(store.counters(), { served: 0, refused: 3 })
})

tap.test('requests keep to the client\'s share of the rate', async (t) => {
  const { store, client, timers } = await createFixture(t, { share: 0.5, requestsPerSecond: 10 })
  const fetches = [0, 1, 2].map(() => client.fetch(model, 'v1', { signal }))
  await waitUntil(() => store.counters().served === 1)
  timers.advance(199)
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  t.equal(store.counters().served, 1)
  timers.advance(1)
  await waitUntil(() => store.counters().served === 2)
  timers.advance(200)
  t.ok((await Promise.all(fetches)).every((result) => result.ok))
})

tap.test('a fetch can be cancelled while it waits for its next attempt', async (t) => {
  const { store, client, timers } = await createFixture(t)
  const controller = new AbortController()
  store.faults.set({ type: 'refuse' })
  const fetched = client.fetch(model, 'v1', { signal: controller.signal })
  await waitUntil(() => store.counters().refused === 1 && isWaiting(timers))
  controller.abort()
  t.match(await fetched, { ok: false, failure: { tag: 'cancelled', verdict: 'notRun' } })
  t.equal(store.counters().refused, 1)
})

tap.test('two clients with half of the rate each succeed with all fetches', async (t) => {
  const { store, client, timers } = await createFixture(t, {}, 10)
  const otherClient = weightStoreClient.createWeightStoreClient({ address: store.address, timers, requestsPerSecond: 10, share: 0.5, timeoutMs: 60_000, maxAttempts: 3, random: () => 0 })
  t.teardown(() => otherClient.close())
  const successes: boolean[] = []
  for (const nextClient of [client, otherClient, client, otherClient, client, otherClient]) {
    nextClient.fetch(model, 'v1', { signal }).then((result) => { successes.push(result.ok) }, t.threw)
  }
  await waitUntil(() => {
    timers.advance(5)
    return successes.length === 6
  })
  t.same(successes, Array.from({ length: 6 }, () => true))
})

tap.test('a fetch without a connection has not run', async (t) => {
  const { store, client } = await createFixture(t, { maxAttempts: 1 })
  await store.close()
  t.match(await client.fetch(model, 'v1', { signal }), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})
