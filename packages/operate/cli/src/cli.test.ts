import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as stream from 'node:stream'
import * as url from 'node:url'
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import tap from 'tap'
import * as cli from './index.js'

const root = url.fileURLToPath(new URL('../../../../../', import.meta.url))
const timers = timerService.createRealTimers()

interface Scope {
  readonly teardown: (run: () => unknown) => void
}

interface Ran {
  readonly code: number
  readonly out: string
  readonly err: string
}

function sink (): { stream: stream.Writable, text: () => string } {
  let text = ''
  return { stream: new stream.Writable({ write (chunk: Buffer, _, done) { text += chunk.toString(); done() } }), text: () => text }
}

async function run (args: readonly string[], env: Record<string, string> = {}): Promise<Ran> {
  const out = sink()
  const err = sink()
  const code = await cli.runCli(args, { env, stdin: process.stdin, stdout: out.stream, stderr: err.stream, colorDepth: 1, timers })
  return { code, out: out.text().trimEnd(), err: err.text().trimEnd() }
}

function sample (name: string): string {
  return path.join(root, 'samples', name)
}

const kind = { budget: { tokens: 100, calls: 1, microCost: 0, wallMs: 10 }, expectedTurns: 1, deadlineSlackMs: 1, maxTokens: 1 }

/** A log and a host list, settings that name them, and files of configurations that differ in one weight. */
async function setUp (t: Scope, more: Record<string, unknown> = {}) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cli-'))
  const log = await standIns.createLogStandIn({ port: 0 })
  const hostList = await standIns.createHostListStandIn({ port: 0 })
  t.teardown(async () => {
    log.faults.clear()
    await Promise.all([log.close(), hostList.close()])
    fs.rmSync(folder, { recursive: true })
  })
  const settings = path.join(folder, 'operator.jsonc')
  fs.writeFileSync(settings, JSON.stringify({ log: { address: log.address, timeoutMs: 1000 }, hostList: { address: hostList.address }, ...more }))
  const config = (weight: number): string => {
    const file = path.join(folder, `weight-${weight}.jsonc`)
    fs.writeFileSync(file, JSON.stringify({ kinds: { k: { ...kind, weight } } }))
    return file
  }
  const operate = (...args: string[]): Promise<Ran> => run(args, { [cli.settingsVariable]: settings })
  return { folder, log, hostList, config, operate }
}

function versionOf (log: standIns.LogStandIn): number {
  const records = log.records(configState.configStream).map((record, offset) => ({ data: record.data, at: 0 as types.EpochMs, offset: offset as types.LogOffset }))
  return records.reduce((state, record) => configState.applyRecord(state, record).state, configState.initialState).version
}

tap.test('samples have the sizes of the brief', async (t) => {
  for (const [name, zones, engines, services] of [['dimasalang', 4, 6, 24], ['shagyl', 3, 6, 20]] as const) {
    const file = sample(`${name}/config.jsonc`)
    t.match(await run(['config', 'check', file]), { code: 0, out: `${file}: ok` })
    t.equal((await run(['config', 'check', '--kind', 'operator', sample(`${name}/operator.jsonc`)])).code, 0)
    const config = configState.validateConfig(JSON.parse(fs.readFileSync(file, 'utf8').replace(/^\s*\/\/.*$/gm, '')))
    if (!config.ok) throw new Error('invalid')
    const hosts = [...config.value.hosts.values()]
    const upstreams = hosts.flatMap((host) => host.upstreams)
    const count = (type: string): number => upstreams.filter((upstream) => upstream.type === type).length
    t.same([new Set(hosts.map((host) => host.availabilityZone)).size, count('engine'), count('service')], [zones, engines, services], name)
  }
})

tap.test('check reports the errors of all files, and wrong command lines differ from wrong files', async (t) => {
  const { folder } = await setUp(t)
  const bad = path.join(folder, 'bad.jsonc')
  fs.writeFileSync(bad, '{\n  "kind": {},\n  "limits": { "retryBudget": -1 }\n}')
  const both = await run(['config', 'check', bad, sample('shagyl/config.jsonc'), bad, '--json'])
  t.equal(both.code, 1)
  t.same((JSON.parse(both.out) as { error: { errors: { line: number, field: string, suggestion?: string }[] } }).error.errors.map((err) => [err.line, err.field, err.suggestion]),
    [[2, 'kind', 'kinds'], [3, 'limits.retryBudget', undefined], [2, 'kind', 'kinds'], [3, 'limits.retryBudget', undefined]])
  t.match((await run(['config', 'check', bad])).err, /^\/.*bad\.jsonc:2:3: kind: expected .*; did you mean "kinds"\?\n.*:3:30: limits\.retryBudget: expected at least 0, found -1$/)
  const usage = [['config', 'check', 'none.jsonc'], ['config', 'check', '--kind', 'x', bad], ['config', 'nothing'], ['status'], ['status', '--host-list', 'localhost:1'], ['config', 'publish', bad, bad], ['explain', 'a/b', '--host-list', 'http://127.0.0.1:1']]
  for (const args of usage) t.equal((await run(args)).code, 2, args.join(' '))
})

tap.test('publish, diff and show agree on the version in force', async (t) => {
  const { config, operate } = await setUp(t, { name: 'ana' })
  t.match(await operate('config', 'show'), { code: 1, err: 'no configuration has been published yet' })
  t.match(await operate('config', 'publish', config(1)), { code: 0, out: 'accepted: version 1 is in force (before: 0)' })
  t.match(await operate('config', 'publish', config(1)), { code: 0, out: 'version 1 is the same; nothing to publish' })
  t.match(await operate('config', 'diff', config(2)), { code: 0, out: 'against version 1:\n~ kinds.k.weight: 1 -> 2' })
  t.match(await operate('config', 'publish', '--dry-run', config(2)), { code: 0, out: /^would change version 1:\n~ kinds\.k\.weight/ })
  t.match(await operate('config', 'publish', config(2), '--json'), { code: 0, out: /"result": "accepted",\s+"version": 2,\s+"before": 1/ })
  t.match(await operate('config', 'publish', '--based-on', '1', config(3)), { code: 1, err: /^refused: the file was made from version 1; version 2 is in force, published by ana at \d/ })
  const shown = await operate('config', 'show')
  t.match(shown.out, /^\/\/ version 2\n/)
  t.match(configState.validateConfig(JSON.parse(shown.out.slice(shown.out.indexOf('\n')))), { ok: true })
})

tap.test('of two operators who publish at once one is accepted and the other refused', async (t) => {
  const { log, config, operate } = await setUp(t)
  log.faults.set({ type: 'stall', on: 'append' })
  const both = [operate('config', 'publish', '--by', 'ana', config(1)), operate('config', 'publish', '--by', 'ben', config(2))]
  while (log.counters().reads < 2) await timerService.sleep(timers, 5)
  log.faults.clear()
  const [ana, ben] = await Promise.all(both)
  t.same([ana!.code, ben!.code].sort(), [0, 1])
  const [winner, loser] = ana!.code === 0 ? ['ana', ben!] : ['ben', ana!]
  t.match(loser.err, new RegExp(`refused: another change came first and nothing of this one took effect; version 1 is in force, published by ${winner} at`))
  t.equal(versionOf(log), 1)
})

tap.test('a lost answer and a late append end in one accepted version', async (t) => {
  const { log, config, operate } = await setUp(t)
  log.faults.set({ type: 'loseAnswer', on: 'append' }, { times: 1 })
  t.match(await operate('config', 'publish', config(1)), { code: 0, out: /^accepted: version 1 / })
  log.faults.set({ type: 'delayedAppend', on: 'append', afterAppends: 1 }, { times: 1 })
  t.match(await operate('config', 'publish', config(2)), { code: 0, out: /^accepted: version 2 /, err: /trying again/ })
  t.same([log.records(configState.configStream).length, versionOf(log)], [3, 2], 'the late copy has no effect')
  t.match((await operate('config', 'show')).out, /"weight": 2,/)
  log.faults.set({ type: 'slow', on: 'read', delayMs: 0 }, { times: 1 })
  log.faults.set({ type: 'refuse', on: 'read' }, { times: 1 })
  t.match(await operate('config', 'publish', config(3)), { code: 0, out: /^accepted: version 4 / })
  t.equal(log.records(configState.configStream).length, 4, 'not appended again where only the reading failed')
})

tap.test('an outage ends in 3 where nothing was sent and in 4 where the fate is unknown', async (t) => {
  const { log, config, operate } = await setUp(t, { publishLimitMs: 700 })
  log.faults.set({ type: 'refuse', on: 'append' })
  t.match(await operate('config', 'publish', config(1)), { code: 3, err: /log not available: the log answered 503$/ })
  t.equal(log.records(configState.configStream).length, 0)
  log.faults.clear()
  log.faults.set({ type: 'slow', on: 'read', delayMs: 0 }, { times: 1 })
  log.faults.set({ type: 'loseAnswer', on: 'append' }, { times: 1 })
  log.faults.set({ type: 'refuse' })
  t.match(await operate('config', 'publish', config(2)), { code: 4, err: /not known whether the change was accepted: .*; publishing the same file again is safe$/ })
  t.equal((await operate('config', 'show')).code, 3)
  log.faults.clear()
  t.match(await operate('config', 'publish', config(2)), { code: 0, out: 'version 1 is the same; nothing to publish' })
})

tap.test('an expired start and a newer format are said, not guessed', async (t) => {
  const { log, config, operate } = await setUp(t)
  await operate('config', 'publish', config(1))
  await operate('config', 'publish', config(2))
  log.control({ type: 'expire', stream: configState.configStream, before: 1 })
  t.match(await operate('config', 'publish', config(3)), { code: 3, err: /records of the configuration have expired and no copy was written in time/ })
  const other = await setUp(t)
  await fetch(`${other.log.address}/v1/streams/config/records`, { method: 'POST', body: '{"format":2}' })
  t.match(await other.operate('config', 'publish', other.config(1)), { code: 1, err: /newer format; update this command/ })
})

const deadline = Date.parse('2026-06-01T01:00:00Z') as types.EpochMs
const startedAt = Date.parse('2026-06-01T00:50:00Z') as types.EpochMs
const budget = { tokens: 300_000, calls: 120, microCost: 12_000_000, wallMs: 3_600_000 }
const turn = {
  key: 'call-1',
  branch: 'main',
  seq: 1,
  digest: 'd',
  upstream: 'agent-1',
  target: { type: 'model', model: 'roster-14b', messages: [], maxTokens: 10, options: {} },
  outcome: { type: 'message', message: { role: 'assistant', content: 'size?' }, finishReason: 'stop' },
  usage: { tokens: 900, calls: 1, microCost: 13_000 },
  tokens: { prompt: 800, cached: 0, generated: 100 },
  startedAt,
  endedAt: startedAt + 1200
} as unknown as types.Turn

function summaryOf (host: string, program: string, more: Partial<types.ProgramSummary> = {}): types.ProgramSummary {
  return {
    program,
    client: 'roster-assistant',
    kind: 'roster-walk',
    state: 'running',
    result: null,
    home: host,
    term: 4097,
    turns: 1,
    spent: { tokens: 900, calls: 1, microCost: 13_000 },
    budget,
    deadline,
    startedAt,
    complete: true,
    ...more
  } as types.ProgramSummary
}

interface FakeHost {
  version: number
  programs: types.ProgramSummary[]
  /** Called before each answer to status and list, with their number. */
  onAsk: (times: number) => void
}

/** A host that answers what operators ask. */
async function startHost (t: Scope, hostList: standIns.HostListStandIn, host: string, availabilityZone: string, programs: types.ProgramSummary[]): Promise<FakeHost> {
  const fake: FakeHost = { version: 1, programs, onAsk: () => {} }
  let asked = 0
  const note = (): void => fake.onAsk(++asked)
  const upstreams = [{ upstream: host.replace('engine', 'agent'), type: 'engine', running: 1, waiting: 0, holds: 1 }]
  const status = (): types.ProcessStatus => ({
    host,
    role: 'sidecar',
    region: 'ncr',
    availabilityZone,
    incarnation: 'i1',
    startedAt,
    configVersion: fake.version,
    leaving: false,
    programsAtHome: fake.programs.length,
    callsInFlight: 1,
    journal: { appends: 12 },
    upstreams
  }) as unknown as types.ProcessStatus
  const decisions = [{ at: startedAt, step: 'admission', choice: 'admit', reason: 'likely in time (0.97)', candidates: [] }, { at: startedAt + 5, step: 'placement', choice: 'agent-1', reason: 'prefix is there', candidates: ['agent-1', 'agent-4'] }] as types.Decision[]
  const knows = (program: string): boolean => fake.programs.some((one) => one.program === program)
  const server = await sidecarClient.startPeerServer({
    bindAddress: '127.0.0.1',
    port: 0,
    getSender: () => ({ host, incarnation: 'i1', leaving: false, configVersion: fake.version }) as unknown as types.Sender,
    process: {
      getStatus: async () => { note(); return errors.ok(status()) },
      getConfig: async () => errors.ok(null),
      getLoads: async () => errors.ok([]),
      explain: async (program, key) => errors.ok({ program, key, decisions: knows(program) ? decisions : [] })
    },
    home: {
      list: async () => { note(); return errors.ok(fake.programs) },
      read: async (program) => errors.ok({ summary: fake.programs.find((one) => one.program === program)!, history: [turn] })
    } as Partial<sidecarClient.HomeHandlers> as sidecarClient.HomeHandlers
  })
  t.teardown(() => server.close())
  hostList.setHost({ host, role: 'sidecar', region: 'ncr', availabilityZone, address: `http://127.0.0.1:${server.port}`, state: 'live' } as unknown as types.HostEntry)
  return fake
}

tap.test('programs come from all hosts, the later term counts, and silent hosts are named', async (t) => {
  const { hostList, operate } = await setUp(t)
  await startHost(t, hostList, 'engine-1', 'makati-a', [summaryOf('engine-1', 'p1', { term: 1 as types.Term }), summaryOf('engine-1', 'p2', { term: 8 as types.Term })])
  const other = await startHost(t, hostList, 'engine-2', 'makati-b', [summaryOf('engine-2', 'p1', { term: 2 as types.Term, deadline: Infinity as types.EpochMs }), summaryOf('engine-2', 'p2', { term: 7 as types.Term }), summaryOf('engine-2', 'p3', { state: 'finished', result: 'done', complete: false })])
  hostList.setHost({ host: 'engine-3', role: 'sidecar', region: 'ncr', availabilityZone: 'pasig-a', address: 'http://127.0.0.1:1', state: 'live' } as unknown as types.HostEntry)
  other.programs[0] = { ...other.programs[0]!, deadline: Date.now() + 1e9 as types.EpochMs }
  const list = JSON.parse((await operate('programs', 'list', '--json')).out) as { programs: types.ProgramSummary[], silent: string[] }
  t.same([list.programs.map(({ program, home }) => [program, home]), list.silent], [[['p1', 'engine-2'], ['p2', 'engine-1'], ['p3', 'engine-2']], ['engine-3']])
  const late = await operate('programs', 'list', '--state', 'late')
  t.match(late.out, /^PROGRAM .*\np2 .* late .*\nno answer from engine-3: their programs are missing$/)
  t.match((await operate('programs', 'list', '--state', 'finished')).out, /p3 .*done, history incomplete/)
  t.match(await operate('programs', 'show', 'p9'), { code: 1, err: 'no sidecar is the home of p9; engine-3 did not answer' })
  t.match(await operate('explain', 'p9'), { code: 1 })
  t.match((await operate('status')).out, /engine-3 .*no answer: /)
})

tap.test('status and wait show which hosts lack a version', async (t) => {
  const { hostList, config, operate } = await setUp(t)
  const first = await startHost(t, hostList, 'engine-1', 'makati-a', [])
  const second = await startHost(t, hostList, 'engine-2', 'makati-b', [])
  first.version = 0
  t.match((await operate('status')).out, /versions in force differ: 0, 1$/)
  second.version = 0
  first.onAsk = (times) => { first.version = times > 2 ? 1 : 0 }
  second.onAsk = (times) => { second.version = times > 3 ? 1 : 0 }
  t.match(await operate('config', 'publish', '--wait', config(1)), { code: 0, out: 'accepted: version 1 is in force (before: 0)\nin force on 2 of 2 hosts', err: /in force on 0 of 2 hosts\nin force on 1 of 2 hosts$/ })
})

tap.test('watch prints each change once and ends with its program', async (t) => {
  const { hostList, operate } = await setUp(t)
  const host = await startHost(t, hostList, 'engine-1', 'makati-a', [summaryOf('engine-1', 'p1', { deadline: Date.now() + 1e9 as types.EpochMs })])
  host.onAsk = (times) => { if (times === 3) host.programs = [{ ...host.programs[0]!, state: 'finished', result: 'done', turns: 2 }] }
  const { code, out } = await operate('programs', 'watch', '--interval', '0.1', 'p1')
  t.same([code, out.split('\n').map((line) => line.replace(/^\S+ +/, ''))], [0, ['p1  running  home engine-1  turns 1  tokens 900/300000', 'p1  done  home engine-1  turns 2  tokens 900/300000']])
  host.programs = []
  t.match(await operate('programs', 'watch', '--interval', '0.1', 'p1'), { code: 1, err: 'no sidecar is the home of p1' })
  t.match(await operate('programs', 'watch', '--interval', '0.1', '--looks', '2', '--json'), { code: 0, out: /^$/ })
  hostList.faults.set({ type: 'down' })
  t.equal((await operate('programs', 'watch')).code, 3)
})

/** Commands of a page and the output that it shows for each; `…` stands for what differs from run to run. */
function examplesOf (page: string): { args: string[], output: string }[] {
  return [...page.matchAll(/```console\n([\s\S]*?)```/g)].flatMap(([, block]) => block!.split(/^\$ /m).slice(1)).map((text) => {
    const [command, ...output] = text.trimEnd().split('\n')
    return { args: command!.split(/\s+/).slice(1), output: output.join('\n') }
  })
}

function pattern (output: string): RegExp {
  return new RegExp(`^${output.split('…').map((piece) => piece.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')).join('[^]*')}$`)
}

tap.test('every example of the page for operators does what it shows', async (t) => {
  const { folder, hostList, operate } = await setUp(t, { name: 'ana' })
  const finished = summaryOf('engine-1', 'roster-118', { state: 'finished', result: 'done' })
  const hosts = [await startHost(t, hostList, 'engine-1', 'makati-a', [finished]), await startHost(t, hostList, 'engine-2', 'makati-b', [])]
  for (const host of hosts) host.version = 2
  fs.symlinkSync(path.join(root, 'samples'), path.join(folder, 'samples'))
  fs.writeFileSync(path.join(folder, 'edited.jsonc'), fs.readFileSync(sample('dimasalang/config.jsonc'), 'utf8').replace('"weight": 3', '"weight": 4'))
  const refused = { time: '2026-06-01T08:00:00.000Z', host: 'front-1', request: '202dc96612d46b26', program: 'roster-118' }
  fs.writeFileSync(path.join(folder, 'front-1.log'), [
    { ...refused, event: 'turnRefused', reason: 'the store does not answer' },
    { ...refused, event: 'ended', kind: 'turn', outcome: 'refused', status: 503, reason: 'storeAway', tookMs: 4 }
  ].map((line) => `${JSON.stringify(line)}\n`).join(''))
  process.chdir(folder)
  const page = fs.readFileSync(path.join(root, 'docs/operators.md'), 'utf8')
  const examples = examplesOf(page)
  for (const { args, output } of examples) {
    const ran = await operate(...args)
    t.match([ran.err, ran.out].filter((text) => text !== '').join('\n'), pattern(output), args.join(' '))
  }
  const help = await run(['--help'])
  const commands = [...help.out.matchAll(/^ {2}eelgrasswind ([a-z]+(?: [a-z]+)?)/gm)].map(([, command]) => command!)
  t.same(commands.filter((command) => !examples.some(({ args }) => args.join(' ').startsWith(command))), [], 'every command has an example')
  const codes = [...page.matchAll(/^\| (\d) \|/gm)].map(([, code]) => Number(code))
  t.same(codes, Object.values(cli.exitCode))
  process.chdir(root)
})
