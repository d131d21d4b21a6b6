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
const never = new AbortController().signal
const maxTokens = 24

interface Bench {
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

async function bench (t: TestScope, settings: Partial<standIns.EngineSettings> = {}): Promise<Bench> {
  const engine = await standIns.createEngineStandIn({ tokenMs: 0, prefillTokensPerSecond: null, ...settings, port: 0 })
  const client = engineClient.createEngineClient({ upstream, address: engine.address, timeoutMs: 2000 })
  t.teardown(async () => { await engine.close(); await client.close() })
  const deltas: string[] = []
  const call: Bench['call'] = (requestId, options = {}) => client.complete({
    requestId,
    model,
    messages: options.messages ?? promptOf(requestId),
    maxTokens,
    options: { temperature: 0 },
    priority: options.priority ?? 0,
    session: options.session ?? session
  }, { signal: options.signal ?? never, onDelta: (text) => { deltas.push(text) } })
  return { engine, client, deltas, call }
}

function promptOf (requestId: string): types.ChatMessage[] {
  return [{ role: 'system', content: 'You take rosters.' }, { role: 'user', content: `Roster of ${requestId}, please.` }]
}

/** The text that the stand-in must answer to a request. */
function expectedText (requestId: string): string {
  return standIns.answerTo({ model, messages: promptOf(requestId), maxTokens, ignoreEnd: false }).text
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

tap.test('an answer is whole, streamed and its own', async (t) => {
  const { engine, call, deltas } = await bench(t)
  const one = await call('r1')
  t.match(one, { ok: true, value: { message: { role: 'assistant', content: expectedText('r1') }, finishReason: 'stop', tokens: { cached: 0 } } })
  t.equal(deltas.join(''), expectedText('r1'))
  const many = await Promise.all(Array.from({ length: 40 }, (_, i) => call(`m${i}`)))
  many.forEach((answer, i) => t.match(answer, { ok: true, value: { message: { content: expectedText(`m${i}`) } } }))
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
  tap.test(`${JSON.stringify(fault)} gives its verdict`, async (t) => {
    const { engine, call, deltas } = await bench(t)
    await call('before')
    engine.faults.set(fault, { scope: session, times: 1 })
    const asker = new AbortController()
    const struck = call('struck', { signal: asker.signal })
    if (fault.type === 'neverEnd') {
      await until(() => deltas.join('').endsWith(expectedText('struck')))
      asker.abort(new DOMException('too late', 'TimeoutError'))
    }
    t.match(await struck, { ok: false, failure: expected })
    t.equal(engine.executions('struck'), executions)
    t.match(await call('after'), { ok: true, value: { message: { content: expectedText('after') } } })
  })
}

tap.test('events behind the closing marker are dropped', async (t) => {
  const { engine, call, deltas } = await bench(t)
  engine.faults.set({ type: 'duplicate' })
  for (const id of ['r1', 'r2', 'r3']) t.match(await call(id), { ok: true, value: { message: { content: expectedText(id) } } })
  t.equal(deltas.join(''), ['r1', 'r2', 'r3'].map(expectedText).join(''))
})

tap.test('an over-reported usage is passed on as reported', async (t) => {
  const { engine, call } = await bench(t)
  const honest = await call('r1')
  engine.faults.set({ type: 'overReportUsage', factor: 10 }, { times: 1 })
  const inflated = await call('r1', { session: 'p2' as types.ProgramId })
  if (!honest.ok || !inflated.ok) throw new Error('no answer')
  t.equal(inflated.value.tokens.generated, 10 * honest.value.tokens.generated)
})

tap.test('no connection means not run', async (t) => {
  const { engine, call, client } = await bench(t)
  await engine.close()
  t.match(await call('r1'), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
  t.match(await client.getLoad(), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
})

tap.test('a cancelled generation stops on the engine and frees its memory', async (t) => {
  const { engine, call, deltas } = await bench(t, { tokenMs: 5 })
  const asker = new AbortController()
  const running = call('r1', { signal: asker.signal })
  await until(() => deltas.length > 0)
  asker.abort()
  t.match(await running, { ok: false, failure: { tag: 'cancelled', verdict: 'ran' } })
  await until(() => engine.counters().cancelled === 1)
  t.same(engine.sessions(), [])
  t.match(await call('early', { signal: AbortSignal.abort() }), { ok: false, failure: { tag: 'cancelled', verdict: 'notRun' } })
  t.equal(engine.executions('early'), 0)
})

tap.test('a request that the engine finds wrong has not run', async (t) => {
  const { engine, call } = await bench(t, { cacheCapacity: 30 })
  t.match(await call('r1'), { ok: false, failure: { tag: 'upstreamFailed', verdict: 'notRun', status: 400 } })
  t.equal(engine.executions('r1'), 0)
})

tap.test('a session\'s prefix is cached, held and released', async (t) => {
  const { call, client, engine } = await bench(t, { cacheCapacity: 200 })
  t.match(await client.hold(session), { ok: false, failure: { tag: 'upstreamFailed', status: 404, verdict: 'notRun' } })
  const first = await call('r1')
  if (!first.ok) throw new Error('no answer')
  t.same(await client.hold(session), { ok: true, value: undefined })
  const used = first.value.tokens.prompt + first.value.tokens.generated
  t.same(await client.listHeldSessions(), { ok: true, value: [{ session, tokens: used }] })
  for (let i = 0; i < 20; i += 1) await call(`o${i}`, { session: `other-${i}` as types.ProgramId })
  const messages = [...promptOf('r1'), first.value.message, { role: 'user', content: 'And the sizes?' }]
  const second = await call('r2', { messages })
  t.match(second, { ok: true, value: { tokens: { cached: used } } })
  t.ok(engine.sessions().length < 20, 'others were evicted')
  await client.release(session)
  t.same(await client.listHeldSessions(), { ok: true, value: [] })
  t.notOk(engine.sessions().some((one) => one.session === session))
})

tap.test('load and cache events come late and with gaps', async (t) => {
  const { call, client } = await bench(t, { loadLagMs: 60_000, eventLossEvery: 2 })
  await call('r1')
  t.match(await client.getLoad(), { ok: true, value: { upstream, running: 0, waiting: 0, cacheTokens: 0, cacheCapacity: 200_000 } })
  t.match(await client.readCacheEvents(0), { ok: true, value: [{ seq: 0, type: 'stored', session }, { seq: 2, type: 'stored', session }] })
  t.match(await client.readCacheEvents(1), { ok: true, value: [{ seq: 2 }] })
  const prompt = await bench(t)
  await prompt.call('r1')
  const used = prompt.engine.sessions().reduce((sum, one) => sum + one.tokens, 0)
  t.ok(used > 0)
  t.match(await prompt.client.getLoad(), { ok: true, value: { running: 0, cacheTokens: used } })
})

tap.test('an order under an old fencing number is refused, or not, by the engine', async (t) => {
  const order = { type: 'loadModel', model, version: 'v2' } as const
  const checking = await bench(t)
  t.match(await checking.client.sendOrder(order, 7), { ok: true })
  t.match(await checking.client.sendOrder({ ...order, version: 'v1' }, 6), { ok: false, failure: { tag: 'upstreamFailed', status: 409, verdict: 'notRun' } })
  t.match(await checking.client.sendOrder({ type: 'loadAdapter', model, adapter: 'a1' }, 7), { ok: true })
  t.match(await checking.client.getState(), { ok: true, value: { models: [{ model, version: 'v2' }], adapters: ['a1'], role: 'both', fencing: 7 } })
  const ignoring = await bench(t, { checksFencing: false })
  await ignoring.client.sendOrder(order, 7)
  t.match(await ignoring.client.sendOrder({ type: 'setRole', role: 'decode' }, 6), { ok: true })
  t.match(await ignoring.client.getState(), { ok: true, value: { role: 'decode', fencing: 0 } })
})

tap.test('short requests give verdicts too', async (t) => {
  const { engine, client } = await bench(t)
  const order = { type: 'setRole', role: 'prefill' } as const
  const failures = [['refuse', 'notRun', 0], ['reset', 'mayHaveRun', 0], ['loseAnswer', 'mayHaveRun', 1]] as const
  for (const [how, verdict, orders] of failures) {
    engine.faults.set({ type: 'control', on: 'orders', how }, { times: 1 })
    t.match(await client.sendOrder(order, 1), { ok: false, failure: { verdict } }, how)
    t.equal(engine.counters().orders.length, orders)
  }
  engine.faults.set({ type: 'control', on: 'state', how: 'hang' }, { times: 1 })
  const timers = timerService.createManualTimers()
  const hurried = engineClient.createEngineClient({ upstream, address: engine.address, timeoutMs: 50, timers })
  const state = hurried.getState()
  await until(() => engine.faults.active() === 0)
  timers.advance(50)
  t.match(await state, { ok: false, failure: { tag: 'timeout', afterMs: 50, verdict: 'mayHaveRun' } })
  await hurried.close()
})

tap.test('a prefix moves from one engine to another', async (t) => {
  const [from, to] = [await bench(t), await bench(t)]
  const first = await from.call('r1')
  const prefix = await from.client.exportCache(session)
  if (!prefix.ok || !first.ok) throw new Error('nothing to move')
  t.match(await to.client.importCache(prefix.value), { ok: true })
  t.match(await to.call('r1'), { ok: true, value: { tokens: { cached: first.value.tokens.prompt } } })
})

tap.test('the batch slows its members and lower priority numbers run first', async (t) => {
  const { engine, call } = await bench(t, { tokenMs: 1, maxBatch: 1 })
  const order: string[] = []
  const run = async (id: string, priority: number): Promise<void> => { await call(id, { priority }); order.push(id) }
  const first = run('running', 9)
  await until(() => engine.executions('running') === 1)
  const rest = [run('late', 5), run('soon', 1)]
  await until(() => Object.keys(engine.counters().requests).length === 3)
  await Promise.all([first, ...rest])
  t.same(order, ['running', 'soon', 'late'])
})

const toolStream = [
  { id: 'chatcmpl-r1', choices: [{ delta: { role: 'assistant', content: null, tool_calls: [{ index: 0, id: 'c1', type: 'function', function: { name: 'print_order', arguments: '{"kits"' } }] }, finish_reason: null }] },
  { id: 'chatcmpl-r1', choices: [{ delta: { tool_calls: [{ index: 0, function: { arguments: ':12}' } }], reasoning: 'twelve ' } }] },
  { id: 'chatcmpl-r1', choices: [{ delta: { reasoning: 'kits' }, finish_reason: 'tool_calls' }] },
  { id: 'chatcmpl-r1', choices: [], usage: { prompt_tokens: 5, completion_tokens: 7 } }
]

tap.test('an answer is the same however its bytes are cut', async (t) => {
  const wire = Buffer.from(': comment\r\n\r\n' + [...toolStream, null].map((one) => `data: ${one === null ? '[DONE]' : JSON.stringify({ ...one, note: 'ü😀' })}\r\n\r\n`).join(''))
  const expected = {
    message: { role: 'assistant', content: null, reasoning: 'twelve kits', tool_calls: [{ id: 'c1', type: 'function', function: { name: 'print_order', arguments: '{"kits":12}' } }] },
    finishReason: 'tool_calls',
    tokens: { prompt: 5, cached: 0, generated: 7 }
  }
  fc.assert(fc.property(fc.array(fc.nat(wire.length), { maxLength: 30 }), (cuts) => {
    const stream = eventStream.createEventStream()
    const assembly = assembleAnswer.createAnswerAssembly('r1', () => {})
    const edges = [0, ...cuts.sort((a, b) => a - b), wire.length]
    const done = edges.slice(1).map((edge, i) => stream.push(wire.subarray(edges[i], edge)).some(assembly.take))
    const result = assembly.result()
    return done.includes(true) && result.type === 'whole' && JSON.stringify(sorted(result.answer)) === JSON.stringify(sorted(expected))
  }), { seed: 1, numRuns: 300 })
  t.pass()
})

/** The same value with the members of objects in order of name. */
function sorted (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1).map(([name, member]) => [name, sorted(member)]))
}
