// Scores the deployments of regression.jsonc and compares each with its last figure.
// Usage: npm run regress -- BENCH SITES_FOLDER [PART_OF_A_SITE_NAME ...]
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as jsonc from 'jsonc-parser'

const [bench, folder, ...filters] = process.argv.slice(2)
if (bench === undefined || folder === undefined) {
  console.error('usage: npm run regress -- BENCH SITES_FOLDER [PART_OF_A_SITE_NAME ...]')
  process.exit(2)
}
const { boundWorth, jobs, sites } = jsonc.parse(fs.readFileSync(new URL('regression.jsonc', import.meta.url), 'utf8'))
// A row of the bench's table: name of the day, hosts, score, worth, and more.
const dayRow = /^(\S+)\s+\d+\/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s/

function worthOf (output) {
  const days = output.split('\n').map((line) => dayRow.exec(line)).filter((row) => row !== null)
  const troubled = days.filter(([, name]) => !name.startsWith('quiet') && !name.startsWith('fresh')).map(([, , worth]) => Number(worth))
  return troubled.reduce((sum, worth) => sum + worth, 0) / Math.max(1, troubled.length)
}

let failed = 0
for (const { site, worth, target } of sites.filter(({ site }) => filters.length === 0 || filters.some((part) => site.includes(part)))) {
  const args = ['score', path.join(folder, site), '--jobs', String(jobs), '--why', `regression run, last mean worth ${worth ?? 'not known'}`]
  const { stdout, error } = childProcess.spawnSync(bench, args, { encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit'], maxBuffer: Infinity })
  if (error !== undefined) {
    console.error(`BENCH: ${bench} can't be run: ${error.message}`)
    process.exit(2)
  }
  const now = worthOf(stdout)
  const gate = /GATE passed/.test(stdout)
  const held = gate && (worth === null || now >= worth - boundWorth)
  if (!held) failed += 1
  console.log(`${held ? 'held' : 'FELL'}  ${site}  mean worth ${now.toFixed(3)}, before ${worth ?? '-'}, target ${target ?? '-'}, gate ${gate ? 'passed' : 'failed'}`)
}
process.exitCode = failed > 0 ? 1 : 0
