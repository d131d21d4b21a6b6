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
/** Time limits of a test file, in s; a file of crowds runs its tests one after the other. */
const timeoutsS = { tests: 240, crowds: 900 }
const crowdPattern = /^crowd-.*\.test\.js$/

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

/** Tests that measure memory and event loop of a process under a crowd run one file at a time, behind all others. */
function groupFiles () {
  const isCrowd = (file) => crowdPattern.test(path.basename(file))
  const groups = [
    { name: 'tests', members: files.filter((file) => !isCrowd(file)), jobs: 6 },
    { name: 'crowds', members: files.filter(isCrowd), jobs: 1 }
  ]
  return groups.filter(({ members }) => members.length > 0)
}

function runGroup (name, members, jobs) {
  const outFile = path.join('out', `${name}-${process.pid}.tap`)
  const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=terse', `--output-file=${outFile}`, `--jobs=${jobs}`, `--timeout=${timeoutsS[name]}`, ...members]
  const run = childProcess.spawnSync('npx', ['--no-install', ...args], { stdio: 'inherit' })
  return { run, totals: count(fs.readFileSync(outFile, 'utf8')) }
}

const files = testFiles()
if (files.length === 0) throw new Error('no test files')
fs.mkdirSync('out', { recursive: true })
const runs = groupFiles().map(({ name, members, jobs }) => runGroup(name, members, jobs))
const totals = { passed: runs.reduce((sum, { totals }) => sum + totals.passed, 0), failed: runs.flatMap(({ totals }) => totals.failed), tests: runs.flatMap(({ totals }) => totals.tests) }
const { known, red, passed, absent } = knownRed.judgeRun(knownRedEntries(), { ...totals, whole: filters.length === 0 })
for (const name of known) console.log(`known red: ${name}`)
for (const name of red) console.log(`FAILED: ${name}`)
for (const name of passed) console.log(`known red, passed: ${name}`)
for (const name of absent) console.log(`known red, but there is no such test: ${name}`)
const brokenRuns = runs.filter(({ run, totals }) => run.status !== 0 && totals.failed.length === 0)
for (const { run } of brokenRuns) console.log(`tap ended with ${run.status ?? run.signal} though no assertion failed`)
const broken = brokenRuns.length > 0
console.log(`${totals.passed} passed, ${totals.failed.length} failed`)
process.exitCode = red.length > 0 || absent.length > 0 || broken || totals.passed === 0 ? 1 : 0
