/**
 * Measures the slopes of docs/CAPACITY.md, each in a fresh process, one after the other, and prints JSON and a table.
 * Arguments: names of slopes, or `rest-memory`; all of them without any.
 */
import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as process from 'node:process'
import * as url from 'node:url'
import * as all from './all-slopes.js'
import * as restMemory from './rest-memory.js'
import * as series from './series.js'

/** Bound on the heap of one measurement, under half of a machine of 32 GiB. */
const maxHeapMb = 8_192
const restName = 'rest-memory'
const measureFile = path.join(path.dirname(url.fileURLToPath(import.meta.url)), 'measure-slope.js')

function measure (name: string): series.FittedSeries[] {
  const run = childProcess.spawnSync(
    process.execPath,
    ['--expose-gc', `--max-old-space-size=${maxHeapMb}`, measureFile, name],
    { encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit'] }
  )
  if (run.status !== 0) throw new Error(`slope ${name} ended with ${run.status ?? run.signal}`)
  process.stdout.write(run.stdout)
  return run.stdout.trim().split('\n').map((line) => JSON.parse(line) as series.FittedSeries)
}

const names = [...all.allSlopes.map((slope) => slope.name), restName]
const asked = process.argv.slice(2)
const unknown = asked.filter((name) => !names.includes(name))
if (unknown.length > 0) throw new Error(`unknown: ${unknown.join(', ')}; known: ${names.join(', ')}`)
const chosen = asked.length === 0 ? names : asked
const fitted = chosen.filter((name) => name !== restName).flatMap(measure)
if (fitted.length > 0) console.log(`\n${series.tableHead}\n${fitted.map(series.tableRow).join('\n')}`)
if (chosen.includes(restName)) await restMemory.measureRestMemory()
