/**
 * Simulates processes that write and read one stream, with delayed, duplicated, reordered and lost batches and
 * with restarts, for the property tests of the fold.
 */
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as records from './test-records.js'
import * as programState from './index.js'

export const programs = ['p1', 'p2'] as types.ProgramId[]
export const branches = ['main', 'agent'] as types.BranchId[]
export const rules: programState.FoldRules = { idleTimeoutMs: 100, reuseDelayMs: 48 }

export interface LogEntry {
  readonly batch: readonly types.JournalRecord[]
  readonly at: types.EpochMs
}

export type Views = Map<types.ProgramId, programState.ProgramView>
export type Observe = (record: types.JournalRecord, effect: programState.Effect, view: programState.ProgramView | undefined, position: types.Term) => void

/** A process that may lag behind the log, may restart, and writes only what its read position allows. */
interface Writer {
  readonly home: types.ProcessRef
  readonly views: Views
  nextOffset: number
  readonly coveredSince: types.EpochMs | undefined
  /** The last record that it sent for each program. */
  readonly lastSent: Map<types.ProgramId, types.JournalRecord>
}

export interface World {
  readonly log: LogEntry[]
  readonly writers: Writer[]
  readonly inFlight: (readonly types.JournalRecord[])[]
  readonly authorOf: Map<types.JournalRecord, types.ProcessRef>
  now: number
  createdCount: number
}

const action = fc.oneof(
  { weight: 8, arbitrary: fc.constant('write' as const) },
  { weight: 8, arbitrary: fc.constant('append' as const) },
  { weight: 8, arbitrary: fc.constant('read' as const) },
  { weight: 2, arbitrary: fc.constant('appendAgain' as const) },
  { weight: 1, arbitrary: fc.constant('restart' as const) },
  { weight: 1, arbitrary: fc.constant('wait' as const) }
)
const step = fc.record({ action, writer: fc.nat(2), program: fc.nat(1), pick: fc.nat(1000), size: fc.integer({ min: 1, max: 3 }) })
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** Random schedules of steps. */
export const schedule = fc.array(step, { minLength: 40, maxLength: 250, size: 'max' })

/** Folds the log entries from `from` up to, but not including, `to` into views. */
export function foldEntries (views: Views, log: readonly LogEntry[], from: number, to: number, coveredSince: types.EpochMs | undefined, observe?: Observe): void {
  for (let offset = from; offset < to; offset += 1) {
    const { batch, at } = log[offset]!
    for (const [index, record] of batch.entries()) {
      const position = records.term(offset * 10 + index + 1)
      const { view, effect } = programState.applyRecord(views.get(record.program), record, position, { at, coveredSince, rules })
      if (view !== undefined) views.set(record.program, view)
      observe?.(record, effect, view, position)
    }
  }
}

/** Folds a log from an offset to its end. */
export function foldLog (log: readonly LogEntry[], from = 0, observe?: Observe): Views {
  const views: Views = new Map()
  foldEntries(views, log, from, log.length, from === 0 ? undefined : log[from]?.at, observe)
  return views
}

/** Runs three writers against one log and returns the resulting world. */
export function runSchedule (steps: readonly Step[]): World {
  const world: World = { log: [], writers: [], inFlight: [], authorOf: new Map(), now: 1000, createdCount: 0 }
  for (const name of ['a', 'b', 'c']) world.writers.push(startWriter(world, name, 0))
  for (const step of steps) runStep(world, step)
  return world
}

function startWriter (world: World, name: string, from: number): Writer {
  const home = { host: name as types.HostId, incarnation: `${name}-${world.createdCount++}` as types.Incarnation }
  const coveredSince = from === 0 ? undefined : world.log[from]?.at ?? world.now as types.EpochMs
  return { home, views: new Map(), nextOffset: from, coveredSince, lastSent: new Map() }
}

function runStep (world: World, step: Step): void {
  const { pick, size } = step
  const writer = world.writers[step.writer]!
  const flightIndex = pick % Math.max(1, world.inFlight.length)
  world.now += 1
  switch (step.action) {
    case 'write':
      return sendBatch(world, writer, programs[step.program]!, pick, size)
    case 'append':
      return appendToLog(world, world.inFlight.splice(flightIndex, 1)[0])
    case 'appendAgain':
      return appendToLog(world, world.inFlight[flightIndex])
    case 'read': {
      const from = writer.nextOffset
      writer.nextOffset = size === 1 ? Math.min(world.log.length, from + 2) : world.log.length
      return foldEntries(writer.views, world.log, from, writer.nextOffset, writer.coveredSince)
    }
    case 'restart':
      world.writers[step.writer] = startWriter(world, writer.home.host, pick % 2 * pick % (world.log.length + 1))
      return
    case 'wait':
      world.now += pick % 70
  }
}

function appendToLog (world: World, batch: readonly types.JournalRecord[] | undefined): void {
  if (batch !== undefined) world.log.push({ batch, at: world.now as types.EpochMs })
}

function sendBatch (world: World, writer: Writer, program: types.ProgramId, pick: number, size: number): void {
  const batch: types.JournalRecord[] = []
  for (let count = 0; count < size; count += 1) {
    const record = createNextRecord(world, writer, program, pick + count * 13)
    if (record === undefined) break
    batch.push(record)
    world.authorOf.set(record, writer.home)
    writer.lastSent.set(program, record)
    if (record.type === 'begin' || record.type === 'claim' || record.type === 'snapshot') break
  }
  if (batch.length > 0) world.inFlight.push(batch)
}

/** Creates a record that is mostly valid in the state that the writer has read. */
function createNextRecord (world: World, writer: Writer, program: types.ProgramId, pick: number): types.JournalRecord | undefined {
  const state = programState.getCompleteState(writer.views.get(program))
  const at = world.now as types.EpochMs
  if (state === undefined ? pick % 3 === 0 : pick % 50 === 0) {
    const start = { ...records.begin().start, program }
    return { type: 'begin', program, n: 1, term: records.term(0), start, home: writer.home, at }
  }
  if (state === undefined) return undefined
  const lastRecord = writer.lastSent.get(program)
  const unreadCount = lastRecord?.term === state.term && lastRecord.n > state.n ? lastRecord.n - state.n : 0
  const base = { program, n: state.n + 1 + unreadCount, term: state.term }
  const isHome = programState.isSameProcess(state.home, writer.home)
  if (isHome && unreadCount > 2) return undefined
  if (isHome) return createHomeRecord(state, base, unreadCount, pick, world.createdCount++)
  return unreadCount === 0 && pick % 5 === 0 ? { ...base, type: 'claim', home: writer.home, at } : undefined
}

function createHomeRecord (
  state: programState.ProgramState, base: Pick<types.JournalRecord, 'program' | 'n' | 'term'>, unreadCount: number, pick: number, createdCount: number
): types.JournalRecord {
  const branch = branches[state.turns.length % 3 === 0 ? 1 : 0]!
  const seq = programState.getNextSeq(state, branch) + unreadCount
  const openIntent = [...state.intents.values()][0]
  const name = `${base.program}/${createdCount}`
  const turn = records.createTurn(seq, name, { branch, usage: { tokens: seq, calls: 1, microCost: 3 } })
  const usedKey = state.turns[0] && { key: state.turns[0].key }
  switch (pick % 11) {
    case 0: return unreadCount === 0 ? { ...base, type: 'snapshot', state: programState.createSnapshot(state) } : { ...base, type: 'turn', turn }
    case 1: return createdCount % 4 === 0 ? { ...base, type: 'finish', result: 'done', at: records.at(createdCount) } : { ...base, type: 'turn', turn }
    case 2: return { ...records.intent(base.n, base.term, seq, name), ...base, branch, seq: Math.max(1, seq - createdCount % 2), ...createdCount % 3 === 0 && usedKey }
    case 3: return openIntent === undefined ? { ...base, type: 'turn', turn } : { ...base, type: 'settle', key: openIntent.key, verdict: 'notRun' }
    case 4: return { ...base, type: 'turn', turn: { ...turn, seq: openIntent === undefined ? seq + 1 : openIntent.seq } }
    case 5: return { ...base, type: 'turn', turn: { ...turn, ...usedKey } }
    case 6: return { ...base, type: 'turn', turn: openIntent === undefined ? turn : { ...turn, key: openIntent.key, branch: openIntent.branch, seq: openIntent.seq, digest: openIntent.digest } }
    case 7: return { ...base, type: 'allow', allowance: { tokens: createdCount, calls: 1, microCost: 0 } }
    default: return openIntent === undefined ? { ...base, type: 'turn', turn } : { ...base, type: 'settle', key: openIntent.key, verdict: 'notRun' }
  }
}
