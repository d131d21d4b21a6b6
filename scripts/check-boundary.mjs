// Fails where a file outside platform/ and deploy/ uses a name of the platform's wire: those belong in the adapter alone.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

// Split, so that this list does not find itself.
const prefixes = ['x', 'kv', 'log', 'hold', 'keyed']
const words = [
  ...['program-id', 'session-id', 'finish-ms', 'token-budget', 'previous-turn', 'response-signature', 'expect-instance', 'expect-version',
    'not-executed', 'deadline-ms', 'token-count', 'prompt-prefix', 'affinity-key', 'pin-ms', 'kv-backup'].map((name) => `${prefixes[0]}-${name}`),
  ...['from', 'fetch', 'move', 'events'].map((name) => `${prefixes[1]}-${name}`),
  ...['append', 'newest', 'join', 'owners', 'commit'].map((name) => `${prefixes[2]}-${name}`),
  `${prefixes[3]}-take`,
  ...['op', 'servers', 'status'].map((name) => `${prefixes[4]}\\.${name}`)
]
const pattern = new RegExp(words.join('|'), 'i')
const files = childProcess.execFileSync('git', ['ls-files', '*.ts', '*.mjs', '*.js'], { encoding: 'utf8' }).split('\n')
const outside = files.filter((file) => file !== '' && !file.startsWith('platform/') && !file.startsWith('deploy/') && fs.existsSync(file))
let found = 0
for (const file of outside) {
  fs.readFileSync(file, 'utf8').split('\n').forEach((line, at) => {
    if (!pattern.test(line)) return
    found += 1
    console.error(`${file}:${at + 1}: a name of the platform's wire outside platform/: ${line.trim()}`)
  })
}
process.exit(found > 0 ? 1 : 0)
