import * as net from 'node:net'
import tap from 'tap'
import * as fc from 'fast-check'
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as requests from './channel-requests.js'
import * as sessions from './channel-session.js'
import * as frameQueues from './frame-queue.js'
import type * as handlers from './handlers.js'
import * as gen from './gen/eelgrasswind_pb.js'
import * as peerClient from './peer-client.js'
import * as peerServer from './peer-server.js'

const sender: types.Sender = { host: 'h1' as types.HostId, incarnation: 'i1' as types.Incarnation, leaving: false, configVersion: 1 as types.ConfigVersion }

function turn (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}

interface Run {
  readonly key: string
  readonly sink: types.CallSink
  readonly end: (result: errors.Result<types.CallEnd>) => void
}

/** A home whose calls end when the test says so, and which counts what it runs. */
function createHome () {
  const runs: Run[] = []
  const executions = new Map<string, number>()
  const call = (req: types.Call, _ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> => {
    executions.set(req.key, (executions.get(req.key) ?? 0) + 1)
    return new Promise((resolve) => { runs.push({ key: req.key, sink, end: resolve }) })
  }
  const refuse = async (): Promise<errors.Result<never>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not for this test' })
  return { runs, executions, home: { call, start: refuse, finish: refuse, read: refuse } }
}

function bodyOf (key: string): requests.RequestBody {
  return { case: 'call', value: protobuf.create(gen.CallRequestSchema, { callJson: new TextEncoder().encode(JSON.stringify({ key })) }) }
}

interface Asked {
  readonly key: string
  text: string
  readonly stop: AbortController
  result: errors.Result<types.CallEnd> | undefined
}

/** What may happen next on the link; `on` picks one of what is there. */
const step = fc.record({
  type: fc.oneof(
    { weight: 20, arbitrary: fc.constantFrom('ask' as const, 'toServer' as const, 'toClient' as const, 'end' as const, 'delta' as const) },
    { weight: 3, arbitrary: fc.constantFrom('restart' as const, 'refuse' as const, 'cancel' as const) },
    { weight: 1, arbitrary: fc.constantFrom('close' as const, 'lose' as const) }
  ),
  on: fc.nat(7)
})
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** One client and one server whose messages travel when a step says so; a lost link loses what is on its way. */
class Link {
  readonly server = createHome()
  readonly asked: Asked[] = []
  private readonly client = new requests.ChannelRequests()
  private readonly session = new sessions.ChannelSession({ sender: () => protobuf.create(gen.SenderSchema, { host: sender.host }), home: this.server.home, upstream: undefined })
  private lost = false

  async take ({ type, on }: Step): Promise<void> {
    const run = this.server.runs[on % Math.max(1, this.server.runs.length)]
    switch (type) {
      case 'ask': this.ask(`k${this.asked.length}`); break
      case 'toServer': this.toServer(); break
      case 'toClient': this.toClient(); break
      case 'delta': run?.sink.onDelta(`${run.key}.`); break
      case 'restart': run?.sink.onPlaced({ upstream: 'e1' as types.UpstreamId, host: 'h1' as types.HostId }); break
      case 'end': run?.end(errors.ok({ key: run.key } as unknown as types.CallEnd)); break
      case 'refuse': run?.end(errors.fail({ tag: 'cancelled', verdict: 'ran', message: run.key })); break
      case 'cancel': this.asked[on % Math.max(1, this.asked.length)]?.stop.abort(); break
      case 'close': this.session.close(); break
      case 'lose': this.lose(); break
      default: errors.assertNever(type)
    }
    await turn()
  }

  private ask (key: string): void {
    if (!this.client.isAccepting) return
    const asked: Asked = { key, text: '', stop: new AbortController(), result: undefined }
    this.asked.push(asked)
    const receiver: requests.Receiver = { onPlaced: () => { asked.text = '' }, onDelta: (text) => { asked.text += text } }
    void this.client.request<types.CallEnd>(bodyOf(key), receiver, asked.stop.signal).then((result) => { asked.result = result })
  }

  private toServer (): void {
    const frames = this.client.take()
    if (!this.lost) this.session.receive(protobuf.create(gen.RequestFramesSchema, { frames }))
  }

  private toClient (): void {
    const message = this.session.take()
    if (!this.lost) this.client.receive(protobuf.fromBinary(gen.ReplyFramesSchema, protobuf.toBinary(gen.ReplyFramesSchema, message)))
  }

  lose (): void {
    this.lost = true
    this.session.break()
    this.client.fail('lost')
  }
}

function ownAnswer ({ key, text, result }: Asked): boolean {
  if (text.split('.').some((piece) => piece !== '' && piece !== key)) return false
  if (result === undefined) return false
  return !result.ok || result.value.key === key
}

function trueVerdict (executions: ReadonlyMap<string, number>, { key, result }: Asked): boolean {
  const ran = executions.get(key) ?? 0
  if (ran > 1 || result === undefined) return false
  return result.ok || result.failure.verdict !== 'notRun' || ran === 0
}

tap.test('every request gets its own answer or a failure with a true verdict', async (t) => {
  let answered = 0
  let notRun = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 60 }), async (steps) => {
    const link = new Link()
    for (const one of steps) await link.take(one)
    link.lose()
    await turn()
    answered += link.asked.filter(({ result }) => result?.ok === true).length
    notRun += link.asked.filter(({ result }) => result?.ok === false && result.failure.verdict === 'notRun').length
    return link.asked.every((asked) => ownAnswer(asked) && trueVerdict(link.server.executions, asked))
  }), { seed: 1, numRuns: 400 })
  t.ok(answered > 100 && notRun > 100, `${answered} answered, ${notRun} not run`)
})

tap.test('a request that never left is notRun, one that left may have run', async (t) => {
  const client = new requests.ChannelRequests()
  const receiver = { onPlaced: () => undefined, onDelta: () => undefined }
  const left = client.request(bodyOf('k1'), receiver)
  client.take()
  const waits = client.request(bodyOf('k2'), receiver)
  client.fail('lost')
  t.match(await left, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.match(await waits, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})

tap.test('a server that closes answers what it took, and what came later did not run', async (t) => {
  const { home, runs, executions } = createHome()
  const session = new sessions.ChannelSession({ sender: () => protobuf.create(gen.SenderSchema), home, upstream: undefined })
  const client = new requests.ChannelRequests()
  const receiver = { onPlaced: () => undefined, onDelta: () => undefined }
  const first = client.request(bodyOf('k1'), receiver)
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: client.take() }))
  session.close()
  const late = client.request(bodyOf('k2'), receiver)
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: client.take() }))
  client.receive(session.take())
  t.match(await late, { ok: false, failure: { verdict: 'notRun' } })
  t.notOk(client.isAccepting)
  runs[0]!.end(errors.ok({ key: 'k1' } as unknown as types.CallEnd))
  await turn()
  client.receive(session.take())
  t.match(await first, { ok: true, value: { key: 'k1' } })
  t.same([...executions.keys()], ['k1'])
})

tap.test('pieces of text of one turn go as one frame, and what waits is bounded', async (t) => {
  const { home, runs } = createHome()
  const session = new sessions.ChannelSession({ sender: () => protobuf.create(gen.SenderSchema), home, upstream: undefined })
  const frame = (id: number, body: requests.RequestBody): gen.RequestFrame => protobuf.create(gen.RequestFrameSchema, { id, body })
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: [frame(1, bodyOf('a')), frame(2, bodyOf('b'))] }))
  for (const text of ['x', 'y']) for (const run of runs) run.sink.onDelta(`${run.key}${text}`)
  t.same(session.take().frames.map(({ id, body }) => [id, body.value]), [[1, 'axay'], [2, 'bxby']])
  const queue = new frameQueues.FrameQueue<string>({ maxWaitingBytes: 10, sizeOf: (text) => text.length })
  t.same(['123456', '123456', '1234'].map((text) => queue.push(text)), [true, false, true])
  t.same(queue.take(), ['123456', '1234'])
  t.ok(queue.push('1234567890'))
})

interface Teardown { teardown: (run: () => unknown) => void }

/** Carries bytes to a port until it is cut; then the side named gets nothing more, and no connection is closed. */
async function startCuttableProxy (t: Teardown, toPort: number): Promise<{ port: number, cut: (side: 'toServer' | 'toClient') => void }> {
  const pairs: { inner: net.Socket, outer: net.Socket }[] = []
  const proxy = net.createServer((outer) => {
    const inner = net.connect(toPort, '127.0.0.1')
    pairs.push({ inner, outer })
    for (const [from, to] of [[outer, inner], [inner, outer]] as const) {
      from.on('data', (bytes) => to.write(bytes)).on('error', () => undefined).on('close', () => to.destroy())
    }
  })
  await new Promise<void>((resolve) => { proxy.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { for (const { outer } of pairs) outer.destroy(); proxy.close() })
  const cut = (side: 'toServer' | 'toClient'): void => {
    for (const { inner, outer } of pairs) (side === 'toServer' ? outer : inner).removeAllListeners('data').resume()
  }
  return { port: (proxy.address() as net.AddressInfo).port, cut }
}

async function connectPeers (t: Teardown, through: (port: number) => Promise<number> = async (port) => port, more: Partial<handlers.HomeHandlers> = {}) {
  const { home, runs, executions } = createHome()
  const refuse = async (): Promise<errors.Result<never>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not for this test' })
  const server = await peerServer.startPeerServer({
    bindAddress: '127.0.0.1',
    port: 0,
    getSender: () => sender,
    process: { getStatus: refuse, getConfig: refuse, explain: refuse, getLoads: refuse },
    home: { ...home, ...more, release: refuse, list: refuse }
  })
  const senders: types.Sender[] = []
  const broken: errors.Failure[] = []
  const client = peerClient.createPeerClient({
    address: `http://127.0.0.1:${await through(server.port)}`,
    timeoutMs: 2_000,
    pingIntervalMs: 500,
    pingTimeoutMs: 500,
    onSenderReceived: (one) => senders.push(one),
    onUnavailable: (failure) => broken.push(failure)
  })
  t.teardown(() => { client.close(); return server.close() })
  const call = (key: string, sink: Partial<types.CallSink> = {}): Promise<errors.Result<types.CallEnd>> =>
    client.call({ key } as unknown as types.Call, { traceparent: '' }, { onPlaced: () => undefined, onDelta: () => undefined, ...sink })
  const started = async (count: number): Promise<void> => { while (runs.length < count) await turn() }
  return { server, client, runs, executions, senders, broken, call, started }
}

tap.test('two requests crossed on one stream get their own answers, and deltas only where wanted', async (t) => {
  const { call, started, runs, senders } = await connectPeers(t)
  const texts = { a: '', b: '' }
  const answers = [call('a', { onDelta: (text) => { texts.a += text } }), call('b', { wholeOnly: true, onDelta: (text) => { texts.b += text } })]
  await started(2)
  const byKey = new Map(runs.map((run) => [run.key, run]))
  for (const key of ['b', 'a']) {
    byKey.get(key)!.sink.onDelta(`text of ${key}`)
    byKey.get(key)!.end(errors.ok({ key } as unknown as types.CallEnd))
  }
  t.match(await Promise.all(answers), [{ ok: true, value: { key: 'a' } }, { ok: true, value: { key: 'b' } }])
  t.same(texts, { a: 'text of a', b: '' })
  t.match(senders.at(-1), sender)
})

tap.test('a lost connection fails what is under way as mayHaveRun, and the next request is notRun', async (t) => {
  const { call, started, server, broken, executions } = await connectPeers(t)
  const lost = call('a')
  await started(1)
  await server.close()
  t.match(await lost, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.match(await call('b'), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
  t.same([...executions.keys()], ['a'])
  t.equal(broken.length, 2)
})

tap.test('closing a client fails what is under way, and says nothing of the host', async (t) => {
  const { client, call, started, broken } = await connectPeers(t)
  const lost = call('a')
  await started(1)
  client.close()
  t.match(await lost, { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.equal(broken.length, 0)
})

tap.test('a server that drains cuts no request and then refuses new ones', async (t) => {
  const { call, started, server, runs } = await connectPeers(t)
  const running = call('a')
  await started(1)
  const drained = server.drain()
  await turn()
  const late = call('b')
  runs[0]!.end(errors.ok({ key: 'a' } as unknown as types.CallEnd))
  t.match(await running, { ok: true, value: { key: 'a' } })
  t.match(await late, { ok: false, failure: { verdict: 'notRun' } })
  await drained
  t.equal(runs.length, 1)
})

for (const side of ['toServer', 'toClient'] as const) {
  tap.test(`a peer that hears or says nothing more is given up: ${side}`, async (t) => {
    let cut: (side: 'toServer' | 'toClient') => void = () => undefined
    const { call, started, broken } = await connectPeers(t, async (port) => {
      const proxy = await startCuttableProxy(t, port)
      cut = proxy.cut
      return proxy.port
    })
    const lost = call('a')
    await started(1)
    cut(side)
    t.match(await lost, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
    t.equal(broken.length, 1)
  })
}

tap.test('short requests have their answers on the stream too, or fail in time', async (t) => {
  const read: handlers.HomeHandlers['read'] = (program, history) => program === 'never' ? new Promise(() => undefined) : Promise.resolve(errors.ok({ program, history } as unknown as types.ProgramDocument))
  const { client, broken } = await connectPeers(t, async (port) => port, { read })
  t.match(await client.read('p1' as types.ProgramId, true), { ok: true, value: { program: 'p1', history: true } })
  t.match(await client.finish('p1' as types.ProgramId, 'done', { traceparent: '' }), { ok: false, failure: { tag: 'internal', verdict: 'notRun' } })
  t.match(await client.hold('p1' as types.ProgramId, 1 as types.Term, 'e1' as types.UpstreamId, 10), { ok: false, failure: { tag: 'unknownTarget', verdict: 'notRun' } })
  t.match(await client.read('never' as types.ProgramId, true), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.equal(broken.length, 1)
})

// Guards against requests that wait for the caller's whole time: a stream that a peer does not open was kept for all later ones.
tap.test('a peer that does not open the stream in time is given up, and nothing ran', async (t) => {
  const way = net.createServer((socket) => {
    socket.on('error', () => undefined)
    socket.resume()
  })
  await new Promise<void>((resolve) => { way.listen(0, '127.0.0.1', resolve) })
  const broken: errors.Failure[] = []
  const client = peerClient.createPeerClient({
    address: `http://127.0.0.1:${(way.address() as net.AddressInfo).port}`,
    timeoutMs: 200,
    pingIntervalMs: 60_000,
    pingTimeoutMs: 60_000,
    onSenderReceived: () => undefined,
    onUnavailable: (failure) => broken.push(failure)
  })
  t.teardown(() => { client.close(); way.close() })
  const receiver: types.CallSink = { onPlaced: () => undefined, onDelta: () => undefined }
  const limit = new Promise<string>((resolve) => { setTimeout(resolve, 2_000, 'late').unref() })
  t.match(await Promise.race([client.call({ key: 'a' } as unknown as types.Call, { traceparent: '' }, receiver), limit]), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
  while (broken.length < 1) await turn()
  t.equal(broken.length, 1)
})
