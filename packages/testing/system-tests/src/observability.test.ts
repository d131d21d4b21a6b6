import * as dgram from 'node:dgram'
import * as http from 'node:http'
import type * as net from 'node:net'
import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'

interface Span {
  readonly name: string
  readonly traceId: string
}

/** A receiver of StatsD lines. */
async function receiveMetrics (t: { teardown: (run: () => unknown) => void }): Promise<{ port: number, lines: string[] }> {
  const lines: string[] = []
  const socket = dgram.createSocket('udp4')
  socket.on('message', (packet) => { lines.push(...packet.toString().split('\n')) })
  await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  t.teardown(() => socket.close())
  return { port: socket.address().port, lines }
}

/** A collector of spans in the OTLP form with JSON. */
async function collectSpans (t: { teardown: (run: () => unknown) => void }): Promise<{ url: string, spans: Span[] }> {
  const spans: Span[] = []
  const server = http.createServer((req, res) => {
    let body = ''
    req.on('data', (chunk: Buffer) => { body += chunk.toString() })
    req.on('end', () => {
      const sent = JSON.parse(body) as { resourceSpans: { scopeSpans: { spans: Span[] }[] }[] }
      spans.push(...sent.resourceSpans.flatMap((one) => one.scopeSpans).flatMap((one) => one.spans))
      res.end('{}')
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.closeAllConnections(); server.close() })
  return { url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/v1/traces`, spans }
}

tap.test('one call gives a span for each hop under one trace, and metrics', async (t) => {
  const { port, lines } = await receiveMetrics(t)
  const { url, spans } = await collectSpans(t)
  const system = await testUtils.startSystem(t, { ...testUtils.smallPlan, settings: { metrics: { address: '127.0.0.1', port }, tracesUrl: url } })
  const caller = system.caller(0)
  t.ok((await caller.start('seen', { kind: 'roster-walk' })).ok)
  const called = await caller.complete('seen', { model: 'quote-8b', messages: [{ role: 'user', content: 'hello' }] }, { key: 'k1', seq: 1 })
  t.ok(called.ok)
  t.ok((await caller.finish('seen')).ok)

  const hops = ['entry call', 'home call', 'sidecar dispatch', 'upstream', 'log append']
  await testUtils.eventually(() => hops.every((name) => spans.some((span) => span.name === name)), 15_000)
  const traceId = spans.find((span) => span.name === 'entry call')!.traceId
  for (const name of hops) t.ok(spans.some((span) => span.name === name && span.traceId === traceId), name)

  const names = ['request.finished', 'program.started', 'call.finished', 'call.latency', 'call.first_token', 'program.finished', 'program.in_time', 'process.memory', 'log.appends', 'config.version']
  const missing = (): string[] => names.filter((name) => !lines.some((line) => line.startsWith(`eelgrasswind.${name}:`)))
  await testUtils.eventually(() => missing().length === 0, 20_000).catch(() => undefined)
  t.same(missing(), [])
})
