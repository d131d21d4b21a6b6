/**
 * Measures the journal against an in-memory log and prints tables. Takes about a minute on one core.
 * Usage: node --expose-gc packages/state/append-journal/dist/src/measure.js
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
/** Text of the question and of the answer of a large turn: 5,450 bytes together, so that 110 turns are about 600 KB. */
const largeText = 'x'.repeat(2725)
const smallText = 'x'.repeat(50)
const turnsPerProgram = 110
const otherPrograms = 1000
const runCount = 5

function openJournal (log: testLog.TestLog, timers: timerService.TimerService, overrides: Partial<appendJournal.JournalOptions> = {}): Promise<appendJournal.Journal> {
  const limits = { shards: 1, maxAppendsPerSecond: 1_000_000, maxBatchBytes: 1_000_000, patienceMs: 3000 }
  return appendJournal.createJournal({ log, timers, logger: logger.createSilentLogger(), ...limits, onSuperseded: () => {}, ...overrides })
}

/** Measures the CPU time of some work, in microseconds. */
async function measureCpuUs (work: () => unknown): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Returns the lowest CPU time of several runs, in microseconds, because other processes share the machine. */
async function measureLeastCpuUs (work: () => unknown): Promise<number> {
  let leastUs = Infinity
  for (let run = 0; run < runCount; run += 1) leastUs = Math.min(leastUs, await measureCpuUs(work))
  return leastUs
}

function measureHeapBytes (): number {
  if (globalThis.gc === undefined) throw new Error('run with node --expose-gc')
  // The second collection frees objects that the first one has only marked.
  globalThis.gc()
  globalThis.gc()
  return process.memoryUsage().heapUsed
}

function createChain (program: types.ProgramId, turns: number, text: string, term: types.Term): types.JournalRecord[] {
  const later = Array.from({ length: turns }, (_, index) => records.turn({ program, n: index + 2, term }, index + 1, text))
  return [records.begin(program, home, Date.now()), ...later]
}

function createProgramIds (count: number): types.ProgramId[] {
  return Array.from({ length: count }, (_, index) => records.programId(`program-${index}`))
}

/** Appends a begin of each program, then turns of all programs in rounds, with `batchSize` records in a batch. The text of the first program may differ. */
function fillLog (log: testLog.TestLog, programs: readonly types.ProgramId[], turns: number, batchSize: number, text: string, firstText = text): void {
  const terms = programs.map((program) => types.toPosition(appendBatch(log, [records.begin(program, home, Date.now())]), 0))
  for (let seq = 1; seq <= turns; seq += 1) {
    for (let from = 0; from < programs.length; from += batchSize) {
      appendBatch(log, programs.slice(from, from + batchSize).map((program, index) =>
        records.turn({ program, n: seq + 1, term: terms[from + index]! }, seq, from + index === 0 ? firstText : text)))
    }
  }
}

/** Appends a batch as a flat copy of its text, because a joined string would keep its parts in memory. */
function appendBatch (log: testLog.TestLog, batch: readonly types.JournalRecord[]): types.LogOffset {
  return log.appendDirectly(stream, Buffer.from(programState.encodeBatch(batch)).toString()).offset
}

async function measureSteps (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const chain = createChain(records.programId('p'), 1000, text, 1 as types.Term)
    const encoded = programState.encodeBatch(chain)
    const toUsPerRecord = (us: number) => Number((us / chain.length).toFixed(2))
    rows.push({
      records: name,
      'bytes per record': Math.round(Buffer.byteLength(encoded) / chain.length),
      'check us': toUsPerRecord(await measureLeastCpuUs(() => chain.forEach((record) => programState.checkRecord(record)))),
      'encode us': toUsPerRecord(await measureLeastCpuUs(() => programState.encodeBatch(chain))),
      'parse us': toUsPerRecord(await measureLeastCpuUs(() => JSON.parse(encoded))),
      'parse and check us': toUsPerRecord(await measureLeastCpuUs(() => programState.parseBatch(encoded))),
      'fold us': toUsPerRecord(await measureLeastCpuUs(() => foldAll(chain)))
    })
  }
  return rows
}

function foldAll (chain: readonly types.JournalRecord[]): void {
  let view: programState.ProgramView | undefined
  chain.forEach((record, index) => { view = programState.applyRecord(view, record, index + 1 as types.Term).view })
}

/** Measures the CPU time of a record from append to result, with a log that answers without latency. */
async function measureAppend (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const timers = timerService.createRealTimers()
    const journal = await openJournal(new testLog.TestLog({ timers, latencyMs: 0 }), timers)
    const programs = createProgramIds(otherPrograms)
    const beginResults = await Promise.all(programs.map((program) => journal.append(records.begin(program, home, Date.now()))))
    const terms = beginResults.map((result) => result.ok ? result.value.position : 0 as types.Term)
    let seq = 0
    const us = await measureLeastCpuUs(async () => {
      seq += 1
      await Promise.all(programs.map((program, index) => journal.append(records.turn({ program, n: seq + 1, term: terms[index]! }, seq, text))))
    })
    rows.push({ records: name, 'append us per record': Number((us / programs.length).toFixed(1)), 'records per second and core': Math.round(1e6 * programs.length / us) })
  }
  return rows
}

async function measureCatchUp (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, text] of [['small', smallText], ['large', largeText]] as const) {
    const timers = timerService.createRealTimers()
    const log = new testLog.TestLog({ timers, latencyMs: 0 })
    const turns = 10
    fillLog(log, createProgramIds(otherPrograms), turns, 8, text)
    const journal = await openJournal(log, timers)
    const us = await measureCpuUs(() => journal.catchUp(0))
    const { recordsFolded, bytesRead } = journal.getCounters()
    rows.push({
      records: name,
      'catch-up us per record': Number((us / recordsFolded).toFixed(1)),
      'MB per second and core': Number((bytesRead / us).toFixed(0))
    })
  }
  return rows
}

/** Measures the CPU time of a load, and its duration when each read takes 5 ms. */
async function measureLoad (): Promise<object[]> {
  const rows: object[] = []
  for (const batchSize of [1, 8, 32]) {
    const timers = timerService.createManualTimers(Date.now())
    const names = createProgramIds(otherPrograms + 1)
    const logWithoutLatency = new testLog.TestLog({ timers, latencyMs: 0 })
    const logWithLatency = new testLog.TestLog({ timers, latencyMs: 2.5 })
    for (const log of [logWithoutLatency, logWithLatency]) fillLog(log, names, turnsPerProgram, batchSize, smallText, largeText)
    const journal = await openJournal(logWithoutLatency, timers)
    await journal.catchUp(0)
    const { reads, bytesRead } = journal.getCounters()
    const cpuUs = await measureCpuUs(() => load(journal, names[0]!))
    rows.push({
      'records per batch': batchSize,
      'load CPU ms': Number((cpuUs / 1000).toFixed(1)),
      'load ms with 5 ms reads': await measureLoadMs(logWithLatency, timers, names[0]!),
      reads: journal.getCounters().reads - reads,
      'KB read': Math.round((journal.getCounters().bytesRead - bytesRead) / 1000)
    })
  }
  return rows
}

async function load (journal: appendJournal.Journal, program: types.ProgramId): Promise<void> {
  const state = await journal.load(program)
  if (!state.ok || state.value?.turns.length !== turnsPerProgram) throw new Error('the program was not loaded completely')
}

async function measureLoadMs (log: testLog.TestLog, timers: timerService.ManualTimers, program: types.ProgramId): Promise<number> {
  const journal = await openJournal(log, timers)
  await advanceUntilDone(timers, journal.catchUp(0))
  const from = timers.now()
  await advanceUntilDone(timers, load(journal, program))
  return timers.now() - from
}

async function advanceUntilDone (timers: timerService.ManualTimers, work: Promise<unknown>): Promise<void> {
  const progress = { done: false }
  void work.finally(() => { progress.done = true })
  while (!progress.done) await timers.advanceAsync(1)
  await work
}

/** Measures what a starting process reads from a log of one day, for several retentions. */
async function measureStart (): Promise<object[]> {
  const hourMs = 3_600_000
  const batches = 20_000
  const timers = timerService.createManualTimers(Date.now())
  const log = new testLog.TestLog({ timers, latencyMs: 0 })
  for (let created = 0; created < batches; created += 1) {
    appendBatch(log, Array.from({ length: 8 }, (_, index) => records.begin(records.programId(`program-${created}-${index}`), home, timers.now())))
    timers.advance(24 * hourMs / batches)
  }
  const rows: object[] = []
  // Keeps all journals, because memory that is freed meanwhile would lower the next measurement.
  const journals: appendJournal.Journal[] = []
  for (const hours of [24, 6, 1]) {
    const bytesBefore = measureHeapBytes()
    const journal = await openJournal(log, timers, { retentionMs: hours * hourMs })
    journals.push(journal)
    const us = await measureCpuUs(() => journal.catchUp(0))
    const heldBytes = measureHeapBytes() - bytesBefore
    const { reads, bytesRead, recordsFolded, heads } = journal.getCounters()
    rows.push({
      'retention h': hours,
      'start ms': Math.round(us / 1000),
      reads,
      'MB read': Number((bytesRead / 1e6).toFixed(2)),
      records: recordsFolded,
      heads,
      'bytes per head': Math.round(heldBytes / heads)
    })
  }
  if (journals.length !== rows.length) throw new Error('a journal is missing')
  return rows
}

/** Measures batch sizes and latencies at a steady rate of records, in simulated time. */
async function measureBatches (): Promise<object[]> {
  const rows: object[] = []
  const seconds = 5
  for (const shards of [1, 8]) {
    for (const perSecond of [100, 1000, 3000]) {
      const timers = timerService.createManualTimers()
      const log = new testLog.TestLog({ timers, latencyMs: 2.5 })
      const journal = await openJournal(log, timers, { shards, maxAppendsPerSecond: 200 })
      const latenciesMs: number[] = []
      const total = perSecond * seconds
      for (let created = 0; created < total; created += 1) {
        const appendedAt = timers.now()
        void journal.append(records.begin(records.programId(`program-${created}`), home, timers.now())).then(() => latenciesMs.push(timers.now() - appendedAt))
        await timers.advanceAsync(1000 / perSecond)
      }
      await timers.advanceAsync(1000)
      latenciesMs.sort((a, b) => a - b)
      const { appends, records: sentRecords, bytesWritten } = journal.getCounters()
      rows.push({
        shards,
        'records per second': perSecond,
        'records per append': Number((sentRecords / appends).toFixed(1)),
        'appends per second': Math.round(appends / seconds),
        'KB per append': Number((bytesWritten / appends / 1000).toFixed(1)),
        'median ms': Number(latenciesMs[Math.floor(latenciesMs.length / 2)]!.toFixed(1)),
        '95% ms': Number(latenciesMs[Math.floor(latenciesMs.length * 0.95)]!.toFixed(1))
      })
    }
  }
  return rows
}

console.log('CPU time of each step, microseconds per record')
console.table(await measureSteps())
console.log('From append to result, in-memory log')
console.table(await measureAppend())
console.log('Catching up on 1,000 programs of 10 turns, 8 records per batch')
console.table(await measureCatchUp())
console.log('Loading a program of 110 turns and 600 KB among 1,000 others')
console.table(await measureLoad())
console.log('Starting on a log of one day with 160,000 records')
console.table(await measureStart())
console.log('Batches with 5 ms appends and at most 200 appends per second, simulated time')
console.table(await measureBatches())
