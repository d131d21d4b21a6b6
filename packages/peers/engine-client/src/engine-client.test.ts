import * as fc from 'fast-check'
import tap from 'tap'
import type * as errors from '@eelgrasswind/errors'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as assembleAnswer from './assemble-answer.js'
import * as eventStream from './event-stream.js'
import * as engineClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

const upstream = 'engine-1' as types.UpstreamId
const model = 'agent' as types.ModelId
const session = 'p1' as types.ProgramId
const neverAborted = new AbortController().signal
const maxTokens = 24

interface Fixture {
  readonly engine: standIns.EngineStandIn
  readonly client: ReturnType<typeof engineClient.createEngineClient>
  readonly deltas: string[]
  call: (requestId: string, options?: Partial<CallOptions>) => Promise<errors.Result<engineClient.EngineAnswer>>
}

interface CallOptions {
  readonly signal: AbortSignal
  readonly session: types.ProgramId
  readonly messages: readonly types.ChatMessage[]
  readonly priority: number
}

async function createFixture (t: TestScope, settings: Partial<standIns.EngineSettings> = {}): Promise<Fixture> {
  const engine = await standIns.createEngineStandIn({ tokenMs: 0, prefillTokensPerSecond: null, ...settings, port: 0 })
  const client = engineClient.createEngineClient({ upstream, address: engine.address, timeoutMs: 2000 })
  t.teardown(async () => { await engine.close(); await client.close() })
  const deltas: string[] = []
  const call: Fixture['call'] = (requestId, options = {}) => client.complete({
    requestId,
    model,
    messages: options.messages ?? createPrompt(requestId),
    maxTokens,
    options: { temperature: 0 },
    priority: options.priority ?? 0,
    session: options.session ?? session
  }, { signal: options.signal ?? neverAborted, onDelta: (text) => { deltas.push(text) } })
  return { engine, client, deltas, call }
}

function createPrompt (requestId: string): types.ChatMessage[] {
  return [{ role: 'system', content: 'You take rosters.' }, { role: 'user', content: `Roster of ${requestId}, please.` }]
}

/** The text with which the stand-in answers a request. */
function getExpectedText (requestId: string): string {
  return standIns.answerTo({ model, messages: createPrompt(requestId), maxTokens, ignoreEnd: false }).text
}

async function waitUntil (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

tap.test('each answer is complete, streamed, and belongs to its request', async (t) => {
  const { engine, call, deltas } = await createFixture(t)
  const answer = await call('r1')
  t.match(answer, { ok: true, value: { message: { role: 'assistant', content: getExpectedText('r1') }, finishReason: 'stop', tokens: { cached: 0 } } })
  t.equal(deltas.join(''), getExpectedText('r1'))
  const others = await Promise.all(Array.from({ length: 40 }, (_, i) => call(`m${i}`)))
  others.forEach((answer, i) => t.match(answer, { ok: true, value: { message: { content: getExpectedText(`m${i}`) } } }))
  t.equal(engine.executions('r1'), 1)
})

interface FaultCase {
  readonly fault: standIns.EngineFault
  readonly expected: object
  readonly executions: number
}

const cases: readonly FaultCase[] = [
  { fault: { type: 'refuse', retryAfterMs: 700 }, expected: { tag: 'upstreamUnavailable', verdict: 'notRun', retryAfterMs: 700 }, executions: 0 },
  { fault: { type: 'reset' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'lost' }, executions: 0 },
  { fault: { type: 'error' }, expected: { tag: 'upstreamFailed', verdict: 'mayHaveRun', status: 500 }, executions: 0 },
  { fault: { type: 'truncate', afterTokens: 2, clean: false }, expected: { tag: 'answerBroken', verdict: 'ran', detail: 'lost' }, executions: 1 },
  { fault: { type: 'truncate', afterTokens: 2, clean: true }, expected: { tag: 'answerBroken', verdict: 'ran', detail: 'noEnd' }, executions: 1 },
  { fault: { type: 'wrongId' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'foreign' }, executions: 1 },
  { fault: { type: 'crossed' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'foreign' }, executions: 1 },
  { fault: { type: 'crossedBody' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'otherRequest' }, executions: 1 },
  { fault: { type: 'loseAnswer' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'lost' }, executions: 1 },
  { fault: { type: 'neverEnd' }, expected: { tag: 'timeout', verdict: 'ran' }, executions: 1 }
]

for (const { fault, expected, executions } of cases) {
  tap.test(`${JSON.stringify(fault)} maps to its failure and verdict`, async (t) => {
    const { engine, call, deltas } = await createFixture(t)
    await call('before')
    engine.faults.set(fault, { scope: session, times: 1 })
    const controller = new AbortController()
    const faultedCall = call('struck', { signal: controller.signal })
    if (fault.type === 'neverEnd') {
      await waitUntil(() => deltas.join('').endsWith(getExpectedText('struck')))
      controller.abort(new DOMException('too late', 'TimeoutError'))
    }
    t.match(await faultedCall, { ok: false, failure: expected })
    t.equal(engine.executions('struck'), executions)
    t.match(await call('after'), { ok: true, value: { message: { content: getExpectedText('after') } } })
  })
}

tap.test('events after the end marker are ignored', async (t) => {
  const { engine, call, deltas } = await createFixture(t)
  engine.faults.set({ type: 'duplicate' })
  for (const id of ['r1', 'r2', 'r3']) t.match(await call(id), { ok: true, value: { message: { content: getExpectedText(id) } } })
  t.equal(deltas.join(''), ['r1', 'r2', 'r3'].map(getExpectedText).join(''))
})

tap.test('an over-reported token usage is returned as reported', async (t) => {
  const { engine, call } = await createFixture(t)
  const accurate = await call('r1')
  engine.faults.set({ type: 'overReportUsage', factor: 10 }, { times: 1 })
  const overReported = await call('r1', { session: 'p2' as types.ProgramId })
  if (!accurate.ok || !overReported.ok) throw new Error('no answer')
  t.equal(overReported.value.tokens.generated, 10 * accurate.value.tokens.generated)
})

tap.test('a request without a connection has not run', async (t) => {
  const { engine, call, client } = await createFixture(t)
  await engine.close()
  t.match(await call('r1'), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
  t.match(await client.getLoad(), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
})

tap.test('cancelling a generation stops it on the engine and frees its cache', async (t) => {
  const { engine, call, deltas } = await createFixture(t, { tokenMs: 5 })
  const controller = new AbortController()
  const running = call('r1', { signal: controller.signal })
  await waitUntil(() => deltas.length > 0)
  controller.abort()
  t.match(await running, { ok: false, failure: { tag: 'cancelled', verdict: 'ran' } })
  await waitUntil(() => engine.counters().cancelled === 1)
  t.same(engine.sessions(), [])
  t.match(await call('early', { signal: AbortSignal.abort() }), { ok: false, failure: { tag: 'cancelled', verdict: 'notRun' } })
  t.equal(engine.executions('early'), 0)
})

tap.test('a request that the engine rejects as invalid has not run', async (t) => {
  const { engine, call } = await createFixture(t, { cacheCapacity: 30 })
  t.match(await call('r1'), { ok: false, failure: { tag: 'upstreamFailed', verdict: 'notRun', status: 400 } })
  t.equal(engine.executions('r1'), 0)
})

tap.test('the prefix of a session is cached, pinned and released', async (t) => {
  const { call, client, engine } = await createFixture(t, { cacheCapacity: 200 })
  t.match(await client.hold(session), { ok: false, failure: { tag: 'upstreamFailed', status: 404, verdict: 'notRun' } })
  const first = await call('r1')
  if (!first.ok) throw new Error('no answer')
  t.same(await client.hold(session), { ok: true, value: undefined })
  const usedTokens = first.value.tokens.prompt + first.value.tokens.generated
  t.same(await client.listHeldSessions(), { ok: true, value: [{ session, tokens: usedTokens }] })
  for (let i = 0; i < 20; i += 1) await call(`o${i}`, { session: `other-${i}` as types.ProgramId })
  const messages = [...createPrompt('r1'), first.value.message, { role: 'user', content: 'And the sizes?' }]
  const second = await call('r2', { messages })
  t.match(second, { ok: true, value: { tokens: { cached: usedTokens } } })
  t.ok(engine.sessions().length < 20, 'other sessions were evicted')
  await client.release(session)
  t.same(await client.listHeldSessions(), { ok: true, value: [] })
  t.notOk(engine.sessions().some((cached) => cached.session === session))
})

tap.test('load is stale and cache events have gaps, as configured in the stand-in', async (t) => {
  const { call, client } = await createFixture(t, { loadLagMs: 60_000, eventLossEvery: 2 })
  await call('r1')
  t.match(await client.getLoad(), { ok: true, value: { upstream, running: 0, waiting: 0, cacheTokens: 0, cacheCapacity: 200_000 } })
  t.match(await client.readCacheEvents(0), { ok: true, value: [{ seq: 0, type: 'stored', session }, { seq: 2, type: 'stored', session }] })
  t.match(await client.readCacheEvents(1), { ok: true, value: [{ seq: 2 }] })
  const withoutLag = await createFixture(t)
  await withoutLag.call('r1')
  const usedTokens = withoutLag.engine.sessions().reduce((sum, cached) => sum + cached.tokens, 0)
  t.ok(usedTokens > 0)
  t.match(await withoutLag.client.getLoad(), { ok: true, value: { running: 0, cacheTokens: usedTokens } })
})

tap.test('an order with an old fencing token is rejected only by an engine that checks tokens', async (t) => {
  const order = { type: 'loadModel', model, version: 'v2' } as const
  const checking = await createFixture(t)
  t.match(await checking.client.sendOrder(order, 7), { ok: true })
  t.match(await checking.client.sendOrder({ ...order, version: 'v1' }, 6), { ok: false, failure: { tag: 'upstreamFailed', status: 409, verdict: 'notRun' } })
  t.match(await checking.client.sendOrder({ type: 'loadAdapter', model, adapter: 'a1' }, 7), { ok: true })
  t.match(await checking.client.getState(), { ok: true, value: { models: [{ model, version: 'v2' }], adapters: ['a1'], role: 'both', fencing: 7 } })
  const ignoring = await createFixture(t, { checksFencing: false })
  await ignoring.client.sendOrder(order, 7)
  t.match(await ignoring.client.sendOrder({ type: 'setRole', role: 'decode' }, 6), { ok: true })
  t.match(await ignoring.client.getState(), { ok: true, value: { role: 'decode', fencing: 0 } })
})

tap.test('failures of control requests carry verdicts', async (t) => {
  const { engine, client } = await createFixture(t)
  const order = { type: 'setRole', role: 'prefill' } as const
  const failures = [['refuse', 'notRun', 0], ['reset', 'mayHaveRun', 0], ['loseAnswer', 'mayHaveRun', 1]] as const
  for (const [how, verdict, orders] of failures) {
    engine.faults.set({ type: 'control', on: 'orders', how }, { times: 1 })
    t.match(await client.sendOrder(order, 1), { ok: false, failure: { verdict } }, how)
    t.equal(engine.counters().orders.length, orders)
  }
  engine.faults.set({ type: 'control', on: 'state', how: 'hang' }, { times: 1 })
  const timers = timerService.createManualTimers()
  const shortTimeoutClient = engineClient.createEngineClient({ upstream, address: engine.address, timeoutMs: 50, timers })
  const state = shortTimeoutClient.getState()
  await waitUntil(() => engine.faults.active() === 0)
  timers.advance(50)
  t.match(await state, { ok: false, failure: { tag: 'timeout', afterMs: 50, verdict: 'mayHaveRun' } })
  await shortTimeoutClient.close()
})

tap.test('a cached prefix is exported from one engine and imported by another', async (t) => {
  const [from, to] = [await createFixture(t), await createFixture(t)]
  const first = await from.call('r1')
  const prefix = await from.client.exportCache(session)
  if (!prefix.ok || !first.ok) throw new Error('nothing to move')
  t.match(await to.client.importCache(prefix.value), { ok: true })
  t.match(await to.call('r1'), { ok: true, value: { tokens: { cached: first.value.tokens.prompt } } })
})

tap.test('with a batch size of 1, requests run one at a time, lower priority numbers first', async (t) => {
  const { engine, call } = await createFixture(t, { tokenMs: 1, maxBatch: 1 })
  const completionOrder: string[] = []
  const run = async (id: string, priority: number): Promise<void> => { await call(id, { priority }); completionOrder.push(id) }
  const first = run('running', 9)
  await waitUntil(() => engine.executions('running') === 1)
  const queued = [run('late', 5), run('soon', 1)]
  await waitUntil(() => Object.keys(engine.counters().requests).length === 3)
  await Promise.all([first, ...queued])
  t.same(completionOrder, ['running', 'soon', 'late'])
})

const toolStream = [
  { id: 'chatcmpl-r1', choices: [{ delta: { role: 'assistant', content: null, tool_calls: [{ index: 0, id: 'c1', type: 'function', function: { name: 'print_order', arguments: '{"kits"' } }] }, finish_reason: null }] },
  { id: 'chatcmpl-r1', choices: [{ delta: { tool_calls: [{ index: 0, function: { arguments: ':12}' } }], reasoning: 'twelve ' } }] },
  { id: 'chatcmpl-r1', choices: [{ delta: { reasoning: 'kits' }, finish_reason: 'tool_calls' }] },
  { id: 'chatcmpl-r1', choices: [], usage: { prompt_tokens: 5, completion_tokens: 7 } }
]

tap.test('the assembled answer does not depend on chunk boundaries', async (t) => {
  const wireBytes = Buffer.from(': comment\r\n\r\n' + [...toolStream, null].map((one) => `data: ${one === null ? '[DONE]' : JSON.stringify({ ...one, note: 'ü😀' })}\r\n\r\n`).join(''))
  const expected = {
    message: { role: 'assistant', content: null, reasoning: 'twelve kits', tool_calls: [{ id: 'c1', type: 'function', function: { name: 'print_order', arguments: '{"kits":12}' } }] },
    finishReason: 'tool_calls',
    tokens: { prompt: 5, cached: 0, generated: 7 }
  }
  fc.assert(fc.property(fc.array(fc.nat(wireBytes.length), { maxLength: 30 }), (cuts) => {
    const streamParser = eventStream.createEventStreamParser()
    const assembler = assembleAnswer.createAnswerAssembler('r1', () => {})
    const boundaries = [0, ...cuts.sort((a, b) => a - b), wireBytes.length]
    const done = boundaries.slice(1).map((boundary, i) => streamParser.push(wireBytes.subarray(boundaries[i], boundary)).some(assembler.addEvent))
    const result = assembler.getResult()
    return done.includes(true) && result.type === 'whole' && JSON.stringify(sortMembers(result.answer)) === JSON.stringify(sortMembers(expected))
  }), { seed: 1, numRuns: 300 })
  t.pass()
})

/** Sorts the members of all objects in a value by name. */
function sortMembers (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortMembers)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1).map(([name, member]) => [name, sortMembers(member)]))
}
