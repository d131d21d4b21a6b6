import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as peerPool from './peer-pool.js'
import * as peerServer from './peer-server.js'

const host = 'h1' as types.HostId
const sink: types.CallSink = { onPlaced: () => undefined, onDelta: () => undefined }
const callEnd = errors.ok({ key: 'k1' } as unknown as types.CallEnd)

interface Scope { teardown: (run: () => unknown) => void }

/** A process whose calls end when the test says so. */
async function startProcess (t: Scope): Promise<{ address: string, started: Promise<void>, endCall: () => void }> {
  const refuse = async (): Promise<errors.Result<never>> => errors.fail({ tag: 'internal', verdict: 'notRun', message: 'not for this test' })
  let endCall: () => void = () => undefined
  let onStarted: () => void = () => undefined
  const started = new Promise<void>((resolve) => { onStarted = resolve })
  const ended = new Promise<void>((resolve) => { endCall = resolve })
  const call = async (): Promise<errors.Result<types.CallEnd>> => {
    onStarted()
    await ended
    return callEnd
  }
  const server = await peerServer.startPeerServer({
    bindAddress: '127.0.0.1',
    port: 0,
    getSender: () => ({ host, incarnation: 'i1' as types.Incarnation, leaving: false, configVersion: 1 as types.ConfigVersion }),
    process: { getStatus: refuse, getConfig: refuse, explain: refuse, getLoads: refuse },
    home: { start: refuse, call, finish: refuse, read: refuse, release: refuse, list: refuse }
  })
  t.teardown(() => server.close())
  return { address: `http://127.0.0.1:${server.port}`, started, endCall }
}

/** A pool with a call in flight to a process of the host. */
async function startCall (t: Scope) {
  const failures: errors.Failure[] = []
  const pool = peerPool.createPeerPool({
    timeoutMs: 200,
    pingIntervalMs: 500,
    pingTimeoutMs: 500,
    onSenderReceived: () => undefined,
    onUnavailable: (_host, failure) => { failures.push(failure) }
  })
  t.teardown(() => { pool.close() })
  const process = await startProcess(t)
  const result = pool.get(host, process.address).call({ key: 'k1' } as unknown as types.Call, { traceparent: '' }, sink)
  await process.started
  return { pool, process, result, failures }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

// Guards against calls cut off by their own sender: the process that ran them was ending, and its successor was listed already.
tap.test('a call in flight is answered although its host has a new address', async (t) => {
  const { pool, process, result, failures } = await startCall(t)
  const successor = await startProcess(t)
  successor.endCall()
  t.same(await pool.get(host, successor.address).call({ key: 'k2' } as unknown as types.Call, { traceparent: '' }, sink), callEnd)
  await pause(300)
  process.endCall()
  t.same(await result, callEnd)
  t.same(failures, [])
})

tap.test('a call in flight is answered although its host is not listed any more', async (t) => {
  const { pool, process, result } = await startCall(t)
  pool.retain(new Set())
  await pause(300)
  process.endCall()
  t.same(await result, callEnd)
})

tap.test('closing the pool fails the calls in flight, also those to former addresses', async (t) => {
  const { pool, result, failures } = await startCall(t)
  pool.get(host, (await startProcess(t)).address)
  pool.close()
  t.match(await result, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } })
  t.same(failures, [])
})
