import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import tap from 'tap'
import * as operate from './operate.js'

const page = fs.readFileSync(new URL('../../../../../docs/OPERATIONS.md', import.meta.url), 'utf8')
const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'operations-'))
const shellBlock = /```sh\n([\s\S]*?)```/g

/** The page's commands of ours, as their arguments. */
const commands = [...page.matchAll(shellBlock)]
  .flatMap(([, block]) => block!.split('\n'))
  .filter((line) => line.startsWith('eelgrasswind '))
  .map((line) => line.split(' ').slice(1))

/** Logs that the page names, with a refused turn of each request that it names: told by its owner and by the host of its client. */
function writeLogs (args: readonly string[]): string[] {
  const files = args.filter((arg) => arg.endsWith('.log'))
  const request = /^[0-9a-f]{16}$/.exec(args[1] ?? '')?.[0] ?? 'request-1'
  files.forEach((file, at) => {
    const line = { time: '2026-06-01T08:01:00.000Z', host: file.replace('.log', ''), request }
    const told = at === 0
      ? { ...line, event: 'ended', kind: 'turn', outcome: 'refused', status: 503, reason: 'storeAway', tookMs: 4 }
      : { ...line, event: 'turnRefused', reason: 'the store does not answer' }
    fs.writeFileSync(path.join(dir, file), `${JSON.stringify(told)}\n`)
  })
  return args.map((arg) => files.includes(arg) ? path.join(dir, arg) : arg)
}

tap.test('every command of the page for on-call engineers runs and names the cause', async (t) => {
  t.ok(commands.length >= 2, 'the page has commands')
  for (const args of commands) {
    const { code, stdout, stderr } = await operate.operate(...writeLogs(args))
    t.equal(code, 0, `${args.join(' ')}: ${stderr}`)
    t.match(stdout, /the store does not answer/, args.join(' '))
  }
})

tap.test('the page names only commands that there are', async (t) => {
  const { stdout } = await operate.operate('--help')
  for (const [name] of commands) t.match(stdout, new RegExp(`eelgrasswind ${name}`))
})
