/** What compressing a history gives and costs, on prose: the readme files of the installed packages, joined. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as zlib from 'node:zlib'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [5_450, 60_000, 600_000]
const repetitions = 3
const fastLevel = 1

function prose (): Buffer {
  const root = 'node_modules'
  const files = fs.readdirSync(root).sort().map((name) => path.join(root, name, 'README.md'))
  const texts = files.filter((file) => fs.existsSync(file)).map((file) => fs.readFileSync(file))
  return Buffer.concat(texts)
}

export const compression: series.Slope = {
  name: 'compression',
  measure: async () => {
    const text = prose()
    const part = (bytes: number): Buffer => text.subarray(0, bytes)
    return [
      { name: 'size after deflate, level 1', per: 'byte', unit: 'bytes', runs: series.repeat(1, sizes, (bytes) => zlib.deflateRawSync(part(bytes), { level: fastLevel }).length) },
      { name: 'deflate, level 1', per: 'byte', unit: 'us', runs: series.repeat(repetitions, sizes, (bytes) => measures.cpuUs(() => { zlib.deflateRawSync(part(bytes), { level: fastLevel }) })) },
      {
        name: 'inflate, by bytes of the text',
        per: 'byte',
        unit: 'us',
        runs: series.repeat(repetitions, sizes, (bytes) => {
          const packed = zlib.deflateRawSync(part(bytes), { level: fastLevel })
          return measures.cpuUs(() => { zlib.inflateRawSync(packed) })
        })
      }
    ]
  }
}
