/** Loads the whole state of one program from the log records that hold it. Records that are close together are read in one page. */
import * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'
import * as failures from './failures.js'
import type * as heads from './heads.js'
import type * as shardFold from './shard-fold.js'
import type * as shardReader from './shard-reader.js'

/** A record of the program with its position and its log time. */
interface PositionedRecord {
  readonly record: types.JournalRecord
  readonly position: types.Term
  readonly at: types.EpochMs
}

/** Consecutive log records that are read together. */
interface OffsetRange {
  readonly from: types.LogOffset
  readonly count: number
}

/** Most unneeded log records that are read between two needed ones to avoid a separate page. */
const maxSkippedRecords = 2
/** Pages read at the same time. */
const maxParallelReads = 8

/** Loads a program; undefined if it never began. From then on the fold keeps its state up to date. */
export async function loadProgram (
  fold: shardFold.ShardFold, reader: shardReader.ShardReader, program: types.ProgramId
): Promise<errors.Result<programState.ProgramState | undefined>> {
  const records = new Map<types.LogOffset, PositionedRecord[]>()
  for (;;) {
    const chain = fold.heads.getChain(program)
    if (chain === undefined) return errors.ok(undefined)
    if (chain.current === undefined) return errors.fail(failures.historyIncomplete(program))
    const missing = chain.current.offsets.filter((offset) => !records.has(offset))
    if (missing.length === 0) return finishLoad(fold, program, chain.current, records)
    const read = await readRanges(reader, program, groupOffsets(missing), records)
    if (!read.ok) return read
  }
}

function finishLoad (
  fold: shardFold.ShardFold, program: types.ProgramId, head: heads.IndexedHead, records: ReadonlyMap<types.LogOffset, PositionedRecord[]>
): errors.Result<programState.ProgramState | undefined> {
  const positioned = head.offsets.flatMap((offset) => records.get(offset) ?? []).filter(({ position }) => position >= head.basePosition)
  const view = foldFromBase(positioned)
  const state = programState.getCompleteState(view)
  if (view === undefined || state?.n !== head.n || state.term !== head.term) return errors.fail(failures.historyIncomplete(program))
  fold.keepLocal(program, view)
  return errors.ok(state)
}

/** Folds records; the first one must be a begin or a snapshot that took effect. */
function foldFromBase ([base, ...later]: readonly PositionedRecord[]): programState.ProgramView | undefined {
  let view = base && programState.createViewFromBase(base.record, base.position, base.at)
  for (const { record, position, at } of later) {
    view = programState.applyRecord(view, record, position, { ...programState.wholeStream, at }).view
  }
  return view
}

/** Joins offsets into ranges, where at most `maxSkippedRecords` lie between them. */
function groupOffsets (offsets: readonly types.LogOffset[]): OffsetRange[] {
  const ranges: OffsetRange[] = []
  for (const offset of offsets) {
    const last = ranges.at(-1)
    if (last !== undefined && offset - (last.from + last.count) <= maxSkippedRecords) {
      ranges[ranges.length - 1] = { from: last.from, count: offset - last.from + 1 }
    } else {
      ranges.push({ from: offset, count: 1 })
    }
  }
  return ranges
}

async function readRanges (
  reader: shardReader.ShardReader, program: types.ProgramId, ranges: OffsetRange[], records: Map<types.LogOffset, PositionedRecord[]>
): Promise<errors.Result<void>> {
  let failure: errors.Result<void> | undefined
  async function readQueuedRanges (): Promise<void> {
    for (let range = ranges.shift(); range !== undefined && failure === undefined; range = ranges.shift()) {
      const read = await readRange(reader, program, range, records)
      if (!read.ok) failure = read
    }
  }
  await Promise.all(Array.from({ length: maxParallelReads }, readQueuedRanges))
  return failure ?? errors.ok(undefined)
}

async function readRange (
  reader: shardReader.ShardReader, program: types.ProgramId, { from, count }: OffsetRange, records: Map<types.LogOffset, PositionedRecord[]>
): Promise<errors.Result<void>> {
  let nextOffset = from
  while (nextOffset < from + count) {
    const page = await reader.readPage(nextOffset, from + count - nextOffset)
    if (!page.ok) return page
    if (page.value.first > nextOffset || page.value.records.length === 0) return errors.fail(failures.historyIncomplete(program))
    for (const { offset, at, data } of page.value.records) {
      const batch = programState.parseBatch(data)
      records.set(offset, batch.ok ? selectRecords(batch.value.records, program, offset, at) : [])
      nextOffset = offset + 1 as types.LogOffset
    }
  }
  return errors.ok(undefined)
}

function selectRecords (batch: readonly types.JournalRecord[], program: types.ProgramId, offset: types.LogOffset, at: types.EpochMs): PositionedRecord[] {
  return batch
    .map((record, index) => ({ record, position: types.toPosition(offset, index), at }))
    .filter(({ record }) => record.program === program)
}
