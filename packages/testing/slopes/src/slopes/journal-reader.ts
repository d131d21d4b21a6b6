/** Cost to a process of the records that others write to a shard: the index of their programs, and loading one of them. */
import * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import * as loggers from '@eelgrasswind/logger'
import type * as logClient from '@eelgrasswind/log-client'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as records from '../records.js'
import * as series from '../series.js'

const programSizes = [1_000, 10_000, 89_000]
const turnSizes = [10, 55, 110]
const recordSizes = [200, 800, 3_200]
const repetitions = 3
const fewPrograms = 500
/** Records of a log record, of as many programs. */
const batchRecords = 8
const largeTurnBytes = 5_450
const smallTurnBytes = 20

/** A log that only serves what it was given. */
function logOf (texts: readonly string[], at: types.EpochMs): logClient.LogClient {
  // A text that was joined is copied to one piece, as it comes from a socket; else reading it would free memory.
  const all = texts.map((text, offset): logClient.LogRecord => ({ offset: offset as types.LogOffset, at, data: Buffer.from(text).toString() }))
  return {
    append: async () => errors.fail({ tag: 'logUnavailable', verdict: 'notRun', message: 'read only', retryAfterMs: 1 }),
    read: async (_stream, from, options = {}) => errors.ok({
      first: 0 as types.LogOffset,
      next: all.length as types.LogOffset,
      records: all.slice(from, from + (options.limit ?? 256))
    }),
    close: async () => {}
  }
}

function openJournal (log: logClient.LogClient): Promise<appendJournal.Journal> {
  return appendJournal.createJournal({
    log,
    timers: timerService.createRealTimers(),
    logger: loggers.createSilentLogger(),
    shards: 1,
    maxAppendsPerSecond: 100,
    maxBatchBytes: 524_288,
    patienceMs: 1_000,
    onSuperseded: () => {}
  })
}

function programOf (index: number): types.ProgramId {
  return `program-${index}` as types.ProgramId
}

const now = (): types.EpochMs => Date.now() as types.EpochMs

/** Programs that advance together, a turn of each of `batchRecords` programs in a log record. */
function textsOf (programs: number, turns: number, textBytes: number): string[] {
  const at = now()
  const texts: string[] = []
  for (let first = 0; first < programs; first += batchRecords) {
    const group = Array.from({ length: Math.min(batchRecords, programs - first) }, (_, index) => programOf(first + index))
    const beginOffset = texts.length as types.LogOffset
    texts.push(programState.encodeBatch(group.map((program) => ({ ...records.beginOf(program), at }))))
    for (let seq = 1; seq <= turns; seq += 1) {
      texts.push(programState.encodeBatch(group.map((program, index) =>
        records.turnOf(program, seq, types.toPosition(beginOffset, index), textBytes))))
    }
  }
  return texts
}

async function caughtUp (log: logClient.LogClient): Promise<appendJournal.Journal> {
  const journal = await openJournal(log)
  const read = await journal.catchUp(0)
  if (!read.ok) throw new Error(read.failure.message)
  return journal
}

async function indexBytes (programs: number, turns: number): Promise<number> {
  const log = logOf(textsOf(programs, turns, smallTurnBytes), now())
  const { bytes } = await measures.bytesHeldAsync(() => caughtUp(log))
  return bytes
}

async function catchUpCost (count: number): Promise<number> {
  const programs = count / 10
  const log = logOf(textsOf(programs, 9, largeTurnBytes), now())
  return await measures.cpuUsAsync(async () => { await caughtUp(log) })
}

/** Loading after the shard has been read; the batches hold records of seven other programs. */
async function loadCost (turns: number): Promise<number> {
  const journal = await caughtUp(logOf(textsOf(batchRecords, turns, largeTurnBytes), now()))
  const program = programOf(3)
  return await measures.cpuUsAsync(async () => {
    const loaded = await journal.load(program)
    if (!loaded.ok || loaded.value?.turns.length !== turns) throw new Error('the program was not loaded whole')
    journal.release(program)
  })
}

export const journalReader: series.Slope = {
  name: 'journal-reader',
  measure: async () => [
    { name: 'index of programs of others, begun only', per: 'program', unit: 'bytes', runs: await series.repeatAsync(repetitions, programSizes, (count) => indexBytes(count, 0)) },
    { name: 'index by records, each in another log record', per: 'record', unit: 'bytes', runs: await series.repeatAsync(repetitions, turnSizes, async (turns) => await indexBytes(fewPrograms, turns) / fewPrograms) },
    { name: 'catching up on records of 5,450 bytes', per: 'record', unit: 'us', runs: await series.repeatAsync(repetitions, recordSizes, catchUpCost) },
    { name: 'loading a program from batches of 8', per: 'turn', unit: 'us', runs: await series.repeatAsync(repetitions, turnSizes, loadCost) }
  ]
}
