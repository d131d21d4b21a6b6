import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import tap from 'tap'
import * as operateCli from './operate.js'

const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'explain-'))

function logFile (name: string, lines: readonly object[]): string {
  const file = path.join(dir, name)
  fs.writeFileSync(file, lines.map((line) => `${JSON.stringify(line)}\n`).join(''))
  return file
}

const first = logFile('front-1.log', [
  { time: '2026-06-01T08:00:05.000Z', host: 'front-1', event: 'passedOn', request: 'r1', owner: 'front-2' },
  { time: '2026-06-01T08:00:05.020Z', host: 'front-1', event: 'ended', request: 'r1', status: 503 }
])
const second = logFile('front-2.log', [
  { time: '2026-06-01T08:00:04.000Z', host: 'front-2', event: 'storeAway', topic: 'keyed.turns-0' },
  { time: '2026-06-01T08:00:05.010Z', host: 'front-2', event: 'turnRefused', request: 'r1', reason: 'the store does not answer' }
])

tap.test('the story of a request goes across the logs of several hosts', async (t) => {
  const { code, stdout } = await operateCli.operate('explain-request', 'r1', '--logs', first, '--logs', second)
  t.equal(code, 0)
  const events = stdout.split('\n').map((line) => line.split(/\s+/)[2]).filter((word) => word !== undefined)
  t.same(events, ['EVENT', 'storeAway', 'passedOn', 'turnRefused', 'ended'])
  t.match(stdout, /the store does not answer/)
})

tap.test('the story as JSON, for programs', async (t) => {
  const { stdout } = await operateCli.operate('explain-request', 'r1', '--json', '--logs', first)
  t.match(JSON.parse(stdout), { request: 'r1', gaps: 0, lines: [{ event: 'passedOn' }, { event: 'ended' }] })
})

tap.test('errors name what is wrong', async (t) => {
  t.match(await operateCli.operate('explain-request', 'r1'), { code: 2, stderr: /--logs/ })
  t.match(await operateCli.operate('explain-request', 'r1', '--logs', path.join(dir, 'none')), { code: 2, stderr: /none: no such file/ })
  t.match(await operateCli.operate('explain-request', 'nobody', '--logs', first), { code: 1, stderr: /nobody/ })
})

tap.test('losses are summed over the logs of several hosts', async (t) => {
  const { code, stdout } = await operateCli.operate('losses', '--json', '--logs', first, '--logs', second)
  t.equal(code, 0)
  t.match(JSON.parse(stdout), { requests: 1, failed: 1, losses: [{ cause: 'turn refused: the store does not answer', status: 503 }] })
  t.match(JSON.parse((await operateCli.operate('losses', '--json', '--until', '2026-06-01T08:00:05.000Z', '--logs', first)).stdout), { requests: 0 })
  t.match(await operateCli.operate('losses'), { code: 2, stderr: /--logs/ })
  t.match(await operateCli.operate('losses', '--logs', first, '--since', 'noon'), { code: 2, stderr: /--since: expected a time/ })
  t.match(await operateCli.operate('losses', '--logs', path.join(dir, 'none')), { code: 2, stderr: /none: no such file/ })
})
