import * as fc from 'fast-check'
import tap from 'tap'
import type * as errors from '@eelgrasswind/errors'
import * as standIns from '@eelgrasswind/stand-ins'
import type * as types from '@eelgrasswind/types'
import * as serviceClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

const upstream = 'orders-1' as types.UpstreamId
const maxAnswerBytes = 4096
const never = new AbortController().signal

interface Bench {
  readonly service: standIns.ServiceStandIn
  readonly client: serviceClient.ServiceClient
  call: (requestId: string, signal?: AbortSignal) => Promise<errors.Result<serviceClient.ServiceAnswer>>
}

async function bench (t: TestScope): Promise<Bench> {
  const service = await standIns.createServiceStandIn({ port: 0 })
  const client = serviceClient.createServiceClient({ upstream, address: service.address, maxAnswerBytes })
  t.teardown(async () => { await service.close(); await client.close() })
  const call: Bench['call'] = (requestId, signal = never) => client.call({ requestId, path: 'orders', body: { of: requestId } }, { signal })
  return { service, client, call }
}

function verdictOf (result: errors.Result<unknown>): string {
  return result.ok ? 'ok' : result.failure.verdict
}

tap.test('an answer is the one to its own request', async (t) => {
  const { service, call } = await bench(t)
  const answers = await Promise.all(Array.from({ length: 50 }, (_, i) => call(`r${i}`)))
  answers.forEach((answer, i) => t.match(answer, { ok: true, value: { status: 200, body: { path: 'orders', echo: { of: `r${i}` } } } }))
  t.equal(service.executions('r7'), 1)
})

interface FaultCase {
  readonly fault: standIns.ServiceFault
  readonly expected: object
  readonly executions: number
}

const cases: readonly FaultCase[] = [
  { fault: { type: 'refuse', retryAfterMs: 250 }, expected: { tag: 'upstreamUnavailable', verdict: 'notRun', retryAfterMs: 250 }, executions: 0 },
  { fault: { type: 'reset' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun' }, executions: 0 },
  { fault: { type: 'loseAnswer' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun' }, executions: 1 },
  { fault: { type: 'hang', run: true }, expected: { tag: 'timeout', verdict: 'mayHaveRun' }, executions: 1 },
  { fault: { type: 'hang', run: false }, expected: { tag: 'timeout', verdict: 'mayHaveRun' }, executions: 0 },
  { fault: { type: 'delay', delayMs: 600_000 }, expected: { tag: 'timeout', verdict: 'mayHaveRun' }, executions: 1 },
  { fault: { type: 'error', run: false }, expected: { tag: 'upstreamFailed', verdict: 'mayHaveRun', status: 500 }, executions: 0 },
  { fault: { type: 'error', run: true, status: 502 }, expected: { tag: 'upstreamFailed', verdict: 'mayHaveRun', status: 502 }, executions: 1 },
  { fault: { type: 'truncate' }, expected: { tag: 'answerBroken', verdict: 'ran', detail: 'lost' }, executions: 1 },
  { fault: { type: 'wrongId' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'foreign' }, executions: 1 },
  { fault: { type: 'crossed' }, expected: { tag: 'answerBroken', verdict: 'mayHaveRun', detail: 'foreign' }, executions: 1 },
  { fault: { type: 'invalidJson' }, expected: { tag: 'answerBroken', verdict: 'ran', detail: 'invalid' }, executions: 1 },
  { fault: { type: 'oversize', bytes: 2 * maxAnswerBytes }, expected: { tag: 'answerBroken', verdict: 'ran', detail: 'tooLong' }, executions: 1 }
]

for (const { fault, expected, executions } of cases) {
  tap.test(`${JSON.stringify(fault)} gives its verdict`, async (t) => {
    const { service, call } = await bench(t)
    await call('before')
    service.faults.set(fault, { times: 1 })
    const limited = fault.type === 'hang' || fault.type === 'delay'
    const failed = await call('struck', limited ? AbortSignal.timeout(100) : never)
    t.match(failed, { ok: false, failure: expected })
    t.equal(service.executions('struck'), executions)
    t.match(await call('after'), { ok: true, value: { body: { echo: { of: 'after' } } } })
  })
}

tap.test('a status below 500 is an answer', async (t) => {
  const { service, call } = await bench(t)
  service.faults.set({ type: 'error', run: true, status: 409 }, { times: 1 })
  t.match(await call('r1'), { ok: true, value: { status: 409, body: { error: {} } } })
})

tap.test('an answer that comes twice is not taken for the next one', async (t) => {
  const { service, call } = await bench(t)
  service.faults.set({ type: 'duplicate' })
  const seen = []
  for (let i = 0; i < 20; i += 1) seen.push({ id: `r${i}`, result: await call(`r${i}`) })
  const answered = seen.filter((one) => one.result.ok)
  for (const { id, result } of answered) t.match(result, { value: { body: { echo: { of: id } } } })
  for (const { id, result } of seen) if (verdictOf(result) === 'notRun') t.equal(service.executions(id), 0)
  t.ok(answered.length > 0)
})

tap.test('no connection means not run', async (t) => {
  const { service, call } = await bench(t)
  await service.close()
  t.match(await call('r1'), { ok: false, failure: { tag: 'upstreamUnavailable', verdict: 'notRun' } })
})

tap.test('a call that is given up before it is sent has not run', async (t) => {
  const { service, call } = await bench(t)
  t.match(await call('early', AbortSignal.abort()), { ok: false, failure: { tag: 'cancelled', verdict: 'notRun' } })
  service.faults.set({ type: 'hang', run: true })
  const busy = Array.from({ length: 256 }, (_, i) => call(`busy${i}`))
  t.match(await call('waiting', AbortSignal.timeout(300)), { ok: false, failure: { tag: 'timeout', verdict: 'notRun' } })
  service.faults.clear()
  t.ok((await Promise.all(busy)).every((result) => result.ok))
  t.same(service.counters().requests['waiting'], undefined)
})

const anyFault = fc.constantFrom<standIns.ServiceFault | null>(null, ...cases.map((one) => one.fault), { type: 'duplicate' })

tap.test('any faults, in any order, side by side: verdicts hold and nothing runs twice', async (t) => {
  const { service, call } = await bench(t)
  let round = 0
  await fc.assert(fc.asyncProperty(fc.array(anyFault, { minLength: 1, maxLength: 8 }), async (faults) => {
    round += 1
    for (const fault of faults) if (fault !== null) service.faults.set(fault, { times: 1 })
    const results = await Promise.all(faults.map(async (_, i) => {
      const id = `p${round}-${i}`
      return { id, result: await call(id, AbortSignal.timeout(50)) }
    }))
    service.faults.clear()
    return results.every(({ id, result }) => {
      const executions = service.executions(id)
      if (result.ok) return executions <= 1 && (result.value.status !== 200 || JSON.stringify(result.value.body).includes(`"of":"${id}"`))
      return executions <= 1 && (result.failure.verdict !== 'notRun' || executions === 0) && (result.failure.verdict !== 'ran' || executions === 1)
    })
  }), { seed: 1, numRuns: 60 })
  t.ok(round >= 60)
})
