import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import tap from 'tap'
import * as boundedLines from './bounded-lines.js'

tap.test('lines are written completely and in order', async (t) => {
  const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'lines-')), 'out')
  const fd = fs.openSync(file, 'w')
  const lines = boundedLines.createBoundedLineWriter(fd)
  const expected = Array.from({ length: 2_000 }, (_, at) => `line ${at}\n`)
  for (const line of expected) lines.write(line)
  await lines.flush()
  fs.closeSync(fd)
  t.equal(fs.readFileSync(file, 'utf8'), expected.join(''))
  t.equal(lines.getDroppedCount(), 0)
})

tap.test('a reader that never reads does not block the event loop; lines are dropped', async (t) => {
  const module = url.fileURLToPath(new URL('./bounded-lines.js', import.meta.url))
  const script = `
    import { createBoundedLineWriter } from ${JSON.stringify(module)}
    const lines = createBoundedLineWriter(process.stdout.fd, 100_000)
    let turns = 0
    const timer = setInterval(() => {
      for (let at = 0; at < 100; at += 1) lines.write('x'.repeat(99) + '\\n')
      turns += 1
      if (turns < 120) return
      clearInterval(timer)
      process.stderr.write(String(lines.getDroppedCount()), () => process.exit(0))
    }, 5)
  `
  const child = childProcess.spawn(process.execPath, ['--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'pipe'] })
  // Nothing reads the pipe of standard output.
  child.stdout.pause()
  let dropped = ''
  child.stderr.on('data', (chunk: Buffer) => { dropped += chunk.toString() })
  const code = await new Promise((resolve) => { child.on('exit', resolve) })
  t.equal(code, 0, 'the event loop kept running to the end')
  t.ok(Number(dropped) > 500, `${dropped} lines were dropped`)
})
