import * as net from 'node:net'
import tap from 'tap'
import * as sendHttp from './send-http.js'

interface Received {
  readonly status: number | undefined
  readonly body: string
  readonly ended: boolean
  readonly failure: sendHttp.SendFailure | undefined
}

const sender = sendHttp.createSender({ idleTimeoutMs: 1_000, shortIdleTimeoutMs: 60 })
tap.teardown(() => { sender.close() })

/** A server that answers what it has received so far with raw bytes. */
async function listen (t: Pick<typeof tap, 'teardown'>, onData: (socket: net.Socket, received: string) => void): Promise<string> {
  const server = net.createServer((socket) => {
    let received = ''
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      received += chunk.toString()
      onData(socket, received)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

function send (address: string, options: { readonly confirmMs?: number, readonly body?: string, readonly atMostOnce?: boolean } = {}): Promise<Received> {
  const body = Buffer.from(options.body ?? 'hello')
  return new Promise((resolve) => {
    let status: number | undefined
    let text = ''
    sender.send({ address, method: 'POST', path: '/x', headers: ['Host', 'h', 'Content-Length', String(body.length)], body, connectTimeoutMs: 200, continueTimeoutMs: options.confirmMs, atMostOnce: options.atMostOnce ?? false }, {
      onHead: (head) => { status = head.status },
      onData: (chunk) => { text += chunk.toString() },
      onComplete: () => { resolve({ status, body: text, ended: true, failure: undefined }) },
      onFailed: (failure) => { resolve({ status, body: text, ended: false, failure }) }
    })
  })
}

const ok = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

tap.test('a whole answer, on one connection after another request', async (t) => {
  const ports = new Set<number>()
  const address = await listen(t, (socket, received) => {
    ports.add(socket.remotePort!)
    if (received.endsWith('hello')) socket.write(ok)
  })
  t.match(await send(address), { status: 200, body: 'ok', ended: true })
  t.match(await send(address), { status: 200, body: 'ok', ended: true })
  t.equal(ports.size, 1)
})

tap.test('once a rested connection was reset, what must not run twice goes out on a fresh one', async (t) => {
  const ports: number[] = []
  // Drops a connection that rested without a word: what comes next on it is reset.
  const address = await listen(t, (socket, received) => {
    if (!received.endsWith('hello')) return
    const restedAt = served.get(socket)
    if (restedAt !== undefined && Date.now() - restedAt >= 80) {
      socket.resetAndDestroy()
      return
    }
    ports.push(socket.remotePort!)
    served.set(socket, Date.now())
    socket.write(ok)
  })
  const served = new Map<net.Socket, number>()
  t.match(await send(address), { status: 200 })
  t.match(await send(address, { atMostOnce: true }), { status: 200 })
  t.equal(new Set(ports).size, 1, 'one connection as long as nothing is wrong')
  await new Promise((resolve) => { setTimeout(resolve, 120) })
  t.match((await send(address)).failure, { verdict: 'mayHaveRun', reused: true })
  for (let count = 0; count < 3; count += 1) {
    t.match(await send(address, { atMostOnce: true }), { status: 200 })
    await new Promise((resolve) => { setTimeout(resolve, 120) })
  }
  t.equal(new Set(ports).size, 4)
})

tap.test('a refused connection did not run', async (t) => {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  t.match((await send(`127.0.0.1:${port}`)).failure, { verdict: 'notRun', cause: 'refused' })
})

tap.test('a reset after the request may have run', async (t) => {
  const address = await listen(t, (socket) => { socket.resetAndDestroy() })
  t.match((await send(address)).failure, { verdict: 'mayHaveRun' })
})

tap.test('without a go-ahead it has not run, and its body was not sent', async (t) => {
  let seen = ''
  const address = await listen(t, (_socket, received) => { seen = received })
  t.match((await send(address, { confirmMs: 50 })).failure, { verdict: 'notRun', cause: 'unconfirmed' })
  t.match(seen, /Expect: 100-continue/i)
  t.notMatch(seen, /hello/)
})

tap.test('the body follows the go-ahead; what breaks off then may have run', async (t) => {
  const answering = await listen(t, (socket, received) => {
    if (received.endsWith('hello')) socket.write(ok)
    else if (received.endsWith('\r\n\r\n')) socket.write('HTTP/1.1 100 Continue\r\n\r\n')
  })
  t.match(await send(answering, { confirmMs: 500 }), { status: 200, ended: true })
  const breaking = await listen(t, (socket, received) => {
    if (received.endsWith('hello')) socket.resetAndDestroy()
    else if (received.endsWith('\r\n\r\n')) socket.write('HTTP/1.1 100 Continue\r\n\r\n')
  })
  t.match((await send(breaking, { confirmMs: 500 })).failure, { verdict: 'mayHaveRun' })
})

tap.test('an answer that is cut is not complete, however its end is marked', async (t) => {
  const cuts = [
    'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'
  ]
  for (const cut of cuts) {
    const address = await listen(t, (socket) => { socket.end(cut) })
    t.match(await send(address), { ended: false, failure: { verdict: 'mayHaveRun' } }, cut.split('\r\n')[1]!)
  }
})

tap.test('an answer without a length ends with its connection, but not by a reset', async (t) => {
  const whole = await listen(t, (socket) => { socket.end('HTTP/1.1 200 OK\r\n\r\nall') })
  t.match(await send(whole), { status: 200, body: 'all', ended: true })
  const reset = await listen(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
  })
  t.match(await send(reset), { ended: false, failure: { verdict: 'mayHaveRun' } })
})

tap.test('bytes that are no answer are told, and later requests are unharmed', async (t) => {
  let requests = 0
  const address = await listen(t, (socket, received) => {
    if (!received.endsWith('hello')) return
    requests += 1
    socket.write(requests === 1 ? 'garbage\r\n\r\n' : ok)
  })
  t.match((await send(address)).failure, { verdict: 'mayHaveRun', cause: 'malformed' })
  t.match(await send(address), { status: 200, body: 'ok', ended: true })
})

tap.test('a second answer behind the first reaches no later request', async (t) => {
  const address = await listen(t, (socket, received) => {
    if (received.endsWith('hello')) socket.write(ok + 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra')
  })
  t.match(await send(address), { body: 'ok', ended: true })
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  const second = await send(address)
  t.not(second.body, 'extra')
})
