/** Cost of a long-lived session between two processes, of a request and of a streamed piece. Both ends are in this process. */
import * as net from 'node:net'
import * as errors from '@eelgrasswind/errors'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sessionSizes = [10, 50, 150]
const residentSizes = [100, 500, 1_500]
const pieceSizes = [100, 1_000, 4_000]
const requestSizes = [50, 200, 400]
const repetitions = 3
const pieceText = ' word'

const sender: types.Sender = {
  host: 'host-1' as types.HostId,
  incarnation: '0f8fad5b-d9cb-469f-a165-70867728950e' as types.Incarnation,
  leaving: false,
  configVersion: 2_900 as types.ConfigVersion
}

const notAsked = async <T>(): Promise<errors.Result<T>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not measured' })

const ownProcess: sidecarClient.ProcessHandlers = {
  getStatus: notAsked,
  getConfig: async () => errors.ok(null),
  explain: notAsked,
  getLoads: async () => errors.ok([])
}

/** Answers every call with as many pieces as its sequence number. */
const home: sidecarClient.HomeHandlers = {
  start: notAsked,
  finish: notAsked,
  read: notAsked,
  release: notAsked,
  list: notAsked,
  call: async (call, _ctx, sink) => {
    for (let piece = 0; piece < call.seq; piece += 1) {
      sink.onDelta(pieceText)
      // One piece a turn of the event loop, as an engine's tokens come.
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    return errors.ok({
      key: call.key,
      branch: call.branch,
      seq: call.seq,
      outcome: { type: 'message', message: { role: 'assistant', content: 'done' }, finishReason: 'stop' },
      tokens: { prompt: 1, cached: 0, generated: 1 },
      usage: { tokens: 2, calls: 1, microCost: 1 },
      upstream: 'engine-1' as types.UpstreamId,
      repeated: false
    })
  }
}

function startServer (): Promise<sidecarClient.PeerServer> {
  return sidecarClient.startPeerServer({ bindAddress: '127.0.0.1', port: 0, getSender: () => sender, process: ownProcess, home })
}

function connectTo (port: number): sidecarClient.PeerClient {
  return sidecarClient.createPeerClient({
    address: `http://127.0.0.1:${port}`,
    timeoutMs: 10_000,
    pingIntervalMs: 10_000,
    pingTimeoutMs: 5_000,
    onSenderReceived: () => {},
    onUnavailable: () => {}
  })
}

async function ask (client: sidecarClient.PeerClient): Promise<void> {
  const answer = await client.getConfig(2_900 as types.ConfigVersion)
  if (!answer.ok) throw new Error(answer.failure.message)
}

async function stream (client: sidecarClient.PeerClient, pieces: number): Promise<void> {
  const call: types.Call = {
    program: 'program-1' as types.ProgramId,
    client: 'client-1' as types.ClientId,
    key: 'key-1' as types.RequestKey,
    branch: 'main' as types.BranchId,
    seq: pieces,
    idempotent: true,
    timeoutMs: 60_000,
    target: { type: 'model', model: 'm' as types.ModelId, messages: [], maxTokens: 1, options: {} }
  }
  const end = await client.call(call, { traceparent: '' }, { onPlaced: () => {}, onDelta: () => {} })
  if (!end.ok) throw new Error(end.failure.message)
}

async function openSessions (port: number, count: number): Promise<sidecarClient.PeerClient[]> {
  const clients = Array.from({ length: count }, () => connectTo(port))
  for (const client of clients) await ask(client)
  return clients
}

async function sessionBytes (count: number, read: () => number): Promise<number> {
  const server = await startServer()
  const warm = await openSessions(server.port, 1)
  const before = read()
  const clients = await openSessions(server.port, count)
  const bytes = read() - before
  for (const client of [...warm, ...clients]) client.close()
  await server.close()
  return bytes
}

function heapBytes (): number {
  measures.collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

async function withClient (run: (client: sidecarClient.PeerClient) => Promise<number>): Promise<number> {
  const server = await startServer()
  const client = connectTo(server.port)
  await ask(client)
  const value = await run(client)
  client.close()
  await server.close()
  return value
}

/** Bytes of both directions through a relay in the middle, TCP and IP headers left out. */
async function wireBytes (use: (client: sidecarClient.PeerClient) => Promise<void>): Promise<number> {
  const server = await startServer()
  let bytes = 0
  const count = (chunk: Buffer): void => { bytes += chunk.length }
  const relay = net.createServer((inbound) => {
    const outbound = net.connect(server.port, '127.0.0.1')
    inbound.on('data', count).pipe(outbound).on('data', count).pipe(inbound)
  })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  const client = connectTo((relay.address() as net.AddressInfo).port)
  await ask(client)
  bytes = 0
  await use(client)
  const used = bytes
  client.close()
  await server.close()
  relay.close()
  return used
}

async function askTimes (client: sidecarClient.PeerClient, times: number): Promise<void> {
  for (let nth = 0; nth < times; nth += 1) await ask(client)
}

/** Opens sessions one after the other, each for one request. */
async function openingCost (count: number): Promise<number> {
  const server = await startServer()
  const cost = await measures.cpuUsAsync(async () => {
    for (let nth = 0; nth < count; nth += 1) {
      const client = connectTo(server.port)
      await ask(client)
      client.close()
    }
  })
  await server.close()
  return cost
}

export const sessions: series.Slope = {
  name: 'session',
  measure: async () => [
    { name: 'heap and buffers, both ends', per: 'session', unit: 'bytes', runs: await series.repeatAsync(repetitions, sessionSizes, (count) => sessionBytes(count, heapBytes)) },
    { name: 'resident memory, both ends', per: 'session', unit: 'bytes', runs: await series.repeatAsync(1, residentSizes, (count) => sessionBytes(count, measures.residentBytes)) },
    { name: 'opening, one request, closing, both ends', per: 'session', unit: 'us', runs: await series.repeatAsync(repetitions, sessionSizes, openingCost) },
    { name: 'unary requests, both ends', per: 'request', unit: 'us', runs: await series.repeatAsync(repetitions, requestSizes, (count) => withClient((client) => measures.cpuUsAsync(() => askTimes(client, count)))) },
    { name: 'unary requests on the wire', per: 'request', unit: 'bytes', runs: await series.repeatAsync(1, requestSizes, (count) => wireBytes((client) => askTimes(client, count))) },
    { name: 'pieces of a streamed answer, both ends', per: 'piece', unit: 'us', runs: await series.repeatAsync(repetitions, pieceSizes, (count) => withClient((client) => measures.cpuUsAsync(() => stream(client, count)))) },
    { name: 'pieces of 5 bytes on the wire', per: 'piece', unit: 'bytes', runs: await series.repeatAsync(1, pieceSizes, (count) => wireBytes((client) => stream(client, count))) }
  ]
}
