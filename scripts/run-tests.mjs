// Runs the compiled test files under tap and closes with the line "N passed, N failed" from the real totals.
// Usage: node scripts/run-tests.mjs [FILTER ...]; a filter is part of a test file's path.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import { Parser } from 'tap-parser'
import * as knownRed from '../packages/testing/test-utils/dist/src/known-red.js'
import { packageDirs } from './packages.mjs'

const filters = process.argv.slice(2)
const knownRedFile = 'KNOWN-RED.txt'
const outFile = path.join('out', `tests-${process.pid}.tap`)

function testFiles () {
  const files = []
  for (const dir of packageDirs().values()) {
    const src = path.join(dir, 'src')
    if (!fs.existsSync(src)) continue
    for (const file of fs.readdirSync(src, { recursive: true })) {
      if (file.endsWith('.test.ts')) files.push(path.join(dir, 'dist', 'src', file.replace(/\.ts$/, '.js')))
    }
  }
  return files.filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
}

function knownRedEntries () {
  return fs.existsSync(knownRedFile) ? knownRed.parseKnownRed(fs.readFileSync(knownRedFile, 'utf8')) : []
}

function count (tap) {
  const totals = { passed: 0, failed: [], tests: [] }
  // A test is a leaf: a test point that no subtest stands behind.
  const visit = (parser, names) => {
    let open = null
    parser.on('child', (child) => { open = child; visit(child, [...names, child.name]) })
    parser.on('assert', (result) => {
      const child = open
      open = null
      if (child !== null) {
        totals.tests.push([...names, result.name].join(' > '))
        if (!result.ok && child.fail === 0) totals.failed.push([...names, result.name].join(' > '))
        return
      }
      if (result.skip || result.todo) throw new Error(`skipped or todo: ${result.name}`)
      if (result.ok) totals.passed += 1
      else totals.failed.push([...names, result.name].join(' > '))
    })
  }
  const parser = new Parser()
  visit(parser, [])
  parser.end(tap)
  return totals
}

const files = testFiles()
if (files.length === 0) throw new Error('no test files')
fs.mkdirSync('out', { recursive: true })
const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=terse', `--output-file=${outFile}`, '--jobs=6', '--timeout=240', ...files]
const run = childProcess.spawnSync('npx', ['--no-install', ...args], { stdio: 'inherit' })
const totals = count(fs.readFileSync(outFile, 'utf8'))
const { known, red, passed, absent } = knownRed.judgeRun(knownRedEntries(), { ...totals, whole: filters.length === 0 })
for (const name of known) console.log(`known red: ${name}`)
for (const name of red) console.log(`FAILED: ${name}`)
for (const name of passed) console.log(`known red, passed: ${name}`)
for (const name of absent) console.log(`known red, but there is no such test: ${name}`)
const broken = run.status !== 0 && totals.failed.length === 0
if (broken) console.log(`tap ended with ${run.status ?? run.signal} though no assertion failed`)
console.log(`${totals.passed} passed, ${totals.failed.length} failed`)
process.exitCode = red.length > 0 || absent.length > 0 || broken || totals.passed === 0 ? 1 : 0
