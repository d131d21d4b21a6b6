/** Reads the whole state of one program: only the log records that hold it, several in one page where they are near. */
import * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'
import * as failures from './failures.js'
import type * as heads from './heads.js'
import type * as shardFold from './shard-fold.js'
import type * as shardReader from './shard-reader.js'

/** A record of the program and where it is. */
interface PlacedRecord {
  readonly record: types.JournalRecord
  readonly position: types.Term
  readonly at: types.EpochMs
}

interface Run {
  readonly from: types.LogOffset
  readonly count: number
}

/** Log records between two of the program's that are read rather than starting another page. */
const maxSkipped = 2
/** Pages read at the same time. */
const maxParallelReads = 8

/** Undefined where the program never began. The state is kept up to date by the fold from then on. */
export async function loadProgram (
  fold: shardFold.ShardFold, reader: shardReader.ShardReader, program: types.ProgramId
): Promise<errors.Result<programState.ProgramState | undefined>> {
  const records = new Map<types.LogOffset, PlacedRecord[]>()
  for (;;) {
    const chain = fold.heads.chainOf(program)
    if (chain === undefined) return errors.ok(undefined)
    if (chain.current === undefined) return errors.fail(failures.historyIncomplete(program))
    const missing = chain.current.offsets.filter((offset) => !records.has(offset))
    if (missing.length === 0) return finishLoad(fold, program, chain.current, records)
    const read = await readRuns(reader, program, runsOf(missing), records)
    if (!read.ok) return read
  }
}

function finishLoad (
  fold: shardFold.ShardFold, program: types.ProgramId, head: heads.HeadPoint, records: ReadonlyMap<types.LogOffset, PlacedRecord[]>
): errors.Result<programState.ProgramState | undefined> {
  const placed = head.offsets.flatMap((offset) => records.get(offset) ?? []).filter(({ position }) => position >= head.base)
  const view = foldFromBase(placed)
  const state = programState.getCompleteState(view)
  if (view === undefined || state?.n !== head.n || state.term !== head.term) return errors.fail(failures.historyIncomplete(program))
  fold.keep(program, view)
  return errors.ok(state)
}

/** Folds records of which the first is a begin or snapshot that took effect. */
function foldFromBase ([base, ...later]: readonly PlacedRecord[]): programState.ProgramView | undefined {
  let view = base && programState.createViewFromBase(base.record, base.position, base.at)
  for (const { record, position, at } of later) {
    view = programState.applyRecord(view, record, position, { ...programState.wholeStream, at }).view
  }
  return view
}

function runsOf (offsets: readonly types.LogOffset[]): Run[] {
  const runs: Run[] = []
  for (const offset of offsets) {
    const last = runs.at(-1)
    if (last !== undefined && offset - (last.from + last.count) <= maxSkipped) {
      runs[runs.length - 1] = { from: last.from, count: offset - last.from + 1 }
    } else {
      runs.push({ from: offset, count: 1 })
    }
  }
  return runs
}

async function readRuns (
  reader: shardReader.ShardReader, program: types.ProgramId, runs: Run[], records: Map<types.LogOffset, PlacedRecord[]>
): Promise<errors.Result<void>> {
  let failed: errors.Result<void> | undefined
  async function work (): Promise<void> {
    for (let run = runs.shift(); run !== undefined && failed === undefined; run = runs.shift()) {
      const read = await readRun(reader, program, run, records)
      if (!read.ok) failed = read
    }
  }
  await Promise.all(Array.from({ length: maxParallelReads }, work))
  return failed ?? errors.ok(undefined)
}

async function readRun (
  reader: shardReader.ShardReader, program: types.ProgramId, { from, count }: Run, records: Map<types.LogOffset, PlacedRecord[]>
): Promise<errors.Result<void>> {
  let next = from
  while (next < from + count) {
    const page = await reader.readPage(next, from + count - next)
    if (!page.ok) return page
    if (page.value.first > next || page.value.records.length === 0) return errors.fail(failures.historyIncomplete(program))
    for (const { offset, at, data } of page.value.records) {
      const batch = programState.parseBatch(data)
      records.set(offset, batch.ok ? placesOf(batch.value.records, program, offset, at) : [])
      next = offset + 1 as types.LogOffset
    }
  }
  return errors.ok(undefined)
}

function placesOf (batch: readonly types.JournalRecord[], program: types.ProgramId, offset: types.LogOffset, at: types.EpochMs): PlacedRecord[] {
  return batch
    .map((record, index) => ({ record, position: types.positionOf(offset, index), at }))
    .filter(({ record }) => record.program === program)
}
