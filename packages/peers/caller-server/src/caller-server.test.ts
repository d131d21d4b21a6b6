import tap from 'tap'
import * as crypto from 'node:crypto'
import type * as errors from '@eelgrasswind/errors'
import * as logger from '@eelgrasswind/logger'
import * as stream from 'node:stream'
import type * as types from '@eelgrasswind/types'
import type * as handlers from './caller-handlers.js'
import * as errorBody from './error-body.js'
import * as servers from './caller-server.js'

const log = logger.createLogger({ name: 'test', host: 'h1' as types.HostId, level: 'fatal', stream: new stream.PassThrough().resume() })

const end: types.CallEnd = {
  key: 'k1' as types.RequestKey,
  branch: 'main' as types.BranchId,
  seq: 1,
  outcome: { type: 'message', message: { role: 'assistant', content: 'navy, 24' }, finishReason: 'stop' },
  tokens: { prompt: 5, cached: 0, generated: 3 },
  usage: { tokens: 8, calls: 1, microCost: 14 },
  upstream: 'e1' as types.UpstreamId,
  repeated: false
}

const summary = { program: 'p1', client: 'coach', state: 'running' } as unknown as types.ProgramSummary

interface Seen {
  readonly calls: handlers.CallRequest[]
  readonly starts: types.StartRequest[]
}

type Behind = Partial<handlers.CallerHandlers>

async function serve (t: Tap.Test, behind: Behind = {}): Promise<{ url: string, seen: Seen, server: servers.CallerServer }> {
  const seen: Seen = { calls: [], starts: [] }
  const all: handlers.CallerHandlers = {
    authorize: (token) => token === 'secret' ? { ok: true, value: 'coach' as types.ClientId } : { ok: false, failure: { tag: 'unauthorized', verdict: 'notRun', message: 'no' } },
    start: async (req) => { seen.starts.push(req); return { ok: true, value: { summary, history: null } } },
    call: async (req) => { seen.calls.push(req); return { ok: true, value: end } },
    finish: async () => ({ ok: true, value: { summary, history: null } }),
    read: async () => ({ ok: true, value: { summary, history: [] } }),
    getMaxBodyBytes: () => 2_000,
    ...behind
  }
  const server = await servers.startCallerServer({ bindAddress: '127.0.0.1', port: 0, handlers: all, logger: log })
  t.teardown(() => server.close())
  return { url: `http://127.0.0.1:${server.port}`, seen, server }
}

declare namespace Tap {
  type Test = { teardown: (run: () => unknown) => void }
}

const headers = { authorization: 'Bearer secret', 'content-type': 'application/json' }

async function post (url: string, body: unknown, method = 'POST', extra: Record<string, string> = {}): Promise<{ status: number, headers: Headers, body: Record<string, unknown>, text: string }> {
  const res = await fetch(url, { method, headers: { ...headers, ...extra }, body: typeof body === 'string' ? body : JSON.stringify(body) })
  const text = await res.text()
  return { status: res.status, headers: res.headers, text, body: text.startsWith('{') ? JSON.parse(text) as Record<string, unknown> : {} }
}

const place = { key: 'k1', seq: 1 }
const completion = { model: 'm1', messages: [{ role: 'user', content: 'hi' }], eelgrasswind: place }

const badCalls: readonly (readonly [string, unknown, string])[] = [
  ['not JSON', '{"model": ', '(body)'],
  ['a list', [], '(body)'],
  ['no model', { ...completion, model: undefined }, 'model'],
  ['no messages', { ...completion, messages: [] }, 'messages'],
  ['a message without role', { ...completion, messages: [{ content: 'x' }] }, 'messages.0.role'],
  ['no key', { ...completion, eelgrasswind: { seq: 1 } }, 'eelgrasswind.key'],
  ['seq 0', { ...completion, eelgrasswind: { key: 'k1', seq: 0 } }, 'eelgrasswind.seq'],
  ['a hostile branch', { ...completion, eelgrasswind: { ...place, branch: '../x' } }, 'eelgrasswind.branch'],
  ['an unknown member', { ...completion, eelgrasswind: { ...place, sequence: 1 } }, 'eelgrasswind.sequence'],
  ['max_tokens of a wrong type', { ...completion, max_tokens: '64' }, 'max_tokens']
]

tap.test('bad calls name the field, run nothing, and say so', async (t) => {
  const { url, seen } = await serve(t)
  for (const [name, body, field] of badCalls) {
    const res = await post(`${url}/v1/programs/p1/chat/completions`, body)
    t.equal(res.status, 400, name)
    t.match(res.body, { error: { code: 'invalidRequest', verdict: 'notRun', field } }, name)
  }
  t.equal(seen.calls.length, 0)
})

tap.test('bad starts name the field', async (t) => {
  const { url, seen } = await serve(t)
  for (const [body, field] of [[{}, 'kind'], [{ kind: 'k', budget: { tokens: -1 } }, 'budget.tokens'], [{ kind: 'k', deadline: 'tomorrow' }, 'deadline'], [{ kind: 'k', colour: 1 }, 'colour']] as const) {
    const res = await post(`${url}/v1/programs/p1`, body, 'PUT')
    t.match(res, { status: 400, body: { error: { field, verdict: 'notRun' } } }, field)
  }
  t.match(await post(`${url}/v1/programs/..%2Fp1`, { kind: 'k' }, 'PUT'), { status: 400, body: { error: { field: 'program' } } })
  t.equal(seen.starts.length, 0)
})

tap.test('a body over the limit is refused, announced or not', async (t) => {
  const { url, seen } = await serve(t)
  const long = { ...completion, messages: [{ role: 'user', content: 'x'.repeat(3_000) }] }
  t.match(await post(`${url}/v1/programs/p1/chat/completions`, long), { status: 413, body: { error: { code: 'bodyTooLarge', verdict: 'notRun' } } })
  const chunked = new ReadableStream({ start (controller) { controller.enqueue(new TextEncoder().encode(JSON.stringify(long))); controller.close() } })
  const res = await fetch(`${url}/v1/programs/p1/chat/completions`, { method: 'POST', headers, body: chunked, duplex: 'half' } as RequestInit)
  t.equal(res.status, 413)
  t.equal(seen.calls.length, 0)
})

tap.test('unknown paths and tokens are refused', async (t) => {
  const { url } = await serve(t)
  t.match(await post(`${url}/v2/programs/p1`, {}), { status: 404, body: { error: { code: 'unknownTarget', verdict: 'notRun' } } })
  t.match(await post(`${url}/v1/programs/p1/finish`, {}, 'POST', { authorization: 'Bearer other' }), { status: 401 })
})

tap.test('a whole completion carries length and digest of its text', async (t) => {
  const { url } = await serve(t)
  const { body } = await post(`${url}/v1/programs/p1/chat/completions`, completion)
  t.match(body, { object: 'chat.completion', choices: [{ message: { content: 'navy, 24' }, finish_reason: 'stop' }], usage: { total_tokens: 8 } })
  t.match(body, { eelgrasswind: { length: 8, sha256: crypto.createHash('sha256').update('navy, 24').digest('hex'), repeated: false } })
})

tap.test('a stream ends with its end event, then [DONE]', async (t) => {
  const { url } = await serve(t, {
    async call (_req, _ctx, sink) {
      sink.onPlaced({ upstream: 'e1' as types.UpstreamId, host: 'h1' as types.HostId })
      sink.onDelta('navy,')
      return { ok: true, value: end }
    }
  })
  const { text } = await post(`${url}/v1/programs/p1/chat/completions`, { ...completion, stream: true })
  t.match(text, /"content":"navy,"[\s\S]*"content":" 24"[\s\S]*event: end\n[\s\S]*"length":8[\s\S]*data: \[DONE\]\n\n$/)
})

tap.test('a stream that starts again says so, and one that fails has an error event and no end', async (t) => {
  const failure: errors.Failure = { tag: 'timeout', verdict: 'mayHaveRun', message: 'late', afterMs: 10 }
  const { url } = await serve(t, {
    async call (_req, _ctx, sink) {
      sink.onDelta('nav')
      sink.onPlaced({ upstream: 'e2' as types.UpstreamId, host: 'h2' as types.HostId })
      return { ok: false, failure }
    }
  })
  const { text } = await post(`${url}/v1/programs/p1/chat/completions`, { ...completion, stream: true })
  t.match(text, /event: restart\n[\s\S]*event: error\n[\s\S]*"verdict":"mayHaveRun"/)
  t.notMatch(text, /event: end|\[DONE\]/)
})

tap.test('a refusal before the first piece has its own status and Retry-After', async (t) => {
  const { url } = await serve(t, { call: async () => ({ ok: false, failure: { tag: 'overloaded', verdict: 'notRun', message: 'full', retryAfterMs: 1_200 } }) })
  const res = await post(`${url}/v1/programs/p1/chat/completions`, { ...completion, stream: true })
  t.equal(res.status, 503)
  t.equal(res.headers.get('retry-after'), '2')
  t.match(res.body, { error: { code: 'overloaded', retryAfterMs: 1_200 } })
})

tap.test('place and key may come as headers', async (t) => {
  const { url, seen } = await serve(t)
  const { eelgrasswind: _place, ...body } = completion
  await post(`${url}/v1/programs/p1/chat/completions`, { ...body, temperature: 0.2 }, 'POST', { 'idempotency-key': 'k9', 'x-sequence': '4', 'x-branch': 'stock', traceparent: '00-x' })
  t.match(seen.calls[0], { key: 'k9', seq: 4, branch: 'stock', idempotent: undefined, target: { options: { temperature: 0.2 } } })
})

tap.test('while draining new requests are refused as notRun and running ones end', async (t) => {
  let finish: () => void = () => undefined
  let begun: () => void = () => undefined
  const beginning = new Promise<void>((resolve) => { begun = resolve })
  const { url, server } = await serve(t, { call: async () => { await new Promise<void>((resolve) => { finish = resolve; begun() }); return { ok: true, value: end } } })
  const running = post(`${url}/v1/programs/p1/chat/completions`, completion)
  await beginning
  const drained = server.drain()
  finish()
  t.equal((await running).status, 200)
  await drained
})

tap.test('every failure has a status', async (t) => {
  t.equal(errorBody.toHttpStatus({ tag: 'sealed', verdict: 'notRun', message: '' }), 409)
  t.equal(errorBody.toRetryAfterSeconds({ tag: 'internal', verdict: 'mayHaveRun', message: '' }), undefined)
})
