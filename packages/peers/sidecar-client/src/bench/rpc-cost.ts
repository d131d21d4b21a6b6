/**
 * Measures the CPU time of one exchange of 300 bytes each way between a client and a server in this process, for
 * several transports. Run: node packages/peers/sidecar-client/dist/src/bench/rpc-cost.js [EXCHANGES]
 */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import * as protobuf from '@bufbuild/protobuf'
import * as wire from '@bufbuild/protobuf/wire'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as gen from '../gen/eelgrasswind_pb.js'
import * as frameQueues from '../frame-queue.js'

const text = 'a'.repeat(300)
const payload = new TextEncoder().encode(text)
const loopback = '127.0.0.1'
const exchangeCount = Number(process.argv[2] ?? 3000)
const roundCount = 3
const concurrencies = [1, 32] as const

type Exchange = () => Promise<void>

async function measure (name: string, concurrency: number, exchange: Exchange): Promise<void> {
  const run = async (count: number): Promise<void> => {
    let remaining = count
    await Promise.all(Array.from({ length: concurrency }, async () => {
      while (remaining-- > 0) await exchange()
    }))
  }
  await run(exchangeCount)
  const costsUs: string[] = []
  for (let round = 0; round < roundCount; round += 1) {
    const before = process.cpuUsage()
    await run(exchangeCount)
    const { user, system } = process.cpuUsage(before)
    costsUs.push(((user + system) / exchangeCount).toFixed(0))
  }
  console.log(`${name.padEnd(44)} ${String(concurrency).padStart(3)} in flight: ${costsUs.join(', ')} us of CPU time per exchange, client and server together`)
}

function registerRoutes (router: connect.ConnectRouter): void {
  router.service(gen.PeerService, {
    explain: async (req) => ({ explainJson: new TextEncoder().encode(req.program) })
  })
  router.service(gen.ChannelService, {
    async * open (requests) {
      for await (const { frames } of requests) {
        yield { frames: frames.map(({ id, body }) => ({ id, body: { case: 'endJson', value: body.case === 'call' ? body.value.callJson : payload } })) }
      }
    }
  })
}

/** Exchanges size-delimited messages on one plain HTTP/2 stream, to separate the cost of connect-es itself. */
function serveRaw (stream: http2.ServerHttp2Stream): void {
  stream.respond({ ':status': 200 })
  void (async () => {
    for await (const message of wire.sizeDelimitedDecodeStream(gen.RequestFramesSchema, stream as AsyncIterable<Uint8Array>)) {
      const frames = message.frames.map(({ id, body }) => ({ id, body: { case: 'endJson' as const, value: body.case === 'call' ? body.value.callJson : payload } }))
      stream.write(wire.sizeDelimitedEncode(gen.ReplyFramesSchema, protobuf.create(gen.ReplyFramesSchema, { frames })))
    }
  })()
}

async function * yieldOnce<T> (value: T): AsyncGenerator<T> {
  yield value
}

/** Sends request frames and receives reply frames. */
interface FrameStream {
  readonly send: (frames: gen.RequestFrame[]) => void
  readonly replies: AsyncIterable<gen.ReplyFrames>
}

/** Multiplexes exchanges on one stream; the requests of one turn of the event loop are sent as one message. */
function multiplex ({ send, replies }: FrameStream): Exchange {
  const pendingReplies = new Map<number, () => void>()
  let nextId = 1
  let batch: gen.RequestFrame[] = []
  void (async () => {
    for await (const { frames } of replies) {
      for (const { id } of frames) {
        pendingReplies.get(id)?.()
        pendingReplies.delete(id)
      }
    }
  })()
  return () => new Promise((resolve) => {
    const id = nextId++
    pendingReplies.set(id, resolve)
    batch.push(protobuf.create(gen.RequestFrameSchema, { id, body: { case: 'call', value: { callJson: payload } } }))
    if (batch.length > 1) return
    setImmediate(() => {
      send(batch)
      batch = []
    })
  })
}

function createConnectExchange (client: connect.Client<typeof gen.ChannelService>): Exchange {
  const queue = new frameQueues.FrameQueue<gen.RequestFrame[]>({ maxWaitingBytes: 1, estimateBytes: () => 0 })
  async function * generateMessages (): AsyncGenerator<{ frames: gen.RequestFrame[] }> {
    for await (const batches of queue.takeBatches()) yield { frames: batches.flat() }
  }
  return multiplex({ send: (frames) => { queue.push(frames) }, replies: client.open(generateMessages()) })
}

function createRawExchange (session: http2.ClientHttp2Session): Exchange {
  const stream = session.request({ ':method': 'POST', ':path': '/raw' })
  return multiplex({
    send: (frames) => { stream.write(wire.sizeDelimitedEncode(gen.RequestFramesSchema, protobuf.create(gen.RequestFramesSchema, { frames }))) },
    replies: wire.sizeDelimitedDecodeStream(gen.ReplyFramesSchema, stream as AsyncIterable<Uint8Array>)
  })
}

async function listen (server: http2.Http2Server): Promise<string> {
  await new Promise<void>((resolve) => { server.listen(0, loopback, resolve) })
  return `http://${loopback}:${(server.address() as net.AddressInfo).port}`
}

const server = http2.createServer(connectNode.connectNodeAdapter({ routes: registerRoutes, acceptCompression: [] }))
const rawServer = http2.createServer()
rawServer.on('stream', serveRaw)
const transport = connectNode.createConnectTransport({ baseUrl: await listen(server), httpVersion: '2', acceptCompression: [] })
const rawSession = http2.connect(await listen(rawServer))
const peer = connect.createClient(gen.PeerService, transport)
const channel = connect.createClient(gen.ChannelService, transport)

for (const concurrency of concurrencies) {
  await measure('unary RPC', concurrency, async () => { await peer.explain({ program: text }) })
  await measure('streaming RPC per exchange', concurrency, async () => {
    const request = protobuf.create(gen.RequestFrameSchema, { id: 1, body: { case: 'call', value: { callJson: payload } } })
    for await (const { frames } of channel.open(yieldOnce({ frames: [request] }))) if (frames.length !== 1) throw new Error('expected one reply frame')
  })
  await measure('one long-lived connect-es stream, batched', concurrency, createConnectExchange(channel))
  await measure('one long-lived HTTP/2 stream, batched', concurrency, createRawExchange(rawSession))
}
process.exit()
