import * as childProcess from 'node:child_process'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as util from 'node:util'
import * as fc from 'fast-check'
import tap from 'tap'
import * as tracing from './index.js'

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'

interface ExportedSpan {
  readonly name: string
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly status: { readonly code: number }
  readonly attributes: readonly { readonly key: string }[]
}

interface Collector {
  readonly url: string
  readonly bodies: readonly ExportRequest[]
}

interface ExportRequest {
  readonly resourceSpans: readonly { readonly resource: unknown, readonly scopeSpans: readonly { readonly spans: readonly ExportedSpan[] }[] }[]
}

async function startCollector (t: { teardown: (run: () => unknown) => void }): Promise<Collector> {
  const bodies: ExportRequest[] = []
  const server = http.createServer(async (req, res) => {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    bodies.push(JSON.parse(Buffer.concat(chunks).toString()) as ExportRequest)
    res.setHeader('content-type', 'application/json').end('{}')
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.closeAllConnections(); server.close() })
  return { url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/v1/traces`, bodies }
}

function listSpans (bodies: readonly ExportRequest[]): ExportedSpan[] {
  return bodies.flatMap((body) => body.resourceSpans).flatMap((item) => item.scopeSpans).flatMap((item) => item.spans)
}

tap.test('spans of hops reach the collector as parent and child', async (t) => {
  const { url, bodies } = await startCollector(t)
  const hops = await tracing.createTracing({ serviceName: 'entry', exporterUrl: url })
  const entry = hops.startSpan('entry', parent, { program: 'p1' })
  const home = hops.startSpan('home', entry.traceparent)
  home.end('error', { tag: 'timeout' })
  entry.end('ok')
  await hops.close()
  const [first, second] = listSpans(bodies)
  t.match(first, { name: 'home', parentSpanId: second?.spanId, status: { code: 2 }, attributes: [{ key: 'tag' }] })
  t.match(second, { name: 'entry', traceId: '0af7651916cd43dd8448eb211c80319c', parentSpanId: 'b7ad6b7169203331', status: { code: 1 }, attributes: [{ key: 'program' }] })
  t.match(entry.traceparent, `00-0af7651916cd43dd8448eb211c80319c-${second?.spanId}-01`)
  t.match(JSON.stringify(bodies[0]?.resourceSpans[0]?.resource), /"service.name".*"entry"/)
})

tap.test('the trace of an unsampled caller is propagated and not exported', async (t) => {
  const { url, bodies } = await startCollector(t)
  const hops = await tracing.createTracing({ serviceName: 'entry', exporterUrl: url })
  const span = hops.startSpan('entry', parent.replace(/01$/, '00'))
  span.end('ok')
  await hops.close()
  t.match(span.traceparent, /^00-0af7651916cd43dd8448eb211c80319c-.*-00$/)
  t.same(listSpans(bodies), [])
})

tap.test('an unreachable collector does not make the shutdown fail', async (t) => {
  const hops = await tracing.createTracing({ serviceName: 'entry', exporterUrl: 'http://127.0.0.1:9/v1/traces' })
  hops.startSpan('entry').end('ok')
  await t.resolves(hops.close())
})

tap.test('without an exporter the trace is propagated with a new span id', async (t) => {
  const hops = await tracing.createTracing({ serviceName: 'entry', exporterUrl: null })
  const spans = [hops.startSpan('entry', parent), hops.startSpan('entry', parent)]
  for (const span of spans) t.match(span.traceparent, /^00-0af7651916cd43dd8448eb211c80319c-[0-9a-f]{16}-01$/)
  t.equal(new Set([parent, ...spans.map((span) => span.traceparent)]).size, 3)
  t.match(tracing.parseTraceparent(hops.startSpan('entry', 'nonsense').traceparent), { sampled: false })
})

const createScript = (exporterUrl: string | null): string => `
  import { createRequire } from 'node:module'
  import * as tracing from ${JSON.stringify(new URL('index.js', import.meta.url).href)}
  const hops = await tracing.createTracing({ serviceName: 's', exporterUrl: ${JSON.stringify(exporterUrl)} })
  hops.startSpan('entry')
  console.log(Object.keys(createRequire(import.meta.url).cache).filter((file) => file.includes('opentelemetry')).length)
  process.exit(0)`

tap.test('OpenTelemetry is loaded only with an exporter', async (t) => {
  const countLoadedModules = async (exporterUrl: string | null): Promise<number> => {
    const { stdout } = await util.promisify(childProcess.execFile)(process.execPath, ['--input-type=module', '-e', createScript(exporterUrl)], { env: {} })
    return Number(stdout)
  }
  t.equal(await countLoadedModules(null), 0)
  t.ok(await countLoadedModules('http://127.0.0.1:9/v1/traces') > 10)
})

const arbitraryHex = (digits: number): fc.Arbitrary<string> => fc.stringMatching(new RegExp(`^[0-9a-f]{${digits}}$`)).filter((text) => /[1-9a-f]/.test(text))

tap.test('a formatted traceparent is parsed to the same context, and invalid text is rejected', async (t) => {
  fc.assert(fc.property(arbitraryHex(32), arbitraryHex(16), fc.boolean(), (traceId, spanId, sampled) => {
    const context = { traceId, spanId, sampled }
    return util.isDeepStrictEqual(tracing.parseTraceparent(tracing.formatTraceparent(context)), context)
  }), { seed: 1, numRuns: 200 })
  const invalidHeaders = ['', 'x', parent.toUpperCase(), parent.slice(1), `${parent}-more`, parent.replace(/^00/, 'ff'), `00-${'0'.repeat(32)}-b7ad6b7169203331-01`, `00-0af7651916cd43dd8448eb211c80319c-${'0'.repeat(16)}-01`]
  for (const header of invalidHeaders) t.equal(tracing.parseTraceparent(header), undefined, header)
  t.match(tracing.parseTraceparent(`${parent.replace(/^00/, '01')}-more`), { sampled: true })
})
