import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import tap from 'tap'
import * as settingsReference from './settings-reference.js'

const root = url.fileURLToPath(new URL('../../../../', import.meta.url))

function page (name: string): string {
  return fs.readFileSync(path.join(root, 'docs', name), 'utf8')
}

tap.test('the page of settings is made from the schemas', async (t) => {
  t.equal(page('settings.md'), settingsReference.settingsReference())
})

tap.test('every sample of process settings passes the check of its binary', async (t) => {
  for (const deployment of ['dimasalang', 'shagyl']) {
    for (const role of ['entry', 'sidecar']) {
      const sample = `samples/${deployment}/${role}.jsonc`
      const binary = `packages/${role}/dist/eelgrasswind-${role}.mjs`
      const ran = childProcess.spawnSync(process.execPath, [binary, '--settings', sample, '--check'], { cwd: root, encoding: 'utf8' })
      t.match({ status: ran.status, stdout: ran.stdout }, { status: 0, stdout: `${sample}: ok\n` }, sample)
    }
  }
})
