/** Free ports, for programs that must be told a port before they start. */
import * as net from 'node:net'

const loopback = '127.0.0.1'

/** Below the ports that systems give to outgoing connections: one of those may take a port between its choice and its use. */
const leastPort = 10_000
const mostPort = 32_000
/** Ports of one block. A process keeps a listener on the first one, so that no other process draws the others. */
const blockPorts = 64
const blockCount = Math.floor((mostPort - leastPort) / blockPorts)

function listen (server: net.Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, loopback, () => resolve())
  })
}

function close (server: net.Server): Promise<void> {
  return new Promise((resolve) => { server.close(() => resolve()) })
}

/** A server on the port; `undefined` while the port is taken. */
async function tryListen (port: number): Promise<net.Server | undefined> {
  const server = net.createServer((socket) => { socket.destroy() })
  try {
    await listen(server, port)
    return server
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw err
    return undefined
  }
}

/** Ports of the blocks of this process that were not drawn yet. */
const undrawnPorts: number[] = []

/** Draws of a block before it is given up: by then nearly each block was drawn. */
const maxBlockDraws = 4 * blockCount

/** Reserves a block for the rest of this process's life. */
async function reserveBlock (): Promise<void> {
  for (let draw = 0; draw < maxBlockDraws; draw += 1) {
    const first = leastPort + Math.floor(Math.random() * blockCount) * blockPorts
    const guard = await tryListen(first)
    if (guard === undefined) continue
    guard.unref()
    for (let port = first + blockPorts - 1; port > first; port -= 1) undrawnPorts.push(port)
    return
  }
  throw new Error(`no free block of ports from ${leastPort} to ${mostPort}`)
}

async function drawPort (): Promise<number> {
  for (;;) {
    const port = undrawnPorts.pop()
    if (port === undefined) {
      await reserveBlock()
      continue
    }
    // A program outside of the tests may listen on it.
    const server = await tryListen(port)
    if (server === undefined) continue
    await close(server)
    return port
  }
}

/** So many different ports of loopback that are free. This process draws none of them again, and no other test process does while this one lives. */
export async function freePorts (count: number): Promise<readonly number[]> {
  return Promise.all(Array.from({ length: count }, drawPort))
}

/** One free port of loopback. */
export async function freePort (): Promise<number> {
  const [port] = await freePorts(1)
  return port!
}

/** An address on loopback where connections are refused. */
export async function refusingAddress (): Promise<string> {
  return `http://${loopback}:${await freePort()}`
}
