import * as dgram from 'node:dgram'
import * as fs from 'node:fs'
import tap from 'tap'
import * as metrics from './index.js'

const page = new URL('../../../../../docs/metrics.md', import.meta.url)

interface Receiver {
  readonly port: number
  /** Resolves with the lines received once there are so many. */
  lines: (count: number) => Promise<readonly string[]>
  packets: () => number
}

async function receiver (t: { teardown: (run: () => unknown) => void }): Promise<Receiver> {
  const socket = dgram.createSocket('udp4')
  const seen: string[] = []
  let packets = 0
  await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  t.teardown(() => socket.close())
  socket.on('message', (packet) => {
    packets += 1
    seen.push(...packet.toString().split('\n').filter((line) => line !== ''))
  })

  async function lines (count: number): Promise<readonly string[]> {
    while (seen.length < count) await new Promise((resolve) => { socket.once('message', resolve) })
    return seen
  }

  return { port: socket.address().port, lines, packets: () => packets }
}

tap.test('values go out with prefix, kind and tags', async (t) => {
  const { port, lines } = await receiver(t)
  const sender = metrics.createMetrics({ host: '127.0.0.1', port, prefix: 'eelgrasswind.', tags: { host: 'h1' } })
  sender.increment('program.started')
  sender.increment('cache.reused_tokens', 120)
  sender.gauge('queue.length', 7)
  sender.timing('program.latency', 1520, { kind: 'quick-quote' })
  await sender.close()
  t.same(await lines(4), [
    'eelgrasswind.program.started:1|c|#host:h1',
    'eelgrasswind.cache.reused_tokens:120|c|#host:h1',
    'eelgrasswind.queue.length:7|g|#host:h1',
    'eelgrasswind.program.latency:1520|ms|#host:h1,kind:quick-quote'
  ])
})

tap.test('values are sent many to a packet', async (t) => {
  const { port, lines, packets } = await receiver(t)
  const sender = metrics.createMetrics({ host: '127.0.0.1', port, prefix: '', tags: {} })
  for (let i = 0; i < 300; i += 1) sender.increment('call.finished')
  await sender.close()
  t.equal((await lines(300)).length, 300)
  t.ok(packets() < 10)
})

tap.test('an absent receiver and metrics that are off disturb nobody', async (t) => {
  for (const settings of [{ host: '127.0.0.1', port: 9, prefix: '', tags: {} }, 'off'] as const) {
    const sender = metrics.createMetrics(settings)
    t.doesNotThrow(() => sender.gauge('host.live', 3))
    await t.resolves(sender.close())
  }
})

tap.test('docs/metrics.md shows the table', async (t) => {
  const rows = fs.readFileSync(page, 'utf8').split('\n').filter((line) => line.startsWith('| `'))
  const expected = Object.entries(metrics.metricTable).map(([name, { type, unit, meaning }]) => `| \`${name}\` | ${type} | ${unit} | ${meaning} |`)
  t.same(rows, expected)
})
