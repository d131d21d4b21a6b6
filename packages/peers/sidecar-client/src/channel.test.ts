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

function nextEventLoopTurn (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}

interface RunningCall {
  readonly key: string
  readonly sink: types.CallSink
  readonly end: (result: errors.Result<types.CallEnd>) => void
}

/** A home whose calls end under the test's control, and which counts the executions of each key. */
function createHome () {
  const runs: RunningCall[] = []
  const executions = new Map<string, number>()
  const call = (req: types.Call, _ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> => {
    executions.set(req.key, (executions.get(req.key) ?? 0) + 1)
    return new Promise((resolve) => { runs.push({ key: req.key, sink, end: resolve }) })
  }
  const refuse = async (): Promise<errors.Result<never>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not for this test' })
  return { runs, executions, home: { call, start: refuse, finish: refuse, read: refuse } }
}

function createCallBody (key: string): requests.RequestBody {
  return { case: 'call', value: protobuf.create(gen.CallRequestSchema, { callJson: new TextEncoder().encode(JSON.stringify({ key })) }) }
}

interface SentRequest {
  readonly key: string
  text: string
  readonly abortController: AbortController
  result: errors.Result<types.CallEnd> | undefined
}

/** One step on the link; `targetIndex` selects a running call or a sent request. */
const step = fc.record({
  type: fc.oneof(
    { weight: 20, arbitrary: fc.constantFrom('ask' as const, 'toServer' as const, 'toClient' as const, 'end' as const, 'delta' as const) },
    { weight: 3, arbitrary: fc.constantFrom('restart' as const, 'refuse' as const, 'cancel' as const) },
    { weight: 1, arbitrary: fc.constantFrom('close' as const, 'lose' as const) }
  ),
  targetIndex: fc.nat(7)
})
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** One client and one server whose messages are delivered by steps; a lost link drops the messages in transit. */
class Link {
  readonly server = createHome()
  readonly sentRequests: SentRequest[] = []
  private readonly client = new requests.ChannelRequests()
  private readonly session = new sessions.ChannelSession({ getSender: () => protobuf.create(gen.SenderSchema, { host: sender.host }), home: this.server.home, upstream: undefined })
  private isLost = false

  async applyStep ({ type, targetIndex }: Step): Promise<void> {
    const run = this.server.runs[targetIndex % Math.max(1, this.server.runs.length)]
    switch (type) {
      case 'ask': this.sendRequest(`k${this.sentRequests.length}`); break
      case 'toServer': this.deliverToServer(); break
      case 'toClient': this.deliverToClient(); break
      case 'delta': run?.sink.onDelta(`${run.key}.`); break
      case 'restart': run?.sink.onPlaced({ upstream: 'e1' as types.UpstreamId, host: 'h1' as types.HostId }); break
      case 'end': run?.end(errors.ok({ key: run.key } as unknown as types.CallEnd)); break
      case 'refuse': run?.end(errors.fail({ tag: 'cancelled', verdict: 'ran', message: run.key })); break
      case 'cancel': this.sentRequests[targetIndex % Math.max(1, this.sentRequests.length)]?.abortController.abort(); break
      case 'close': this.session.close(); break
      case 'lose': this.loseLink(); break
      default: errors.assertNever(type)
    }
    await nextEventLoopTurn()
  }

  private sendRequest (key: string): void {
    if (!this.client.isAccepting) return
    const sentRequest: SentRequest = { key, text: '', abortController: new AbortController(), result: undefined }
    this.sentRequests.push(sentRequest)
    const receiver: requests.AnswerReceiver = { onPlaced: () => { sentRequest.text = '' }, onDelta: (text) => { sentRequest.text += text } }
    void this.client.request<types.CallEnd>(createCallBody(key), receiver, sentRequest.abortController.signal).then((result) => { sentRequest.result = result })
  }

  private deliverToServer (): void {
    const frames = this.client.takeFrames()
    if (!this.isLost) this.session.receive(protobuf.create(gen.RequestFramesSchema, { frames }))
  }

  private deliverToClient (): void {
    const message = this.session.takeMessage()
    if (!this.isLost) this.client.receive(protobuf.fromBinary(gen.ReplyFramesSchema, protobuf.toBinary(gen.ReplyFramesSchema, message)))
  }

  loseLink (): void {
    this.isLost = true
    this.session.abort()
    this.client.failAll('lost')
  }
}

/** Whether the request was answered, and its text and result belong to its key. */
function hasOwnAnswer ({ key, text, result }: SentRequest): boolean {
  if (text.split('.').some((piece) => piece !== '' && piece !== key)) return false
  if (result === undefined) return false
  return !result.ok || result.value.key === key
}

/** Whether the request ran at most once, and not at all if its verdict is notRun. */
function hasCorrectVerdict (executions: ReadonlyMap<string, number>, { key, result }: SentRequest): boolean {
  const ran = executions.get(key) ?? 0
  if (ran > 1 || result === undefined) return false
  return result.ok || result.failure.verdict !== 'notRun' || ran === 0
}

tap.test('every request gets its own answer or a failure with a correct verdict', async (t) => {
  let answeredCount = 0
  let notRunCount = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 60 }), async (steps) => {
    const link = new Link()
    for (const nextStep of steps) await link.applyStep(nextStep)
    link.loseLink()
    await nextEventLoopTurn()
    answeredCount += link.sentRequests.filter(({ result }) => result?.ok === true).length
    notRunCount += link.sentRequests.filter(({ result }) => result?.ok === false && result.failure.verdict === 'notRun').length
    return link.sentRequests.every((sentRequest) => hasOwnAnswer(sentRequest) && hasCorrectVerdict(link.server.executions, sentRequest))
  }), { seed: 1, numRuns: 400 })
  t.ok(answeredCount > 100 && notRunCount > 100, `${answeredCount} answered, ${notRunCount} not run`)
})

tap.test('when the stream ends, a queued request is notRun and a sent one mayHaveRun', async (t) => {
  const client = new requests.ChannelRequests()
  const receiver = { onPlaced: () => undefined, onDelta: () => undefined }
  const sent = client.request(createCallBody('k1'), receiver)
  client.takeFrames()
  const queued = client.request(createCallBody('k2'), receiver)
  client.failAll('lost')
  t.match(await sent, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.match(await queued, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})

tap.test('a closing session answers the requests that it accepted and does not run later ones', async (t) => {
  const { home, runs, executions } = createHome()
  const session = new sessions.ChannelSession({ getSender: () => protobuf.create(gen.SenderSchema), home, upstream: undefined })
  const client = new requests.ChannelRequests()
  const receiver = { onPlaced: () => undefined, onDelta: () => undefined }
  const first = client.request(createCallBody('k1'), receiver)
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: client.takeFrames() }))
  session.close()
  const late = client.request(createCallBody('k2'), receiver)
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: client.takeFrames() }))
  client.receive(session.takeMessage())
  t.match(await late, { ok: false, failure: { verdict: 'notRun' } })
  t.notOk(client.isAccepting)
  runs[0]!.end(errors.ok({ key: 'k1' } as unknown as types.CallEnd))
  await nextEventLoopTurn()
  client.receive(session.takeMessage())
  t.match(await first, { ok: true, value: { key: 'k1' } })
  t.same([...executions.keys()], ['k1'])
})

tap.test('queued deltas of a request are sent as one frame, and the queue is bounded in bytes', async (t) => {
  const { home, runs } = createHome()
  const session = new sessions.ChannelSession({ getSender: () => protobuf.create(gen.SenderSchema), home, upstream: undefined })
  const frame = (id: number, body: requests.RequestBody): gen.RequestFrame => protobuf.create(gen.RequestFrameSchema, { id, body })
  session.receive(protobuf.create(gen.RequestFramesSchema, { frames: [frame(1, createCallBody('a')), frame(2, createCallBody('b'))] }))
  for (const text of ['x', 'y']) for (const run of runs) run.sink.onDelta(`${run.key}${text}`)
  t.same(session.takeMessage().frames.map(({ id, body }) => [id, body.value]), [[1, 'axay'], [2, 'bxby']])
  const queue = new frameQueues.FrameQueue<string>({ maxWaitingBytes: 10, estimateBytes: (text) => text.length })
  t.same(['123456', '123456', '1234'].map((text) => queue.push(text)), [true, false, true])
  t.same(queue.take(), ['123456', '1234'])
  t.ok(queue.push('1234567890'))
})

interface Teardown { teardown: (run: () => unknown) => void }

/** Forwards bytes to a port until it is cut; then the given side receives nothing more, and connections stay open. */
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

async function connectPeers (t: Teardown, resolvePort: (port: number) => Promise<number> = async (port) => port, homeOverrides: Partial<handlers.HomeHandlers> = {}) {
  const { home, runs, executions } = createHome()
  const refuse = async (): Promise<errors.Result<never>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not for this test' })
  const server = await peerServer.startPeerServer({
    bindAddress: '127.0.0.1',
    port: 0,
    getSender: () => sender,
    process: { getStatus: refuse, getConfig: refuse, explain: refuse, getLoads: refuse },
    home: { ...home, release: refuse, list: refuse, ...homeOverrides }
  })
  const senders: types.Sender[] = []
  const failures: errors.Failure[] = []
  const client = peerClient.createPeerClient({
    address: `http://127.0.0.1:${await resolvePort(server.port)}`,
    timeoutMs: 2_000,
    pingIntervalMs: 500,
    pingTimeoutMs: 500,
    onSenderReceived: (one) => senders.push(one),
    onUnavailable: (failure) => failures.push(failure)
  })
  t.teardown(() => { client.close(); return server.close() })
  const call = (key: string, sink: Partial<types.CallSink> = {}): Promise<errors.Result<types.CallEnd>> =>
    client.call({ key } as unknown as types.Call, { traceparent: '' }, { onPlaced: () => undefined, onDelta: () => undefined, ...sink })
  const waitForRuns = async (count: number): Promise<void> => { while (runs.length < count) await nextEventLoopTurn() }
  return { server, client, runs, executions, senders, failures, call, waitForRuns }
}

tap.test('two concurrent requests on one stream get their own answers, and deltas only if requested', async (t) => {
  const { call, waitForRuns, runs, senders } = await connectPeers(t)
  const texts = { a: '', b: '' }
  const answers = [call('a', { onDelta: (text) => { texts.a += text } }), call('b', { wholeOnly: true, onDelta: (text) => { texts.b += text } })]
  await waitForRuns(2)
  const byKey = new Map(runs.map((run) => [run.key, run]))
  for (const key of ['b', 'a']) {
    byKey.get(key)!.sink.onDelta(`text of ${key}`)
    byKey.get(key)!.end(errors.ok({ key } as unknown as types.CallEnd))
  }
  t.match(await Promise.all(answers), [{ ok: true, value: { key: 'a' } }, { ok: true, value: { key: 'b' } }])
  t.same(texts, { a: 'text of a', b: '' })
  t.match(senders.at(-1), sender)
})

tap.test('a lost connection fails the request in flight as mayHaveRun, and the next request is notRun', async (t) => {
  const { call, waitForRuns, server, failures, executions } = await connectPeers(t)
  const lost = call('a')
  await waitForRuns(1)
  await server.close()
  t.match(await lost, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.match(await call('b'), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
  t.same([...executions.keys()], ['a'])
  t.equal(failures.length, 2)
})

tap.test('closing a client fails the request in flight and does not report the peer as unavailable', async (t) => {
  const { client, call, waitForRuns, failures } = await connectPeers(t)
  const lost = call('a')
  await waitForRuns(1)
  client.close()
  t.match(await lost, { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.equal(failures.length, 0)
})

tap.test('a draining server completes the request in flight and refuses new ones', async (t) => {
  const { call, waitForRuns, server, runs } = await connectPeers(t)
  const running = call('a')
  await waitForRuns(1)
  const drained = server.drain()
  await nextEventLoopTurn()
  const late = call('b')
  runs[0]!.end(errors.ok({ key: 'a' } as unknown as types.CallEnd))
  t.match(await running, { ok: true, value: { key: 'a' } })
  t.match(await late, { ok: false, failure: { verdict: 'notRun' } })
  await drained
  t.equal(runs.length, 1)
})

for (const side of ['toServer', 'toClient'] as const) {
  tap.test(`a connection on which one direction is silent fails the request and is reported as unavailable: ${side}`, async (t) => {
    let cut: (side: 'toServer' | 'toClient') => void = () => undefined
    const { call, waitForRuns, failures } = await connectPeers(t, async (port) => {
      const proxy = await startCuttableProxy(t, port)
      cut = proxy.cut
      return proxy.port
    })
    const lost = call('a')
    await waitForRuns(1)
    cut(side)
    t.match(await lost, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
    t.equal(failures.length, 1)
  })
}

tap.test('requests with a timeout are answered on the stream, or fail when it expires', async (t) => {
  const read: handlers.HomeHandlers['read'] = (program, history) => program === 'never' ? new Promise(() => undefined) : Promise.resolve(errors.ok({ program, history } as unknown as types.ProgramDocument))
  const { client, failures } = await connectPeers(t, async (port) => port, { read })
  t.match(await client.read('p1' as types.ProgramId, true), { ok: true, value: { program: 'p1', history: true } })
  t.match(await client.finish('p1' as types.ProgramId, 'done', { traceparent: '' }), { ok: false, failure: { tag: 'internal', verdict: 'notRun' } })
  t.match(await client.hold('p1' as types.ProgramId, 1 as types.Term, 'e1' as types.UpstreamId, 10), { ok: false, failure: { tag: 'unknownTarget', verdict: 'notRun' } })
  t.match(await client.read('never' as types.ProgramId, true), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.equal(failures.length, 1)
})

// Guards against requests that wait until the caller's deadline: a stream that the peer never opened was reused for all later requests.
tap.test('a peer that does not open the stream within the timeout is reported as unavailable, and the request is notRun', async (t) => {
  const silentServer = net.createServer((socket) => {
    socket.on('error', () => undefined)
    socket.resume()
  })
  await new Promise<void>((resolve) => { silentServer.listen(0, '127.0.0.1', resolve) })
  const failures: errors.Failure[] = []
  const client = peerClient.createPeerClient({
    address: `http://127.0.0.1:${(silentServer.address() as net.AddressInfo).port}`,
    timeoutMs: 200,
    pingIntervalMs: 60_000,
    pingTimeoutMs: 60_000,
    onSenderReceived: () => undefined,
    onUnavailable: (failure) => failures.push(failure)
  })
  t.teardown(() => { client.close(); silentServer.close() })
  const receiver: types.CallSink = { onPlaced: () => undefined, onDelta: () => undefined }
  const timeout = new Promise<string>((resolve) => { setTimeout(resolve, 2_000, 'late').unref() })
  t.match(await Promise.race([client.call({ key: 'a' } as unknown as types.Call, { traceparent: '' }, receiver), timeout]), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
  while (failures.length < 1) await nextEventLoopTurn()
  t.equal(failures.length, 1)
})

// Guards against a live peer that is suspected: it waits for its calls in flight before it releases a program.
tap.test('a release that is refused or not answered in time does not report the peer as unavailable', async (t) => {
  const busy: errors.Failure = { tag: 'inProgress', verdict: 'notRun', message: 'a call is in flight', retryAfterMs: 500 }
  const release: handlers.HomeHandlers['release'] = (program) => program === 'never' ? new Promise(() => undefined) : Promise.resolve(errors.fail(busy))
  const { client, failures } = await connectPeers(t, async (port) => port, { release })
  t.same(await client.release('p1' as types.ProgramId, 'h2' as types.HostId), errors.fail(busy))
  t.match(await client.release('never' as types.ProgramId, 'h2' as types.HostId), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.same(failures, [])
})
