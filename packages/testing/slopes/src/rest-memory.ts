/** Memory of a resting process: bare Node, then with each library, as installed and bundled, then with V8 flags. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as process from 'node:process'
import * as esbuild from 'esbuild'
import * as fits from './fit.js'

const outDir = path.join('out', 'slopes')
const repetitions = 3
/** Time that a resting process is given before it is measured, in milliseconds. */
const restMs = 1_500

interface RestCase {
  readonly name: string
  /** Statements of the program, before it rests. */
  readonly code: string
}

const use = {
  undici: "import { Agent } from 'undici'; globalThis.kept = new Agent()",
  connect: "import * as connectNode from '@connectrpc/connect-node'; import * as gen from '../../packages/peers/sidecar-client/dist/src/gen/eelgrasswind_pb.js'; globalThis.kept2 = [gen, connectNode.createConnectTransport({ baseUrl: 'http://127.0.0.1:1', httpVersion: '2' })]",
  bunyan: "import bunyan from 'bunyan'; globalThis.kept3 = bunyan.createLogger({ name: 'rest' })",
  zod: "import * as z from 'zod'; globalThis.kept4 = z.object({ a: z.string() })",
  hotShots: "import hotShots from 'hot-shots'; globalThis.kept5 = new hotShots.StatsD({ mock: true })",
  tracing: "import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'; import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'; globalThis.kept6 = new BasicTracerProvider({ spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter())] })",
  jsonc: "import * as jsonc from 'jsonc-parser'; globalThis.kept7 = jsonc.parse('{}')",
  xxhash: "import xxhash from 'xxhash-wasm'; globalThis.kept8 = await xxhash()",
  http: "import * as http from 'node:http'; import * as http2 from 'node:http2'; globalThis.kept9 = [http.createServer().listen(0, '127.0.0.1'), http2.createServer().listen(0, '127.0.0.1')]"
}

const cases: readonly RestCase[] = [
  { name: 'bare', code: '' },
  ...Object.entries(use).map(([name, code]) => ({ name, code })),
  { name: 'all', code: Object.values(use).join('\n') }
]

const flagSets: readonly (readonly string[])[] = [
  ['--max-semi-space-size=1'],
  ['--v8-pool-size=0'],
  ['--optimize-for-size'],
  ['--no-opt'],
  ['--single-threaded'],
  ['--max-semi-space-size=1', '--v8-pool-size=0'],
  ['--max-semi-space-size=1', '--v8-pool-size=0', '--optimize-for-size', '--max-lazy']
]

const report = `
setTimeout(async () => {
  const fs = await import('node:fs')
  const text = fs.readFileSync('/proc/self/smaps_rollup', 'utf8')
  const kb = (name) => Number(new RegExp('^' + name + ': *([0-9]+)', 'm').exec(text)[1])
  console.log(JSON.stringify({ resident: kb('Rss'), own: kb('Private_Clean') + kb('Private_Dirty') }))
  process.exit(0)
}, ${restMs})
`

/** Kilobytes of a process: all of it in memory, and the part that it shares with no other process. */
interface Rest {
  readonly resident: number
  readonly own: number
}

async function writeCase (rest: RestCase): Promise<{ readonly plain: string, readonly bundled: string }> {
  const plain = path.join(outDir, `${rest.name}.mjs`)
  const bundled = path.join(outDir, `${rest.name}.bundle.mjs`)
  fs.writeFileSync(plain, `${rest.code}\n${report}`)
  await esbuild.build({
    entryPoints: [plain],
    outfile: bundled,
    bundle: true,
    minify: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    mainFields: ['module', 'main'],
    banner: { js: "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);" },
    external: ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram'],
    logLevel: 'error'
  })
  return { plain, bundled }
}

function restOf (file: string, flags: readonly string[] = []): Rest {
  const runs = Array.from({ length: repetitions }, () => {
    const text = childProcess.execFileSync(process.execPath, [...flags, file], { encoding: 'utf8' })
    return JSON.parse(text) as Rest
  })
  return { resident: fits.median(runs.map((run) => run.resident)), own: fits.median(runs.map((run) => run.own)) }
}

function printRow (name: string, form: string, rest: Rest): void {
  const mb = (kb: number): string => (kb / 1024).toFixed(1)
  console.log(`| ${name} | ${form} | ${mb(rest.resident)} | ${mb(rest.own)} |`)
}

/** Measures every case and prints a table, row by row. */
export async function measureRestMemory (): Promise<void> {
  fs.mkdirSync(outDir, { recursive: true })
  console.log('| libraries | form | resident MB | own MB |\n|---|---|---|---|')
  let bundledAll = ''
  for (const rest of cases) {
    const files = await writeCase(rest)
    printRow(rest.name, 'as installed', restOf(files.plain))
    printRow(rest.name, 'bundled', restOf(files.bundled))
    bundledAll = files.bundled
  }
  for (const flags of flagSets) printRow('all', `bundled, ${flags.join(' ')}`, restOf(bundledAll, flags))
}
