import * as http2 from 'node:http2'
import * as net from 'node:net'
import tap from 'tap'
import * as sessionManager from './session-manager.js'

const pingIntervalMs = 50
const pingTimeoutMs = 2_000
const responseTimeoutMs = 6_000

interface Proxy {
  readonly port: number
  /** Stops forwarding; connections stay open. */
  stopForwarding: () => void
  /** Closes the connections like a process that exits; new connections are forwarded. */
  endConnections: (ending: 'end' | 'reset') => void
  close: () => void
}

/** TCP proxy to a local port whose connections can be stalled and closed. */
async function startProxy (targetPort: number): Promise<Proxy> {
  const pairs = new Set<readonly [net.Socket, net.Socket]>()
  const server = net.createServer((client) => {
    const upstream = net.connect(targetPort, '127.0.0.1')
    pairs.add([client, upstream])
    for (const socket of [client, upstream]) socket.on('error', () => {})
    client.pipe(upstream)
    upstream.pipe(client)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as net.AddressInfo).port,
    stopForwarding () {
      for (const [client, upstream] of pairs) {
        client.unpipe(upstream)
        upstream.unpipe(client)
        client.resume()
      }
    },
    endConnections (ending) {
      for (const [client, upstream] of pairs) {
        upstream.destroy()
        if (ending === 'end') client.end()
        else client.resetAndDestroy()
      }
      pairs.clear()
    },
    close () {
      for (const [client, upstream] of pairs) {
        client.destroy()
        upstream.destroy()
      }
      server.close()
    }
  }
}

async function startServer (): Promise<{ readonly port: number, readonly close: () => void }> {
  const server = http2.createServer((_req, res) => { res.end('ok') })
  const sessions = new Set<http2.ServerHttp2Session>()
  server.on('session', (session) => { sessions.add(session) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as net.AddressInfo).port,
    close () {
      for (const session of sessions) session.destroy()
      server.close()
    }
  }
}

/** Status of one request, `failed`, or `late` without a result within the timeout. */
async function sendRequest (sessions: sessionManager.SessionManager): Promise<string> {
  const outcome = new Promise<string>((resolve) => {
    sessions.request('GET', '/', {}, {}).then((stream) => {
      stream.on('response', (headers) => { resolve(String(headers[':status'])) })
      stream.on('error', () => { resolve('failed') })
      stream.on('close', () => { resolve('failed') })
      stream.resume()
      stream.end()
    }, () => { resolve('failed') })
  })
  let timer: NodeJS.Timeout | undefined
  const timedOut = new Promise<string>((resolve) => { timer = setTimeout(resolve, responseTimeoutMs, 'late') })
  const result = await Promise.race([outcome, timedOut])
  clearTimeout(timer)
  return result
}

// Guards against a peer that gets no further requests: the ping check of an idle connection never completed if the connection was closed meanwhile.
for (const ending of ['end', 'reset'] as const) {
  tap.test(`a connection that the peer closes by ${ending} during a ping check is replaced`, async (t) => {
    const server = await startServer()
    const proxy = await startProxy(server.port)
    const sessions = new sessionManager.SessionManager(`http://127.0.0.1:${proxy.port}`, { pingIntervalMs, pingTimeoutMs })
    t.teardown(() => { sessions.abort(); proxy.close(); server.close() })
    t.equal(await sendRequest(sessions), '200')
    await new Promise((resolve) => { setTimeout(resolve, 3 * pingIntervalMs) })
    proxy.stopForwarding()
    const pendingRequest = sendRequest(sessions)
    await new Promise((resolve) => { setTimeout(resolve, pingIntervalMs) })
    proxy.endConnections(ending)
    t.not(await pendingRequest, 'late')
    await new Promise((resolve) => { setTimeout(resolve, 3 * pingIntervalMs) })
    t.equal(await sendRequest(sessions), '200')
  })
}
