import * as http2 from 'node:http2'
import * as net from 'node:net'
import tap from 'tap'
import * as sessionManager from './session-manager.js'

const pingIntervalMs = 50
const pingTimeoutMs = 2_000
const boundMs = 6_000

interface Way {
  readonly port: number
  /** Passes nothing on any more; connections stay open. */
  hold: () => void
  /** Ends the connections as a process does that exits; new ones are passed on. */
  end: (how: 'end' | 'reset') => void
  close: () => void
}

/** A way to a server that can be held up and ended. */
async function startWay (target: number): Promise<Way> {
  const pairs = new Set<readonly [net.Socket, net.Socket]>()
  const server = net.createServer((client) => {
    const upstream = net.connect(target, '127.0.0.1')
    pairs.add([client, upstream])
    for (const socket of [client, upstream]) socket.on('error', () => {})
    client.pipe(upstream)
    upstream.pipe(client)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as net.AddressInfo).port,
    hold () {
      for (const [client, upstream] of pairs) {
        client.unpipe(upstream)
        upstream.unpipe(client)
        client.resume()
      }
    },
    end (how) {
      for (const [client, upstream] of pairs) {
        upstream.destroy()
        if (how === 'end') client.end()
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

/** Status of one request, or how it failed; `late` where nothing came within the bound. */
async function ask (sessions: sessionManager.SessionManager): Promise<string> {
  const answered = new Promise<string>((resolve) => {
    sessions.request('GET', '/', {}, {}).then((stream) => {
      stream.on('response', (headers) => { resolve(String(headers[':status'])) })
      stream.on('error', () => { resolve('failed') })
      stream.on('close', () => { resolve('failed') })
      stream.resume()
      stream.end()
    }, () => { resolve('failed') })
  })
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<string>((resolve) => { timer = setTimeout(resolve, boundMs, 'late') })
  const result = await Promise.race([answered, late])
  clearTimeout(timer)
  return result
}

// Guards against a peer that is never asked again: the check of a silent connection that was closed did not end.
for (const how of ['end', 'reset'] as const) {
  tap.test(`a connection whose other side goes by ${how} while it is checked is given up`, async (t) => {
    const server = await startServer()
    const way = await startWay(server.port)
    const sessions = new sessionManager.SessionManager(`http://127.0.0.1:${way.port}`, { pingIntervalMs, pingTimeoutMs })
    t.teardown(() => { sessions.abort(); way.close(); server.close() })
    t.equal(await ask(sessions), '200')
    await new Promise((resolve) => { setTimeout(resolve, 3 * pingIntervalMs) })
    way.hold()
    const checked = ask(sessions)
    await new Promise((resolve) => { setTimeout(resolve, pingIntervalMs) })
    way.end(how)
    t.not(await checked, 'late')
    await new Promise((resolve) => { setTimeout(resolve, 3 * pingIntervalMs) })
    t.equal(await ask(sessions), '200')
  })
}
