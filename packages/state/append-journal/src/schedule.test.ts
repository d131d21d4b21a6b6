import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import type * as errors from '@eelgrasswind/errors'
import * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as appendJournal from './index.js'
import * as records from './test-records.js'
import * as testLog from './test-log.js'

const retentionMs = 4000
const finishedMs = 2400
const programs = ['p1', 'p2', 'p3'].map(records.programId)

const fault = fc.oneof(
  { weight: 4, arbitrary: fc.constant('none' as const) },
  fc.constantFrom('refuse' as const, 'loseAnswer' as const, 'lateCopy' as const, 'stall' as const)
)
/** One after another, the same fault several times. */
function repeated<T> (kind: fc.Arbitrary<T>): fc.Arbitrary<T[]> {
  const runs = fc.array(fc.tuple(kind, fc.integer({ min: 1, max: 9 })), { maxLength: 20, size: 'max' })
  return runs.map((all) => all.flatMap(([value, times]) => new Array<T>(times).fill(value)))
}
const step = fc.record({
  writer: fc.nat(2),
  program: fc.nat(2),
  act: fc.constantFrom('begin' as const, 'claim' as const, 'turn' as const, 'turn' as const, 'turns' as const, 'again' as const, 'snapshot' as const),
  waitMs: fc.constantFrom(0, 0, 1, 5, 50, 400)
})
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never
const world = fc.record({
  steps: fc.array(step, { minLength: 15, maxLength: 50, size: 'max' }),
  appendFaults: repeated(fault),
  readFaults: repeated(fc.boolean())
})
type World = typeof world extends fc.Arbitrary<infer T> ? T : never

/** A process with a journal: it writes what its loaded states allow. */
interface Writer {
  readonly home: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly states: Map<types.ProgramId, programState.ProgramState>
}

interface Told {
  readonly writer: Writer
  readonly outcome: errors.Result<appendJournal.Appended>
}

class Run {
  readonly timers = timerService.createManualTimers()
  readonly log = new testLog.TestLog({ timers: this.timers, latencyMs: 2, retentionMs })
  /** What each record's writer was told last; the first word where that was ok. */
  readonly told = new Map<types.JournalRecord, Told>()
  readonly pending: Promise<unknown>[] = []
  private made = 0

  async createWriter (name: string): Promise<Writer> {
    const home = { host: name as types.HostId, incarnation: `${name}${this.made++}` as types.Incarnation }
    const states: Writer['states'] = new Map()
    const onSuperseded = (program: types.ProgramId) => { states.delete(program) }
    const silent = logger.createSilentLogger()
    const limits = { shards: 2, maxAppendsPerSecond: 200, maxBatchBytes: 3000, patienceMs: 150, retentionMs, finishedMs }
    const journal = await appendJournal.createJournal({ log: this.log, timers: this.timers, logger: silent, ...limits, random: () => 0.5, onSuperseded })
    return { home, journal, states }
  }

  async append (writer: Writer, record: types.JournalRecord): Promise<void> {
    const outcome = await writer.journal.append(record)
    if (this.told.get(record)?.outcome.ok !== true) this.told.set(record, { writer, outcome })
  }

  async act (writer: Writer, program: types.ProgramId, act: Step['act']): Promise<void> {
    const state = writer.states.get(program)
    const own = state !== undefined && programState.isSameProcess(state.home, writer.home) ? state : undefined
    const at = this.timers.now()
    switch (act) {
      case 'begin':
        await this.append(writer, records.begin(program, writer.home, at))
        return await this.load(writer, program)
      case 'claim': {
        const head = await writer.journal.readHead(program)
        if (!head.ok || head.value === undefined) return
        await this.append(writer, records.claim({ program, n: head.value.n + 1, term: head.value.term }, writer.home, at))
        return await this.load(writer, program)
      }
      case 'turn':
        return own && await this.append(writer, this.turn(own, 1))
      case 'turns':
        if (own !== undefined) await Promise.all([1, 2, 3].map((ahead) => this.append(writer, this.turn(own, ahead))))
        return
      case 'snapshot':
        return own && await this.append(writer, { type: 'snapshot', program, n: own.n + 1, term: own.term, state: programState.createSnapshot(own) })
      case 'again': {
        const open = [...this.told].filter(([, told]) => told.writer === writer && !told.outcome.ok && told.outcome.failure.verdict === 'mayHaveRun')
        await Promise.all(open.map(([record]) => this.append(writer, record)))
      }
    }
  }

  private async load ({ journal, states }: Writer, program: types.ProgramId): Promise<void> {
    const state = await journal.load(program)
    if (state.ok && state.value !== undefined) states.set(program, state.value)
  }

  /** The record so many places ahead. */
  private turn (state: programState.ProgramState, ahead: number): types.TurnRecord {
    const place = { program: state.start.program, n: state.n + ahead, term: state.term }
    const { turn, ...rest } = records.turn(place, state.turns.length + ahead, 'x')
    return { ...rest, turn: { ...turn, key: `${place.program}/${this.made++}` as types.RequestKey } }
  }
}

async function run ({ steps, appendFaults, readFaults }: World): Promise<{ run: Run, writers: Writer[] }> {
  const run = new Run()
  const writers = await Promise.all(['a', 'b', 'c'].map((name) => run.createWriter(name)))
  run.log.appendFault = () => appendFaults.shift() ?? 'none'
  run.log.readFails = () => readFaults.shift() ?? false
  for (const { writer, program, act, waitMs } of steps) {
    run.pending.push(run.act(writers[writer]!, programs[program]!, act))
    await run.timers.advanceAsync(waitMs)
  }
  run.log.appendFault = () => 'none'
  run.log.readFails = () => false
  await run.timers.advanceAsync(2000)
  await Promise.all(run.pending)
  return { run, writers }
}

/** Folds the whole log: the effect of each record's deciding copy, by text, and the states. */
function readLog (log: testLog.TestLog, shards: number) {
  const effects = new Map<string, programState.Effect>()
  const views = new Map<types.ProgramId, programState.ProgramView>()
  const rules = appendJournal.createFoldRules(retentionMs, finishedMs)
  for (let shard = 0; shard < shards; shard += 1) {
    for (const { offset, at, data } of log.recordsOf(`journal-${shard}` as types.StreamName)) {
      const batch = programState.parseBatch(data)
      if (!batch.ok) throw new Error(batch.failure.message)
      for (const [index, record] of batch.value.records.entries()) {
        const { view, effect } = programState.applyRecord(views.get(record.program), record, types.positionOf(offset, index), { at, coveredSince: undefined, rules })
        if (view !== undefined) views.set(record.program, view)
        const text = programState.encodeRecord(record)
        if (effect.type === 'applied' || !effects.has(text)) effects.set(text, effect)
      }
    }
  }
  return { effects, views }
}

function plain (state: programState.ProgramState | undefined): unknown {
  return state && { ...programState.createSnapshot(state), n: state.n }
}

const counts = { applied: 0, void: 0, notRun: 0, mayHaveRun: 0, claims: 0, loaded: 0, incomplete: 0 }

function checkTold ({ run }: { run: Run }, effects: ReadonlyMap<string, programState.Effect>): void {
  const winners = new Set<string>()
  for (const [record, { outcome }] of run.told) {
    const effect = effects.get(programState.encodeRecord(record))
    if (outcome.ok && outcome.value.effect.type !== 'incomplete') assert.deepEqual(effect, outcome.value.effect)
    if (!outcome.ok && outcome.failure.verdict === 'notRun') assert.equal(effect, undefined)
    counts[outcome.ok ? outcome.value.applied ? 'applied' : 'void' : outcome.failure.verdict as 'notRun'] += 1
    if (record.type !== 'claim' || !outcome.ok || !outcome.value.applied) continue
    assert.ok(!winners.has(`${record.program} ${record.term}`))
    winners.add(`${record.program} ${record.term}`)
    counts.claims += 1
  }
}

/** A reader has the state of the whole log or says that it can't know it; unknown are programs that are gone. */
function checkLoaded ({ timers }: Run, result: errors.Result<programState.ProgramState | undefined>, truth: programState.ProgramState | undefined, kept: programState.ProgramState | undefined): void {
  if (!result.ok) {
    assert.equal(result.failure.tag, 'historyIncomplete')
    counts.incomplete += 1
    return
  }
  if (result.value === undefined) {
    assert.ok(truth === undefined || timers.now() - truth.lastAppliedAt >= retentionMs * 0.75)
    return
  }
  counts.loaded += 1
  assert.deepEqual(plain(result.value), plain(truth))
  if (kept !== undefined) assert.deepEqual(plain(kept), plain(truth))
}

tap.test('what appends report is what every reader finds', async (t) => {
  const property = fc.asyncProperty(world, async (chosen) => {
    const { run: ran, writers } = await run(chosen)
    const { effects, views } = readLog(ran.log, 2)
    checkTold({ run: ran }, effects)
    const late = await ran.createWriter('late')
    for (const { journal, states } of [...writers, late]) {
      const loaded = Promise.all(programs.map((program) => journal.load(program)))
      await ran.timers.advanceAsync(500)
      for (const [index, result] of (await loaded).entries()) {
        checkLoaded(ran, result, programState.getCompleteState(views.get(programs[index]!)), states.get(programs[index]!))
      }
    }
  })
  const result = await fc.check(property, { seed: 1, numRuns: 200, endOnFailure: true })
  t.notOk(result.failed, result.failed ? `${String(result.errorInstance)} ${fc.defaultReportMessage(result)}` : 'holds')
  t.comment(JSON.stringify(counts))
  t.ok(counts.applied > 500 && counts.void > 100 && counts.notRun > 100 && counts.mayHaveRun > 20 && counts.claims > 50 && counts.loaded > 500 && counts.incomplete > 10, JSON.stringify(counts))
})
