import * as dgram from 'node:dgram'
import * as fs from 'node:fs'
import tap from 'tap'
import * as metrics from './index.js'

const pageUrl = new URL('../../../../../docs/metrics.md', import.meta.url)

interface Receiver {
  readonly port: number
  /** Resolves with the received lines once there are at least `count`. */
  waitForLines: (count: number) => Promise<readonly string[]>
  getPacketCount: () => number
}

async function startReceiver (t: { teardown: (run: () => unknown) => void }): Promise<Receiver> {
  const socket = dgram.createSocket('udp4')
  const receivedLines: string[] = []
  let packetCount = 0
  await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  t.teardown(() => socket.close())
  socket.on('message', (packet) => {
    packetCount += 1
    receivedLines.push(...packet.toString().split('\n').filter((line) => line !== ''))
  })

  async function waitForLines (count: number): Promise<readonly string[]> {
    while (receivedLines.length < count) await new Promise((resolve) => { socket.once('message', resolve) })
    return receivedLines
  }

  return { port: socket.address().port, waitForLines, getPacketCount: () => packetCount }
}

tap.test('values are sent with prefix, type and tags', async (t) => {
  const { port, waitForLines } = await startReceiver(t)
  const sender = metrics.createMetrics({ host: '127.0.0.1', port, prefix: 'eelgrasswind.', tags: { host: 'h1' } })
  sender.increment('program.started')
  sender.increment('cache.reused_tokens', 120)
  sender.gauge('queue.length', 7)
  sender.timing('program.latency', 1520, { kind: 'quick-quote' })
  await sender.close()
  t.same(await waitForLines(4), [
    'eelgrasswind.program.started:1|c|#host:h1',
    'eelgrasswind.cache.reused_tokens:120|c|#host:h1',
    'eelgrasswind.queue.length:7|g|#host:h1',
    'eelgrasswind.program.latency:1520|ms|#host:h1,kind:quick-quote'
  ])
})

tap.test('a packet has many values', async (t) => {
  const { port, waitForLines, getPacketCount } = await startReceiver(t)
  const sender = metrics.createMetrics({ host: '127.0.0.1', port, prefix: '', tags: {} })
  for (let i = 0; i < 300; i += 1) sender.increment('call.finished')
  await sender.close()
  t.equal((await waitForLines(300)).length, 300)
  t.ok(getPacketCount() < 10)
})

tap.test('an absent receiver and metrics that are off cause no error', async (t) => {
  for (const settings of [{ host: '127.0.0.1', port: 9, prefix: '', tags: {} }, 'off'] as const) {
    const sender = metrics.createMetrics(settings)
    t.doesNotThrow(() => sender.gauge('host.live', 3))
    await t.resolves(sender.close())
  }
})

tap.test('docs/metrics.md has the table of metrics', async (t) => {
  const rows = fs.readFileSync(pageUrl, 'utf8').split('\n').filter((line) => line.startsWith('| `'))
  const expected = Object.entries(metrics.metricTable).map(([name, { type, unit, meaning }]) => `| \`${name}\` | ${type} | ${unit} | ${meaning} |`)
  t.same(rows, expected)
})
