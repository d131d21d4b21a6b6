import * as workerThreads from 'node:worker_threads'
import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import * as peerProbe from './peer-probe.js'

const leaseMs = 1_100
const connectTimeoutMs = 200

/** A peer whose answers to pings, in order, take `answerMs`; `connections`: the outcomes of attempts to connect, in order. */
function fixture (answerMs: readonly number[], connections: readonly sendHttp.ConnectionProbe[]) {
  const timers = timerService.createManualTimers()
  const pinged: string[] = []
  const suspected: string[] = []
  let connectionCount = 0
  const remaining = [...connections]
  const probe = new peerProbe.PeerProbe({
    liveness: { isAlive: () => false, hasFallenSilent: () => true },
    timers,
    pingTimeoutMs: leaseMs,
    onSuspected: (address) => { suspected.push(address) },
    decisions: decisionLog.createSilentDecisionLog(),
    ping: async (address, timeoutMs) => {
      const takesMs = answerMs[pinged.push(address) - 1] ?? Infinity
      await timerService.sleep(timers, Math.min(takesMs, timeoutMs))
      return takesMs <= timeoutMs
    },
    connect: async () => {
      connectionCount += 1
      const outcome = remaining.shift() ?? 'noAnswer'
      await timerService.sleep(timers, outcome === 'noAnswer' ? connectTimeoutMs : 1)
      return outcome
    }
  })
  const outcomes: { readonly isReachable: boolean, readonly tookMs: number }[] = []
  const run = async (): Promise<typeof outcomes> => {
    const startedAt = timers.monotonic()
    void probe.isReachable('a').then((isReachable) => { outcomes.push({ isReachable, tookMs: timers.monotonic() - startedAt }) })
    await timers.advanceAsync(2 * leaseMs)
    return outcomes
  }
  return { timers, probe, pinged, suspected, countConnections: () => connectionCount, run }
}

tap.test('concurrent probes of a peer share one ping', async (t) => {
  const { timers, probe, pinged } = fixture([1, 1], [])
  const answers = Promise.all([probe.isReachable('a'), probe.isReachable('a'), probe.isReachable('b')])
  await timers.advanceAsync(10)
  t.same(await answers, [true, true, true])
  t.same(pinged, ['a', 'b'])
})

// Guards against answers that were cut because their owner was too busy to answer a ping in time.
tap.test('a busy peer, whose host accepts connections, is reachable however late it answers', async (t) => {
  for (const answerMs of [600, 1_050, Infinity]) t.same(await fixture([answerMs], ['accepted']).run(), [{ isReachable: true, tookMs: 51 }])
})

tap.test('one lost packet does not make a host unreachable', async (t) => {
  t.same(await fixture([Infinity], ['noAnswer', 'accepted']).run(), [{ isReachable: true, tookMs: 251 }])
})

tap.test('a peer that has ended, or whose host accepts no connection, is not reachable', async (t) => {
  t.same(await fixture([], ['refused']).run(), [{ isReachable: false, tookMs: 51 }])
  t.same(await fixture([], ['noAnswer', 'noAnswer']).run(), [{ isReachable: false, tookMs: 450 }])
})

tap.test('a peer is suspected as soon as its host does not accept a connection at once', async (t) => {
  const { probe, suspected, timers } = fixture([], ['noAnswer', 'noAnswer'])
  void probe.isReachable('a')
  await timers.advanceAsync(110)
  t.same(suspected, ['a'])
})

// Guards against a busy peer that is kept busy by the connections that are opened to find out whether it is alive.
tap.test('a peer that was just reached gets no further connection', async (t) => {
  const { probe, timers, countConnections } = fixture([], ['accepted', 'accepted'])
  for (let count = 0; count < 4; count += 1) {
    void probe.isReachable('a')
    await timers.advanceAsync(60)
  }
  t.equal(countConnections(), 1)
  await timers.advanceAsync(250)
  void probe.isReachable('a')
  await timers.advanceAsync(60)
  t.equal(countConnections(), 2)
})

// Guards against an owner that was given up though it had answered: connections to it failed while the answer was on its way.
tap.test('a peer that answers while connections to its host are tried is alive', async (t) => {
  t.same(await fixture([450], ['noAnswer', 'noAnswer']).run(), [{ isReachable: true, tookMs: 450 }])
})

/** Blocks the event loop for a time, in ms. */
function stall (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

// Guards against an owner that was given up because the process that asked was late itself.
tap.test('a peer is alive, though the process that asks is stalled for 0.25 s again and again', async (t) => {
  const worker = new workerThreads.Worker("const server = require('node:http').createServer((req, res) => { req.resume(); res.end('x') }); server.listen(0, '127.0.0.1', () => { require('node:worker_threads').parentPort.postMessage(server.address().port) })", { eval: true })
  t.teardown(() => worker.terminate())
  const port = await new Promise<number>((resolve) => { worker.once('message', resolve) })
  const timers = timerService.createRealTimers()
  const sender = sendHttp.createSender({ idleTimeoutMs: 3_500, shortIdleTimeoutMs: 250, onSinkError: () => {} })
  t.teardown(() => { sender.close() })
  const probe = new peerProbe.PeerProbe({
    liveness: { isAlive: () => false, hasFallenSilent: () => true },
    timers,
    pingTimeoutMs: leaseMs,
    onSuspected: () => {},
    decisions: decisionLog.createSilentDecisionLog(),
    ping: async (address, timeoutMs) => (await sendHttp.sendBuffered(sender, timers, { address, method: 'PUT', path: '/', headers: ['Host', address, 'Content-Length', '1'], body: Buffer.from('x'), connectTimeoutMs, continueTimeoutMs: undefined, atMostOnce: false, maxAnswerBytes: 100 }, timeoutMs)).type !== 'failed',
    connect: (address) => sendHttp.probeConnection(address, connectTimeoutMs)
  })
  let isDone = false
  const stallAgain = (): void => {
    if (isDone) return
    stall(250)
    setImmediate(stallAgain)
  }
  const answer = probe.isReachable(`127.0.0.1:${port}`)
  setImmediate(stallAgain)
  t.equal(await answer, true)
  isDone = true
})
