/**
 * Measures the journal against a log in memory and prints tables; a minute on one core.
 * Usage: node --expose-gc packages/append-journal/dist/src/measure.js
 */
import * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as appendJournal from './index.js'
import * as records from './test-records.js'
import * as testLog from './test-log.js'

const stream = 'journal-0' as types.StreamName
const home = records.processRef('a')
/** A turn of 5,450 bytes of text, half question and half answer: 110 of them are about 600 KB. */
const largeText = 'x'.repeat(2725)
const smallText = 'x'.repeat(50)
const turnsOfProgram = 110
const otherPrograms = 1000
const repetitions = 5

function openJournal (log: testLog.TestLog, timers: timerService.TimerService, more: Partial<appendJournal.JournalOptions> = {}): Promise<appendJournal.Journal> {
  const limits = { shards: 1, maxAppendsPerSecond: 1_000_000, maxBatchBytes: 1_000_000, patienceMs: 3000 }
  return appendJournal.createJournal({ log, timers, logger: logger.createSilentLogger(), ...limits, onSuperseded: () => {}, ...more })
}

/** Processor time of some work, in microseconds. */
async function cpuUs (work: () => unknown): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** The least of several runs, as others share the machine. */
async function leastUs (work: () => unknown): Promise<number> {
  let least = Infinity
  for (let run = 0; run < repetitions; run += 1) least = Math.min(least, await cpuUs(work))
  return least
}

function heapBytes (): number {
  if (globalThis.gc === undefined) throw new Error('run with --expose-gc')
  // The second run frees what the first one has only found.
  globalThis.gc()
  globalThis.gc()
  return process.memoryUsage().heapUsed
}

function chainOf (program: types.ProgramId, turns: number, text: string, term: types.Term): types.JournalRecord[] {
  const later = Array.from({ length: turns }, (_, index) => records.turn({ program, n: index + 2, term }, index + 1, text))
  return [records.begin(program, home, Date.now()), ...later]
}

function programNames (count: number): types.ProgramId[] {
  return Array.from({ length: count }, (_, index) => records.programId(`program-${index}`))
}

/** Writes begins, then turns in rounds over all programs, so many records a batch; the first program's text may differ. */
function fillLog (log: testLog.TestLog, programs: readonly types.ProgramId[], turns: number, batchSize: number, text: string, firstText = text): void {
  const terms = programs.map((program) => types.positionOf(put(log, [records.begin(program, home, Date.now())]), 0))
  for (let seq = 1; seq <= turns; seq += 1) {
    for (let from = 0; from < programs.length; from += batchSize) {
      put(log, programs.slice(from, from + batchSize).map((program, index) =>
        records.turn({ program, n: seq + 1, term: terms[from + index]! }, seq, from + index === 0 ? firstText : text)))
    }
  }
}

/** Copied once, so that the log holds plain texts and not the parts that they were joined from. */
function put (log: testLog.TestLog, batch: readonly types.JournalRecord[]): types.LogOffset {
  return log.put(stream, Buffer.from(programState.encodeBatch(batch)).toString()).offset
}

async function measureSteps (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const chain = chainOf(records.programId('p'), 1000, text, 1 as types.Term)
    const encoded = programState.encodeBatch(chain)
    const per = (us: number) => Number((us / chain.length).toFixed(2))
    rows.push({
      records: name,
      'bytes a record': Math.round(Buffer.byteLength(encoded) / chain.length),
      'check us': per(await leastUs(() => chain.forEach((record) => programState.checkRecord(record)))),
      'encode us': per(await leastUs(() => programState.encodeBatch(chain))),
      'parse us': per(await leastUs(() => JSON.parse(encoded))),
      'parse and check us': per(await leastUs(() => programState.parseBatch(encoded))),
      'fold us': per(await leastUs(() => foldAll(chain)))
    })
  }
  return rows
}

function foldAll (chain: readonly types.JournalRecord[]): void {
  let view: programState.ProgramView | undefined
  chain.forEach((record, index) => { view = programState.applyRecord(view, record, index + 1 as types.Term).view })
}

/** Processor time of a record from append to answer, without the log. */
async function measureAppend (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const timers = timerService.createRealTimers()
    const journal = await openJournal(new testLog.TestLog({ timers, latencyMs: 0 }), timers)
    const programs = programNames(otherPrograms)
    const begun = await Promise.all(programs.map((program) => journal.append(records.begin(program, home, Date.now()))))
    const terms = begun.map((result) => result.ok ? result.value.position : 0 as types.Term)
    let seq = 0
    const us = await leastUs(async () => {
      seq += 1
      await Promise.all(programs.map((program, index) => journal.append(records.turn({ program, n: seq + 1, term: terms[index]! }, seq, text))))
    })
    rows.push({ records: name, 'append us a record': Number((us / programs.length).toFixed(1)), 'records a second and core': Math.round(1e6 * programs.length / us) })
  }
  return rows
}

async function measureCatchUp (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const timers = timerService.createRealTimers()
    const log = new testLog.TestLog({ timers, latencyMs: 0 })
    const turns = 10
    fillLog(log, programNames(otherPrograms), turns, 8, text)
    const journal = await openJournal(log, timers)
    const us = await cpuUs(() => journal.catchUp(0))
    const { recordsFolded, bytesRead } = journal.getCounters()
    rows.push({
      records: name,
      'catch-up us a record': Number((us / recordsFolded).toFixed(1)),
      'MB a second and core': Number((bytesRead / us).toFixed(0))
    })
  }
  return rows
}

/** Processor time at once, and the time it takes when a read takes 5 ms. */
async function measureLoad (): Promise<object[]> {
  const rows: object[] = []
  for (const batchSize of [1, 8, 32]) {
    const timers = timerService.createManualTimers(Date.now())
    const names = programNames(otherPrograms + 1)
    const atOnce = new testLog.TestLog({ timers, latencyMs: 0 })
    const after5ms = new testLog.TestLog({ timers, latencyMs: 2.5 })
    for (const log of [atOnce, after5ms]) fillLog(log, names, turnsOfProgram, batchSize, smallText, largeText)
    const journal = await openJournal(atOnce, timers)
    await journal.catchUp(0)
    const { reads, bytesRead } = journal.getCounters()
    const us = await cpuUs(() => load(journal, names[0]!))
    rows.push({
      'records a batch': batchSize,
      'load ms of processor': Number((us / 1000).toFixed(1)),
      'load ms with reads of 5 ms': await loadMs(after5ms, timers, names[0]!),
      reads: journal.getCounters().reads - reads,
      'KB read': Math.round((journal.getCounters().bytesRead - bytesRead) / 1000)
    })
  }
  return rows
}

async function load (journal: appendJournal.Journal, program: types.ProgramId): Promise<void> {
  const state = await journal.load(program)
  if (!state.ok || state.value?.turns.length !== turnsOfProgram) throw new Error('not loaded')
}

async function loadMs (log: testLog.TestLog, timers: timerService.ManualTimers, program: types.ProgramId): Promise<number> {
  const journal = await openJournal(log, timers)
  await finishIn(timers, journal.catchUp(0))
  const from = timers.now()
  await finishIn(timers, load(journal, program))
  return timers.now() - from
}

async function finishIn (timers: timerService.ManualTimers, work: Promise<unknown>): Promise<void> {
  const progress = { done: false }
  void work.finally(() => { progress.done = true })
  while (!progress.done) await timers.advanceAsync(1)
  await work
}

/** What a process that starts reads of a day of the log, by how far back it reads. */
async function measureStart (): Promise<object[]> {
  const hourMs = 3_600_000
  const batches = 20_000
  const timers = timerService.createManualTimers(Date.now())
  const log = new testLog.TestLog({ timers, latencyMs: 0 })
  for (let made = 0; made < batches; made += 1) {
    put(log, Array.from({ length: 8 }, (_, index) => records.begin(records.programId(`program-${made}-${index}`), home, timers.now())))
    timers.advance(24 * hourMs / batches)
  }
  const rows: object[] = []
  // All kept, as one that is freed meanwhile would count as less memory.
  const journals: appendJournal.Journal[] = []
  for (const hours of [24, 6, 1]) {
    const before = heapBytes()
    const journal = await openJournal(log, timers, { retentionMs: hours * hourMs })
    journals.push(journal)
    const us = await cpuUs(() => journal.catchUp(0))
    const held = heapBytes() - before
    const { reads, bytesRead, recordsFolded, heads } = journal.getCounters()
    rows.push({
      'retention h': hours,
      'start ms': Math.round(us / 1000),
      reads,
      'MB read': Number((bytesRead / 1e6).toFixed(2)),
      records: recordsFolded,
      heads,
      'bytes a head': Math.round(held / heads)
    })
  }
  if (journals.length !== rows.length) throw new Error('a journal is missing')
  return rows
}

/** Batches at a steady rate of records, by simulated time. */
async function measureBatches (): Promise<object[]> {
  const rows: object[] = []
  const seconds = 5
  for (const shards of [1, 8]) {
    for (const perSecond of [100, 1000, 3000]) {
      const timers = timerService.createManualTimers()
      const log = new testLog.TestLog({ timers, latencyMs: 2.5 })
      const journal = await openJournal(log, timers, { shards, maxAppendsPerSecond: 200 })
      const waits: number[] = []
      const total = perSecond * seconds
      for (let made = 0; made < total; made += 1) {
        const asked = timers.now()
        void journal.append(records.begin(records.programId(`program-${made}`), home, timers.now())).then(() => waits.push(timers.now() - asked))
        await timers.advanceAsync(1000 / perSecond)
      }
      await timers.advanceAsync(1000)
      waits.sort((a, b) => a - b)
      const { appends, records: sent, bytesWritten } = journal.getCounters()
      rows.push({
        shards,
        'records a second': perSecond,
        'records an append': Number((sent / appends).toFixed(1)),
        'appends a second': Math.round(appends / seconds),
        'KB an append': Number((bytesWritten / appends / 1000).toFixed(1)),
        'median ms': Number(waits[Math.floor(waits.length / 2)]!.toFixed(1)),
        '95% ms': Number(waits[Math.floor(waits.length * 0.95)]!.toFixed(1))
      })
    }
  }
  return rows
}

console.log('Processor time of the parts, microseconds a record')
console.table(await measureSteps())
console.log('Append to answer, log in memory')
console.table(await measureAppend())
console.log('Catching up on 1,000 programs of 10 turns, 8 records a batch')
console.table(await measureCatchUp())
console.log('Loading a program of 110 turns and 600 KB among 1,000 others')
console.table(await measureLoad())
console.log('Starting on a day of 160,000 records')
console.table(await measureStart())
console.log('Batches with appends of 5 ms and at most 200 appends a second, simulated time')
console.table(await measureBatches())
