/** Measures one slope in this process and prints a line of JSON for each of its series. Run with --expose-gc. */
import * as process from 'node:process'
import * as all from './all-slopes.js'
import * as series from './series.js'

const name = process.argv[2]
const slope = all.allSlopes.find((candidate) => candidate.name === name)
if (slope === undefined) throw new Error(`unknown slope ${name}; known: ${all.allSlopes.map((known) => known.name).join(', ')}`)
for (const measured of await slope.measure()) console.log(JSON.stringify(series.fitSeries(slope.name, measured)))
