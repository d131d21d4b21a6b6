import tap from 'tap'
import type * as net from 'node:net'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import * as upstreamWatch from './upstream-watch.js'

const upstream = { listed: { id: 'u1', address: 'a' } } as unknown as trackUpstreams.Upstream
const maxIdleConnections = 3

/** A watch with connections that the test opens and closes. */
function fixture (outcomes: readonly sendHttp.IdleConnection['outcome'][], evidence: sendHttp.ProcessEvidence = 'alive') {
  const timers = timerService.createManualTimers()
  const sockets = new Set<{ destroyed: boolean }>()
  const ended: string[] = []
  let listener: sendHttp.CloseListener = () => {}
  let openedCount = 0
  let examinedCount = 0
  const watch = new upstreamWatch.UpstreamWatch({
    timers,
    connections: {
      list: () => [...sockets] as unknown as net.Socket[],
      onClose: (_address, onClose) => {
        listener = onClose
        return () => { listener = () => {} }
      }
    },
    openIdleConnection: async () => {
      const outcome = outcomes[openedCount] ?? 'accepted'
      openedCount += 1
      if (outcome !== 'accepted') return { outcome }
      const socket = open()
      return { outcome, close: () => { close(socket, false) } }
    },
    examine: async () => {
      examinedCount += 1
      return evidence
    },
    onEnded: (_upstream, found) => { ended.push(found) }
  })
  const open = (): { destroyed: boolean } => {
    const socket = { destroyed: false }
    sockets.add(socket)
    return socket
  }
  const close = (socket: { destroyed: boolean }, byPeer: boolean): void => {
    socket.destroyed = true
    sockets.delete(socket)
    listener(byPeer)
  }
  const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
  }
  return { timers, watch, ended, sockets, open, close, settle, getCounts: () => ({ opened: openedCount, examined: examinedCount }) }
}

tap.test('an upstream is watched by the connections that are open, and by one that is opened where there is none', async (t) => {
  const withOne = fixture([])
  withOne.open()
  withOne.watch.watch(upstream, withOne.timers.monotonic() + 1_000, true)
  await withOne.settle()
  t.equal(withOne.getCounts().opened, 0)
  const without = fixture([])
  without.watch.watch(upstream, without.timers.monotonic() + 1_000, true)
  without.watch.watch(upstream, without.timers.monotonic() + 2_000, true)
  await without.settle()
  t.same([without.getCounts().opened, without.sockets.size], [1, 1])
  without.timers.advance(2_000)
  t.equal(without.sockets.size, 0, 'it is closed at the end of the watch')
})

tap.test('an upstream is examined once it has closed all connections', async (t) => {
  const { timers, watch, ended, open, close, settle, getCounts } = fixture([], 'ended')
  const [first, second] = [open(), open()]
  watch.watch(upstream, timers.monotonic() + 1_000, true)
  close(first, true)
  timers.advance(10)
  await settle()
  t.same([getCounts().examined, ended], [0, []], 'one is still open')
  close(second, true)
  timers.advance(10)
  await settle()
  t.same(ended, ['ended'])
})

// Guards against harmless requests that are blamed because this process stood still while it opened a connection.
tap.test('an upstream that takes no connection has ended only if it refuses it, or does not answer several times', async (t) => {
  const stalled = fixture(['noAnswer'])
  stalled.watch.watch(upstream, stalled.timers.monotonic() + 5_000, true)
  await stalled.settle()
  t.same([stalled.ended, stalled.getCounts().opened], [[], 2])
  const unreachable = fixture(['noAnswer', 'noAnswer', 'noAnswer'])
  unreachable.watch.watch(upstream, unreachable.timers.monotonic() + 5_000, true)
  await unreachable.settle()
  t.same([unreachable.ended, unreachable.getCounts().opened], [['unreachable'], maxIdleConnections])
  const refused = fixture(['refused'])
  refused.watch.watch(upstream, refused.timers.monotonic() + 5_000, true)
  await refused.settle()
  t.same(refused.ended, ['ended'])
})
