import * as fs from 'node:fs'
import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as standIns from './index.js'

const page = new URL('../../../../../docs/platform-protocols.md', import.meta.url)
const startMs = 1_760_000_000_000

interface Message {
  readonly firstLine: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

interface Example {
  readonly req: Message
  readonly res: Message
}

interface Target {
  readonly address: string
  close: () => Promise<void>
}

function parseMessage (text: string): Message {
  const end = text.indexOf('\n\n')
  const [firstLine = '', ...lines] = (end < 0 ? text.trimEnd() : text.slice(0, end)).split('\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')), line.slice(line.indexOf(':') + 1).trim()]))
  return { firstLine, headers, body: end < 0 ? '' : text.slice(end + 2) }
}

/** The pairs of request and answer of one section. */
function examplesOf (text: string, section: string): Example[] {
  const part = text.split('\n## ').find((one) => one.startsWith(section + '\n')) ?? ''
  const messages = [...part.matchAll(/```http\n([^]*?)\n?```/g)].map((match) => parseMessage(match[1]!))
  return messages.flatMap((req, i) => i % 2 === 0 ? [{ req, res: messages[i + 1]! }] : [])
}

async function send (address: string, req: Message): Promise<{ status: number, headers: Headers, body: string }> {
  const [method, path] = req.firstLine.split(' ')
  const res = await fetch(address + path!, { method: method!, headers: req.headers, ...(req.body === '' ? {} : { body: req.body }) })
  return { status: res.status, headers: res.headers, body: await res.text() }
}

function bodyOf (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text.trimEnd()
  }
}

const timers = timerService.createManualTimers(startMs)
const hosts = [{ host: 'makati-a-1', role: 'sidecar', region: 'ncr', availabilityZone: 'makati-a', address: 'http://10.0.0.1:7101', state: 'live' }] as const

const sections: readonly (readonly [string, number, () => Promise<Target>])[] = [
  ['Log', 6, () => standIns.createLogStandIn({ port: 0, timers })],
  ['Host list', 1, () => standIns.createHostListStandIn({ port: 0, hosts: [...hosts] })],
  ['Engine', 12, () => standIns.createEngineStandIn({ port: 0, timers, tokenMs: 0, prefillTokensPerSecond: null })],
  ['Plain service', 1, () => standIns.createServiceStandIn({ port: 0, timers })],
  ['Weight store', 2, () => standIns.createWeightStoreStandIn({ port: 0, timers, requestsPerSecond: 1, weightBytes: 4 })]
]

for (const [section, count, start] of sections) {
  tap.test(`the examples of ${section} hold`, async (t) => {
    const target = await start()
    t.teardown(() => target.close())
    const examples = examplesOf(fs.readFileSync(page, 'utf8'), section)
    t.equal(examples.length, count)
    for (const { req, res } of examples) {
      const seen = await send(target.address, req)
      t.equal(seen.status, Number(res.firstLine.split(' ')[1]), req.firstLine)
      for (const [name, value] of Object.entries(res.headers)) t.equal(seen.headers.get(name), value, name)
      t.same(bodyOf(seen.body), bodyOf(res.body), req.firstLine)
    }
  })
}
