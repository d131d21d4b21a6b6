/** Free ports, for programs that must be told a port before they start. */
import * as net from 'node:net'

const loopback = '127.0.0.1'

function listen (server: net.Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, loopback, () => resolve((server.address() as net.AddressInfo).port))
  })
}

function close (server: net.Server): Promise<void> {
  return new Promise((resolve) => { server.close(() => resolve()) })
}

/** So many different ports of loopback that were free just now. */
export async function freePorts (count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer())
  const ports = await Promise.all(servers.map(listen))
  await Promise.all(servers.map(close))
  return ports
}

/** One port of loopback that was free just now. */
export async function freePort (): Promise<number> {
  const [port] = await freePorts(1)
  return port!
}

/** An address on loopback where connections are refused. */
export async function refusingAddress (): Promise<string> {
  return `http://${loopback}:${await freePort()}`
}
