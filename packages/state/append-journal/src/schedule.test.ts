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
const idReuseDelayMs = 2400
const programs = ['p1', 'p2', 'p3'].map(records.programId)

const fault = fc.oneof(
  { weight: 4, arbitrary: fc.constant('none' as const) },
  fc.constantFrom('refuse' as const, 'loseAnswer' as const, 'lateCopy' as const, 'stall' as const)
)
/** Generates a sequence of runs, each of which repeats one value. */
function createRepeatedRuns<T> (kind: fc.Arbitrary<T>): fc.Arbitrary<T[]> {
  const runs = fc.array(fc.tuple(kind, fc.integer({ min: 1, max: 9 })), { maxLength: 20, size: 'max' })
  return runs.map((all) => all.flatMap(([value, times]) => new Array<T>(times).fill(value)))
}
const step = fc.record({
  writer: fc.nat(2),
  program: fc.nat(2),
  action: fc.constantFrom('begin' as const, 'claim' as const, 'turn' as const, 'turn' as const, 'turns' as const, 'retry' as const, 'snapshot' as const),
  waitMs: fc.constantFrom(0, 0, 1, 5, 50, 400)
})
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never
const world = fc.record({
  steps: fc.array(step, { minLength: 15, maxLength: 50, size: 'max' }),
  appendFaults: createRepeatedRuns(fault),
  readFaults: createRepeatedRuns(fc.boolean())
})
type World = typeof world extends fc.Arbitrary<infer T> ? T : never

/** A process with a journal, which writes what the states that it has loaded allow. */
interface Writer {
  readonly home: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly states: Map<types.ProgramId, programState.ProgramState>
}

interface WriterResult {
  readonly writer: Writer
  readonly outcome: errors.Result<appendJournal.AppendOutcome>
}

class Run {
  readonly timers = timerService.createManualTimers()
  readonly log = new testLog.TestLog({ timers: this.timers, latencyMs: 2, retentionMs })
  /** The last result of appending each record, or the first successful one. */
  readonly results = new Map<types.JournalRecord, WriterResult>()
  readonly runningActions: Promise<unknown>[] = []
  private createdCount = 0

  async createWriter (name: string): Promise<Writer> {
    const home = { host: name as types.HostId, incarnation: `${name}${this.createdCount++}` as types.Incarnation }
    const states: Writer['states'] = new Map()
    const onSuperseded = (program: types.ProgramId) => { states.delete(program) }
    const silentLogger = logger.createSilentLogger()
    const limits = { shards: 2, maxAppendsPerSecond: 200, maxBatchBytes: 3000, patienceMs: 150, retentionMs, idReuseDelayMs }
    const journal = await appendJournal.createJournal({ log: this.log, timers: this.timers, logger: silentLogger, ...limits, random: () => 0.5, onSuperseded })
    return { home, journal, states }
  }

  async append (writer: Writer, record: types.JournalRecord): Promise<void> {
    const outcome = await writer.journal.append(record)
    if (this.results.get(record)?.outcome.ok !== true) this.results.set(record, { writer, outcome })
  }

  async runAction (writer: Writer, program: types.ProgramId, action: Step['action']): Promise<void> {
    const state = writer.states.get(program)
    const ownState = state !== undefined && programState.isSameProcess(state.home, writer.home) ? state : undefined
    const at = this.timers.now()
    switch (action) {
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
        return ownState && await this.append(writer, this.createTurnRecord(ownState, 1))
      case 'turns':
        if (ownState !== undefined) await Promise.all([1, 2, 3].map((ahead) => this.append(writer, this.createTurnRecord(ownState, ahead))))
        return
      case 'snapshot':
        return ownState && await this.append(writer, { type: 'snapshot', program, n: ownState.n + 1, term: ownState.term, state: programState.createSnapshot(ownState) })
      case 'retry': {
        const undecided = [...this.results].filter(([, result]) => result.writer === writer && !result.outcome.ok && result.outcome.failure.verdict === 'mayHaveRun')
        await Promise.all(undecided.map(([record]) => this.append(writer, record)))
      }
    }
  }

  private async load ({ journal, states }: Writer, program: types.ProgramId): Promise<void> {
    const state = await journal.load(program)
    if (state.ok && state.value !== undefined) states.set(program, state.value)
  }

  /** Creates the turn record that is `ahead` sequence numbers after the state. */
  private createTurnRecord (state: programState.ProgramState, ahead: number): types.TurnRecord {
    const position = { program: state.start.program, n: state.n + ahead, term: state.term }
    const { turn, ...rest } = records.turn(position, state.turns.length + ahead, 'x')
    return { ...rest, turn: { ...turn, key: `${position.program}/${this.createdCount++}` as types.RequestKey } }
  }
}

async function runSchedule ({ steps, appendFaults, readFaults }: World): Promise<{ run: Run, writers: Writer[] }> {
  const run = new Run()
  const writers = await Promise.all(['a', 'b', 'c'].map((name) => run.createWriter(name)))
  run.log.nextAppendFault = () => appendFaults.shift() ?? 'none'
  run.log.shouldFailRead = () => readFaults.shift() ?? false
  for (const { writer, program, action, waitMs } of steps) {
    run.runningActions.push(run.runAction(writers[writer]!, programs[program]!, action))
    await run.timers.advanceAsync(waitMs)
  }
  run.log.nextAppendFault = () => 'none'
  run.log.shouldFailRead = () => false
  await run.timers.advanceAsync(2000)
  await Promise.all(run.runningActions)
  return { run, writers }
}

/** Folds the whole log and returns the final views, and for each record text the effect of the copy that was applied or else of the first one. */
function readLog (log: testLog.TestLog, shards: number) {
  const effects = new Map<string, programState.Effect>()
  const views = new Map<types.ProgramId, programState.ProgramView>()
  const rules = appendJournal.createFoldRules(retentionMs, idReuseDelayMs)
  for (let shard = 0; shard < shards; shard += 1) {
    for (const { offset, at, data } of log.getRecords(`journal-${shard}` as types.StreamName)) {
      const batch = programState.parseBatch(data)
      if (!batch.ok) throw new Error(batch.failure.message)
      for (const [index, record] of batch.value.records.entries()) {
        const { view, effect } = programState.applyRecord(views.get(record.program), record, types.toPosition(offset, index), { at, coveredSince: undefined, rules })
        if (view !== undefined) views.set(record.program, view)
        const text = programState.encodeRecord(record)
        if (effect.type === 'applied' || !effects.has(text)) effects.set(text, effect)
      }
    }
  }
  return { effects, views }
}

function toPlainState (state: programState.ProgramState | undefined): unknown {
  return state && { ...programState.createSnapshot(state), n: state.n }
}

const counts = { applied: 0, void: 0, notRun: 0, mayHaveRun: 0, claims: 0, loaded: 0, incomplete: 0 }

function checkResults ({ run }: { run: Run }, effects: ReadonlyMap<string, programState.Effect>): void {
  const winners = new Set<string>()
  for (const [record, { outcome }] of run.results) {
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

/** Checks that a reader either has the state that the whole log gives, or reports it as incomplete. Only abandoned programs may be unknown. */
function checkLoaded ({ timers }: Run, result: errors.Result<programState.ProgramState | undefined>, expected: programState.ProgramState | undefined, keptState: programState.ProgramState | undefined): void {
  if (!result.ok) {
    assert.equal(result.failure.tag, 'historyIncomplete')
    counts.incomplete += 1
    return
  }
  if (result.value === undefined) {
    assert.ok(expected === undefined || timers.now() - expected.lastAppliedAt >= retentionMs * 0.75)
    return
  }
  counts.loaded += 1
  assert.deepEqual(toPlainState(result.value), toPlainState(expected))
  if (keptState !== undefined) assert.deepEqual(toPlainState(keptState), toPlainState(expected))
}

tap.test('every reader finds the effects that appends report', async (t) => {
  const property = fc.asyncProperty(world, async (chosenWorld) => {
    const { run, writers } = await runSchedule(chosenWorld)
    const { effects, views } = readLog(run.log, 2)
    checkResults({ run }, effects)
    const lateWriter = await run.createWriter('late')
    for (const { journal, states } of [...writers, lateWriter]) {
      const loaded = Promise.all(programs.map((program) => journal.load(program)))
      await run.timers.advanceAsync(500)
      for (const [index, result] of (await loaded).entries()) {
        checkLoaded(run, result, programState.getCompleteState(views.get(programs[index]!)), states.get(programs[index]!))
      }
    }
  })
  const result = await fc.check(property, { seed: 1, numRuns: 200, endOnFailure: true })
  t.notOk(result.failed, result.failed ? `${String(result.errorInstance)} ${fc.defaultReportMessage(result)}` : 'holds')
  t.comment(JSON.stringify(counts))
  t.ok(counts.applied > 500 && counts.void > 100 && counts.notRun > 100 && counts.mayHaveRun > 20 && counts.claims > 50 && counts.loaded > 500 && counts.incomplete > 10, JSON.stringify(counts))
})
