import * as net from 'node:net'
import tap from 'tap'
import * as peerListener from './peer-listener.js'

const filler = Buffer.from('0'.repeat(65_536))
const lines = Buffer.from('\r\n'.repeat(32_768))
const head = 'PUT /peer-call HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
const maxFlowMs = 1_000

/** Sends bytes without end, and returns for how long they were read, in ms. */
async function play (begin: string, repeated: Buffer): Promise<number> {
  const server = peerListener.createPeerServer({} as peerListener.PeerListenerPorts, 5_000)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  client.on('error', () => {})
  const startedAt = performance.now()
  const closed = new Promise<void>((resolve) => { client.once('close', () => { resolve() }) })
  const writeMore = (): void => { if (!client.destroyed) client.write(repeated, () => { setImmediate(writeMore) }) }
  client.write(begin)
  writeMore()
  await Promise.race([closed, new Promise((resolve) => { setTimeout(resolve, 2 * maxFlowMs).unref() })])
  const flowMs = performance.now() - startedAt
  client.destroy()
  server.closeAllConnections()
  server.close()
  return Math.round(flowMs)
}

// Guards against a faulty process of the own fleet that keeps a front reading what is no call.
tap.test('bytes without end from a peer are cut off', async (t) => {
  for (const [name, begin, repeated] of [['chunk size', head, filler], ['blank lines', '', lines]] as const) {
    const flowMs = await play(begin, repeated)
    t.ok(flowMs <= maxFlowMs, `${name}: flowed for ${flowMs} ms`)
  }
})
