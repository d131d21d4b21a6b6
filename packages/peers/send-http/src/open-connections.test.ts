import * as diagnosticsChannel from 'node:diagnostics_channel'
import * as net from 'node:net'
import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as sendHttp from './index.js'

const timers = timerService.createRealTimers()
const timeoutMs = 500

async function startServer (t: { teardown: (run: () => unknown) => unknown }): Promise<{ readonly address: string, readonly sockets: net.Socket[], readonly server: net.Server }> {
  const sockets: net.Socket[] = []
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    sockets.push(socket)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, sockets, server }
}

async function openIdle (address: string, connections: sendHttp.OpenConnections): Promise<() => void> {
  const opened = await sendHttp.openIdleConnection(address, timeoutMs, connections)
  if (opened.outcome !== 'accepted') throw new Error(opened.outcome)
  return opened.close
}

tap.test('an idle connection tells which side closes it', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  const closings: boolean[] = []
  const stop = connections.onClose(address, (byPeer) => { closings.push(byPeer) })
  const close = await openIdle(address, connections)
  t.equal(connections.list(address).length, 1)
  close()
  await openIdle(address, connections)
  sockets.at(-1)!.end()
  await timerService.sleep(timers, 30)
  await openIdle(address, connections)
  sockets.at(-1)!.resetAndDestroy()
  await timerService.sleep(timers, 30)
  t.same([closings, connections.list(address)], [[false, true, true], []])
  stop()
  await timerService.sleep(timers, 80)
  t.equal(connections.countClosedByPeer(address), 0)
})

// Guards against an upstream that has started again within some ms and was taken for one that went on.
tap.test('a process that takes connections has ended if it closed all others at one moment', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  const closers = [await openIdle(address, connections), await openIdle(address, connections)]
  sockets[0]!.resetAndDestroy()
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'alive', 'another connection is open')
  closers.push(await openIdle(address, connections))
  for (const socket of sockets) socket.destroy()
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'ended')
  await timerService.sleep(timers, 80)
  closers.push(await openIdle(address, connections))
  sockets.at(-1)!.destroy()
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'unclear', 'one connection may have been lost')
  for (const close of closers) close()
})

/** Blocks the event loop for a time, in ms. */
function stall (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

/** Resolves as soon as no more than `count` connections are open. */
function waitForOpen (address: string, connections: sendHttp.OpenConnections, count: number): Promise<void> {
  return new Promise((resolve) => {
    const check = (): void => {
      if (connections.list(address).length > count) return
      stop()
      resolve()
    }
    const stop = connections.onClose(address, check)
    check()
  })
}

// Guards against closed connections that were forgotten at once with the last listener, so that a restarted process was not noticed.
tap.test('connections that were closed just now are counted after the last listener has left', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  for (let opened = 1; opened <= 2; opened += 1) {
    await openIdle(address, connections)
    while (sockets.length < opened) await timerService.sleep(timers, 1)
  }
  for (const socket of sockets) socket.destroy()
  await waitForOpen(address, connections, 0)
  t.equal(connections.countClosedByPeer(address), 2)
  await timerService.sleep(timers, 80)
  t.equal(connections.countClosedByPeer(address), 0)
})

// Guards against a process that had ended and was taken for alive: this process stalled, and judged before it had read the ends of its connections.
tap.test('connection ends that arrive during a stall are read before the process is judged', async (t) => {
  for (const closedBefore of [0, 1, 2]) {
    const { address, sockets } = await startServer(t)
    const connections = new sendHttp.OpenConnections()
    for (let opened = 1; opened <= 2; opened += 1) {
      await openIdle(address, connections)
      while (sockets.length < opened) await timerService.sleep(timers, 1)
    }
    for (const socket of sockets.splice(0, closedBefore)) socket.destroy()
    await waitForOpen(address, connections, 2 - closedBefore)
    const evidence = sendHttp.examineBreak(timers, address, connections)
    for (const socket of sockets) socket.destroy()
    stall(100)
    t.equal(await evidence, 'ended', `${closedBefore} of 2 connections were closed before`)
  }
})

/** Opens an idle connection and returns the socket at its other end. */
async function openPair (address: string, sockets: readonly net.Socket[], connections: sendHttp.OpenConnections): Promise<net.Socket> {
  const known = sockets.length
  await openIdle(address, connections)
  while (sockets.length === known) await timerService.sleep(timers, 1)
  return sockets.at(-1)!
}

// Guards against a process that went on and was taken for ended, since it had closed one connection after the other.
tap.test('connections that are closed one after the other do not show the end of a process', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  t.teardown(connections.onClose(address, () => {}))
  for (let opened = 1; opened <= 3; opened += 1) {
    const socket = await openPair(address, sockets, connections)
    socket.destroy()
    await waitForOpen(address, connections, 0)
  }
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'unclear', 'each was opened after the one before had been closed')
  const overlapping = [await openPair(address, sockets, connections), await openPair(address, sockets, connections)]
  for (const [index, socket] of overlapping.entries()) {
    await timerService.sleep(timers, 25)
    socket.destroy()
    await waitForOpen(address, connections, 1 - index)
  }
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'unclear', 'both were open, and closed 25 ms apart')
})

// Guards against a process that had ended and was taken for one that went on: this process stalled between the ends of two connections.
tap.test('connections whose ends are read before and after a stall were closed at one moment', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  t.teardown(connections.onClose(address, () => {}))
  const [first, second] = [await openPair(address, sockets, connections), await openPair(address, sockets, connections)]
  const stop = connections.onClose(address, () => {
    stop()
    second.destroy()
    stall(30)
  })
  first.destroy()
  await waitForOpen(address, connections, 0)
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'ended')
})

// Guards against an end that was overlooked because the process had started again and closed a further connection.
tap.test('connections that are closed at one moment show the end of a process, whatever is closed right after', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  t.teardown(connections.onClose(address, () => {}))
  for (const socket of [await openPair(address, sockets, connections), await openPair(address, sockets, connections)]) socket.destroy()
  await waitForOpen(address, connections, 0)
  const next = await openPair(address, sockets, connections)
  next.destroy()
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'ended')
})

// Guards against an upstream that writes without end on a connection that only shows whether it has ended.
tap.test('an idle connection on which bytes come without end is closed; one with a few bytes is not', async (t) => {
  const { address, sockets } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  const closings: boolean[] = []
  t.teardown(connections.onClose(address, (byPeer) => { closings.push(byPeer) }))
  const quiet = await openPair(address, sockets, connections)
  quiet.write('HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n')
  const endless = await openPair(address, sockets, connections)
  const bytes = Buffer.alloc(65_536, 'x')
  const writeMore = (): void => { if (!endless.destroyed) endless.write(bytes, () => { setImmediate(writeMore) }) }
  writeMore()
  await Promise.race([waitForOpen(address, connections, 1), timerService.sleep(timers, 1_000)])
  t.same([closings, connections.list(address).length], [[false], 1])
  endless.destroy()
  quiet.destroy()
})

tap.test('an address that can not be is never connected to', async (t) => {
  for (const address of ['127.0.0.1:0', '127.0.0.1:99999', '127.0.0.1:', '127.0.0.1:x']) {
    t.same(await sendHttp.openIdleConnection(address, timeoutMs, new sendHttp.OpenConnections()), { outcome: 'noAnswer' }, address)
  }
})

/** Stalls for a time, in ms, as soon as the next connection is on its way. */
function stallOnNextConnection (ms: number): void {
  const onSocket = (): void => {
    diagnosticsChannel.unsubscribe('net.client.socket', onSocket)
    // The connection is begun in the next tick.
    process.nextTick(() => { process.nextTick(() => { stall(ms) }) })
  }
  diagnosticsChannel.subscribe('net.client.socket', onSocket)
}

// Guards against a process that goes on and was taken for unreachable: this process stalled, and its timeout ran before it had read that the connection was accepted.
tap.test('a connection that is accepted during a stall counts as accepted', async (t) => {
  const { address } = await startServer(t)
  stallOnNextConnection(100)
  t.equal(await sendHttp.probeConnection(address, 60), 'accepted')
  stallOnNextConnection(100)
  const opened = await sendHttp.openIdleConnection(address, 60, new sendHttp.OpenConnections())
  t.equal(opened.outcome, 'accepted')
  if (opened.outcome === 'accepted') opened.close()
})

tap.test('a process that goes on is alive, though this process stalls while it connects', async (t) => {
  const { address } = await startServer(t)
  const connections = new sendHttp.OpenConnections()
  const closers = [await openIdle(address, connections), await openIdle(address, connections)]
  stallOnNextConnection(100)
  t.equal(await sendHttp.examineBreak(timers, address, connections), 'alive')
  for (const close of closers) close()
})
