import * as dgram from 'node:dgram'
import type * as net from 'node:net'
import tap from 'tap'
import * as fc from 'fast-check'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as loadMessage from './load-message.js'
import * as loadSharer from './load-sharer.js'

const id = (name: string) => name as types.UpstreamId

tap.test('a message comes back as it was sent, as far as a datagram holds it', (t) => {
  const ids = fc.string({ minLength: 1, maxLength: 12 })
  const counts = fc.uniqueArray(fc.tuple(ids, fc.integer({ min: 1, max: 200 })), { maxLength: 90, selector: ([name]) => name })
  const mark = fc.record({ upstream: ids, mark: fc.constantFrom('failed' as const, 'slow' as const), count: fc.integer({ min: 1, max: 9 }) })
  fc.assert(fc.property(counts, fc.array(mark, { maxLength: 60 }), (running, marks) => {
    const bytes = loadMessage.encodeLoad({ running: new Map(running.map(([name, count]) => [id(name), count])), marks: marks as unknown as trackUpstreams.MarkReport[] })
    const found = loadMessage.decodeLoad(bytes)
    const kept = new Map(running)
    return bytes.length <= 1_400 && found.marks.length === Math.min(50, marks.length) && [...found.running].every(([name, count]) => kept.get(name) === count)
  }), { seed: 3, numRuns: 300 })
  t.end()
})

tap.test('bytes that are no message are refused, whatever they are', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
    try {
      loadMessage.decodeLoad(bytes)
      return true
    } catch (err) {
      return err instanceof loadMessage.LoadMessageError
    }
  }), { seed: 4, numRuns: 2_000 })
  t.end()
})

async function freePort (): Promise<number> {
  const socket = dgram.createSocket('udp4')
  await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  const { port } = socket.address() as net.AddressInfo
  await new Promise<void>((resolve) => { socket.close(() => { resolve() }) })
  return port
}

async function startSharer (t: Pick<typeof tap, 'teardown'>, port: number, peers: readonly string[], timers: timerService.ManualTimers) {
  const upstreams = new trackUpstreams.UpstreamList()
  upstreams.put({ id: id('a'), service: 's' as types.ServiceId, address: 'a:1', name: 'n', slots: 6, leaving: false })
  const loads = new trackUpstreams.PeerLoads()
  const marks: trackUpstreams.MarkReport[] = []
  const noted: string[] = []
  const sharer = new loadSharer.LoadSharer(`127.0.0.1:${port}`, {
    upstreams,
    loads,
    peers: () => peers,
    onMarksReceived: (found) => { marks.push(...found) },
    timers,
    decisions: { note: ({ event }) => { noted.push(event) } } satisfies decisionLog.DecisionLog
  })
  await sharer.start()
  t.teardown(() => { sharer.close() })
  return { upstreams, loads, marks, noted, sharer }
}

async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

tap.test('two processes hear of one another, also where only one knew the other', async (t) => {
  const timers = timerService.createManualTimers()
  const [first, second] = [await freePort(), await freePort()]
  const one = await startSharer(t, first, [`127.0.0.1:${second}`], timers)
  const two = await startSharer(t, second, [], timers)
  one.upstreams.get(id('a'))!.running = 2
  one.sharer.recordMark(id('a'), 'failed')
  one.sharer.recordMark(id('a'), 'failed')
  timers.advance(400)
  await until(() => two.loads.getRunning(id('a')) === 2)
  t.same(two.marks, [{ upstream: 'a', mark: 'failed', count: 2 }])
  two.upstreams.get(id('a'))!.running = 1
  timers.advance(400)
  await until(() => one.loads.getRunning(id('a')) === 1)
  t.equal(two.marks.length, 1, 'marks are told once')
})

tap.test('many peers are told in turn, and each hears of every mark once', async (t) => {
  const timers = timerService.createManualTimers()
  const ports = await Promise.all(Array.from({ length: 31 }, () => freePort()))
  const others = await Promise.all(ports.slice(1).map((port) => startSharer(t, port, [], timers)))
  const { sharer } = await startSharer(t, ports[0]!, ports.slice(1).map((port) => `127.0.0.1:${port}`), timers)
  for (let round = 0; round < 8; round += 1) {
    sharer.recordMark(id('a'), 'failed')
    timers.advance(400)
    await new Promise((resolve) => { setTimeout(resolve, 10) })
  }
  for (let round = 0; round < 3; round += 1) {
    timers.advance(400)
    await new Promise((resolve) => { setTimeout(resolve, 10) })
  }
  t.same(new Set(others.map(({ marks }) => marks.reduce((sum, { count }) => sum + count, 0))), new Set([8]))
})

tap.test('a port that is taken is told, and the process does without reports', async (t) => {
  const timers = timerService.createManualTimers()
  const port = await freePort()
  await startSharer(t, port, [], timers)
  const { noted } = await startSharer(t, port, [], timers)
  t.same(noted, ['loadNotShared'])
  timers.advance(400)
})

tap.test('a peer whose address is none is told and left out', async (t) => {
  const timers = timerService.createManualTimers()
  const [first, second] = [await freePort(), await freePort()]
  const one = await startSharer(t, first, ['nowhere', '127.0.0.1:0', '127.0.0.1:99999', `127.0.0.1:${second}`], timers)
  const two = await startSharer(t, second, [], timers)
  one.upstreams.get(id('a'))!.running = 2
  timers.advance(400)
  await until(() => two.loads.getRunning(id('a')) === 2)
  t.same(one.noted, ['loadNotShared'])
})

tap.test('a datagram of another kind is told and changes nothing', async (t) => {
  const timers = timerService.createManualTimers()
  const port = await freePort()
  const { loads, noted } = await startSharer(t, port, [], timers)
  const socket = dgram.createSocket('udp4')
  t.teardown(() => { socket.close() })
  socket.send(Buffer.from('hello'), port, '127.0.0.1')
  await until(() => noted.length > 0)
  t.same(noted, ['loadReportUnreadable'])
  t.equal(loads.peerCount, 0)
})
