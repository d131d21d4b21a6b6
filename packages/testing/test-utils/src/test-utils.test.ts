import tap from 'tap'
import * as engineClient from '@eelgrasswind/engine-client'
import * as serviceClient from '@eelgrasswind/service-client'
import type * as types from '@eelgrasswind/types'
import * as testUtils from './index.js'

const upstream = 'u1' as types.UpstreamId

tap.test('eventually waits for a check and gives its value', async (t) => {
  let tries = 0
  t.equal(await testUtils.eventually(() => { tries += 1; return tries === 3 && 'done' }), 'done')
  await t.rejects(testUtils.eventually(() => { throw new Error('never') }, 50), { cause: { message: 'never' } })
})

tap.test('free ports differ and refuse connections', async (t) => {
  const ports = await testUtils.freePorts(3)
  t.equal(new Set(ports).size, 3)
  await t.rejects(fetch(await testUtils.refusingAddress()))
})

tap.test('a stand-in process takes control, pauses and dies', async (t) => {
  const standIn = await testUtils.spawnStandIn(t, { kind: 'service' })
  const call = (signal: AbortSignal | null = null): Promise<Response> => fetch(`${standIn.address}/orders`, { method: 'POST', headers: { 'x-request-id': 'r1' }, body: '{}', signal })
  t.equal((await call()).status, 200)
  await standIn.control({ type: 'fault', fault: { type: 'refuse' }, times: 1 })
  t.equal((await call()).status, 503)
  t.match(await standIn.counters(), { executions: { r1: 1 }, requests: { r1: 2 } })
  standIn.pause()
  await t.rejects(call(AbortSignal.timeout(300)), { name: 'TimeoutError' })
  standIn.resume()
  await testUtils.eventually(async () => (await call()).ok)
  await standIn.kill()
  await t.rejects(call())
})

tap.test('a process that ends before it is ready fails with its output', async (t) => {
  await t.rejects(testUtils.spawnStandIn(t, { kind: 'nothing' } as unknown as testUtils.StandInProcess), /Invalid/)
})

tap.test('the stand-ins of a deployment answer', async (t) => {
  const { log, engines } = await testUtils.startStandIns(t, { engines: [testUtils.instantEngine, testUtils.instantEngine] })
  t.equal((await fetch(`${log.address}/v1/streams/s/records`, { method: 'POST', body: 'x' })).status, 201)
  t.equal(engines.length, 2)
})

tap.test('a service that is paused may have run a call, one that is gone has not', async (t) => {
  const standIn = await testUtils.spawnStandIn(t, { kind: 'service' })
  const client = serviceClient.createServiceClient({ upstream, address: standIn.address, maxAnswerBytes: 1000 })
  t.teardown(() => client.close())
  const never = new AbortController().signal
  const call = (requestId: string, signal = never): ReturnType<typeof client.call> => client.call({ requestId, path: 'orders', body: {} }, { signal })
  t.match(await call('r1'), { ok: true })
  standIn.pause()
  t.match(await call('r2', AbortSignal.timeout(300)), { ok: false, failure: { tag: 'timeout', verdict: 'mayHaveRun' } })
  standIn.resume()
  t.match(await testUtils.eventually(standIn.counters), { executions: { r1: 1 } })
  await standIn.kill()
  // An idle connection may not have been seen to break yet; the one after it has.
  await call('r3')
  t.match(await call('r4'), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
})

tap.test('an engine that dies while it generates did run', async (t) => {
  const standIn = await testUtils.spawnStandIn(t, { kind: 'engine', tokenMs: 5 })
  const client = engineClient.createEngineClient({ upstream, address: standIn.address, timeoutMs: 1000 })
  t.teardown(() => client.close())
  let killed: Promise<void> | undefined
  const onDelta = (): void => { killed ??= standIn.kill() }
  const answer = await client.complete({
    requestId: 'r1',
    model: 'm' as types.ModelId,
    messages: [{ role: 'user', content: 'hello' }],
    maxTokens: 5000,
    options: { ignore_eos: true },
    priority: 0,
    session: 'p1' as types.ProgramId
  }, { signal: new AbortController().signal, onDelta })
  await killed
  t.match(answer, { ok: false, failure: { tag: 'answerBroken', verdict: 'ran', detail: 'lost' } })
})
