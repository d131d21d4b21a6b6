/** Processes that write and read one stream with every fault at once, for the properties of the fold. */
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

/** Reads at its own pace, may restart, and acts only on what it has read. */
interface Writer {
  readonly home: types.ProcessRef
  readonly views: Views
  next: number
  readonly coveredSince: types.EpochMs | undefined
  /** The last record it wrote of each program. */
  readonly sent: Map<types.ProgramId, types.JournalRecord>
}

export interface World {
  readonly log: LogEntry[]
  readonly writers: Writer[]
  readonly inFlight: (readonly types.JournalRecord[])[]
  readonly author: Map<types.JournalRecord, types.ProcessRef>
  now: number
  made: number
}

const act = fc.oneof(
  { weight: 8, arbitrary: fc.constant('write' as const) },
  { weight: 8, arbitrary: fc.constant('land' as const) },
  { weight: 8, arbitrary: fc.constant('read' as const) },
  { weight: 2, arbitrary: fc.constant('landAgain' as const) },
  { weight: 1, arbitrary: fc.constant('restart' as const) },
  { weight: 1, arbitrary: fc.constant('wait' as const) }
)
const step = fc.record({ act, writer: fc.nat(2), program: fc.nat(1), pick: fc.nat(1000), size: fc.integer({ min: 1, max: 3 }) })
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** What the scheduler does, step by step. */
export const schedule = fc.array(step, { minLength: 40, maxLength: 250, size: 'max' })

/** Folds entries of the log into views. */
export function readOn (views: Views, log: readonly LogEntry[], from: number, to: number, coveredSince: types.EpochMs | undefined, observe?: Observe): void {
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

/** Reads a log from an offset to its end. */
export function readAll (log: readonly LogEntry[], from = 0, observe?: Observe): Views {
  const views: Views = new Map()
  readOn(views, log, from, log.length, from === 0 ? undefined : log[from]?.at, observe)
  return views
}

/** Runs three writers against one log and gives what they left there. */
export function run (steps: readonly Step[]): World {
  const world: World = { log: [], writers: [], inFlight: [], author: new Map(), now: 1000, made: 0 }
  for (const name of ['a', 'b', 'c']) world.writers.push(startWriter(world, name, 0))
  for (const chosen of steps) takeStep(world, chosen)
  return world
}

function startWriter (world: World, name: string, from: number): Writer {
  const home = { host: name as types.HostId, incarnation: `${name}-${world.made++}` as types.Incarnation }
  const coveredSince = from === 0 ? undefined : world.log[from]?.at ?? world.now as types.EpochMs
  return { home, views: new Map(), next: from, coveredSince, sent: new Map() }
}

function takeStep (world: World, chosen: Step): void {
  const { pick, size } = chosen
  const writer = world.writers[chosen.writer]!
  const flight = pick % Math.max(1, world.inFlight.length)
  world.now += 1
  switch (chosen.act) {
    case 'write':
      return write(world, writer, programs[chosen.program]!, pick, size)
    case 'land':
      return land(world, world.inFlight.splice(flight, 1)[0])
    case 'landAgain':
      return land(world, world.inFlight[flight])
    case 'read': {
      const from = writer.next
      writer.next = size === 1 ? Math.min(world.log.length, from + 2) : world.log.length
      return readOn(writer.views, world.log, from, writer.next, writer.coveredSince)
    }
    case 'restart':
      world.writers[chosen.writer] = startWriter(world, writer.home.host, pick % 2 * pick % (world.log.length + 1))
      return
    case 'wait':
      world.now += pick % 70
  }
}

function land (world: World, batch: readonly types.JournalRecord[] | undefined): void {
  if (batch !== undefined) world.log.push({ batch, at: world.now as types.EpochMs })
}

function write (world: World, writer: Writer, program: types.ProgramId, pick: number, size: number): void {
  const batch: types.JournalRecord[] = []
  for (let count = 0; count < size; count += 1) {
    const record = nextRecord(world, writer, program, pick + count * 13)
    if (record === undefined) break
    batch.push(record)
    world.author.set(record, writer.home)
    writer.sent.set(program, record)
    if (record.type === 'begin' || record.type === 'claim' || record.type === 'snapshot') break
  }
  if (batch.length > 0) world.inFlight.push(batch)
}

/** A record that makes sense to the writer, or now and then doesn't. */
function nextRecord (world: World, writer: Writer, program: types.ProgramId, pick: number): types.JournalRecord | undefined {
  const state = programState.getCompleteState(writer.views.get(program))
  const at = world.now as types.EpochMs
  if (state === undefined ? pick % 3 === 0 : pick % 50 === 0) {
    const start = { ...records.begin().start, program }
    return { type: 'begin', program, n: 1, term: records.term(0), start, home: writer.home, at }
  }
  if (state === undefined) return undefined
  const last = writer.sent.get(program)
  const waiting = last?.term === state.term && last.n > state.n ? last.n - state.n : 0
  const base = { program, n: state.n + 1 + waiting, term: state.term }
  const mine = programState.isSameProcess(state.home, writer.home)
  if (mine && waiting > 2) return undefined
  if (mine) return ownRecord(state, base, waiting, pick, world.made++)
  return waiting === 0 && pick % 5 === 0 ? { ...base, type: 'claim', home: writer.home, at } : undefined
}

function ownRecord (
  state: programState.ProgramState, base: Pick<types.JournalRecord, 'program' | 'n' | 'term'>, waiting: number, pick: number, made: number
): types.JournalRecord {
  const branch = branches[state.turns.length % 3 === 0 ? 1 : 0]!
  const seq = programState.getNextSeq(state, branch) + waiting
  const open = [...state.intents.values()][0]
  const name = `${base.program}/${made}`
  const turn = records.turnOf(seq, name, { branch, usage: { tokens: seq, calls: 1, microCost: 3 } })
  const usedKey = state.turns[0] && { key: state.turns[0].key }
  switch (pick % 11) {
    case 0: return waiting === 0 ? { ...base, type: 'snapshot', state: programState.createSnapshot(state) } : { ...base, type: 'turn', turn }
    case 1: return made % 4 === 0 ? { ...base, type: 'finish', result: 'done', at: records.at(made) } : { ...base, type: 'turn', turn }
    case 2: return { ...records.intent(base.n, base.term, seq, name), ...base, branch, seq: Math.max(1, seq - made % 2), ...made % 3 === 0 && usedKey }
    case 3: return open === undefined ? { ...base, type: 'turn', turn } : { ...base, type: 'settle', key: open.key, verdict: 'notRun' }
    case 4: return { ...base, type: 'turn', turn: { ...turn, seq: open === undefined ? seq + 1 : open.seq } }
    case 5: return { ...base, type: 'turn', turn: { ...turn, ...usedKey } }
    case 6: return { ...base, type: 'turn', turn: open === undefined ? turn : { ...turn, key: open.key, branch: open.branch, seq: open.seq, digest: open.digest } }
    case 7: return { ...base, type: 'allow', allowance: { tokens: made, calls: 1, microCost: 0 } }
    default: return open === undefined ? { ...base, type: 'turn', turn } : { ...base, type: 'settle', key: open.key, verdict: 'notRun' }
  }
}
