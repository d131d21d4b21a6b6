import * as assert from 'node:assert/strict'
import tap, { type Test } from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as writers from './test-writers.js'
import * as programState from './index.js'

/** Checks a property of the log that three writers with faults produce. Remove endOnFailure to shrink a failing schedule, which takes minutes. */
function checkProperty (t: Test, check: (world: writers.World) => void): void {
  const result = fc.check(fc.property(writers.schedule, (steps) => check(writers.runSchedule(steps))), { seed: 1, numRuns: 1000, endOnFailure: true })
  t.notOk(result.failed, result.failed ? `${fc.defaultReportMessage(result)}` : 'holds')
}

/** Converts a view to plain data; undefined if the state is incomplete. */
function toPlainState (view: programState.ProgramView | undefined): unknown {
  const state = programState.getCompleteState(view)
  return state && { ...programState.createSnapshot(state), n: state.n, spent: programState.computeSpent(state) }
}

tap.test('every reader ends with the same state', async (t) => {
  checkProperty(t, ({ log, writers: all }) => {
    const truth = writers.foldLog(log)
    for (const { views, nextOffset, coveredSince } of all.filter((writer) => writer.coveredSince === undefined)) {
      writers.foldEntries(views, log, nextOffset, log.length, coveredSince)
      for (const program of writers.programs) assert.deepEqual(toPlainState(views.get(program)), toPlainState(truth.get(program)))
    }
  })
})

tap.test('a reader that starts at any offset has the same state or reports it as incomplete', async (t) => {
  let known = 0
  let unknown = 0
  checkProperty(t, ({ log }) => {
    const truth = writers.foldLog(log)
    for (let from = 1; from < log.length; from += 1) {
      const late = writers.foldLog(log, from)
      for (const [program, view] of late) {
        const state = toPlainState(view)
        if (state === undefined) unknown += 1
        else assert.deepEqual(state, toPlainState(truth.get(program)))
        if (state !== undefined) known += 1
      }
    }
  })
  t.ok(known > 1000 && unknown > 1000, `${known} known, ${unknown} incomplete`)
})

tap.test('a reader that drops programs whose ids can be reused applies the same records', async (t) => {
  let forgotten = 0
  checkProperty(t, ({ log }) => {
    const whole: types.JournalRecord[] = []
    const own: types.JournalRecord[] = []
    writers.foldLog(log, 0, (record, effect) => { if (effect.type === 'applied') whole.push(record) })
    const views: writers.Views = new Map()
    for (const [offset, { at }] of log.entries()) {
      writers.foldEntries(views, log, offset, offset + 1, undefined, (record, effect) => { if (effect.type === 'applied') own.push(record) })
      for (const [program, view] of views) {
        if (!programState.canBeginAgain(view.current!, { at, rules: writers.rules })) continue
        views.delete(program)
        forgotten += 1
      }
    }
    assert.deepEqual(own, whole)
  })
  t.ok(forgotten > 100, `${forgotten} forgotten`)
})

tap.test('each term has one home, and records of other homes have no effect', async (t) => {
  let claims = 0
  checkProperty(t, ({ log, authorOf }) => {
    const homeOf = new Map<string, types.ProcessRef>()
    writers.foldLog(log, 0, (record, effect, view) => {
      if (effect.type !== 'applied') return
      const { term, home } = view!.current!
      const known = homeOf.get(`${record.program} ${term}`) ?? home
      assert.deepEqual(home, known)
      assert.deepEqual(authorOf.get(record), home)
      homeOf.set(`${record.program} ${term}`, home)
      if (record.type === 'claim') claims += 1
    })
  })
  t.ok(claims > 1000, `${claims} claims took effect`)
})

tap.test('no record is applied twice', async (t) => {
  checkProperty(t, ({ log }) => {
    const seen = new Set<types.JournalRecord>()
    writers.foldLog(log, 0, (record, effect) => {
      if (effect.type === 'applied') assert.ok(!seen.has(record))
      if (effect.type === 'applied') seen.add(record)
    })
  })
})

tap.test('records are applied in order, and none after a finish', async (t) => {
  checkProperty(t, ({ log }) => {
    const last = new Map<types.ProgramId, { n: number, finished: boolean }>()
    writers.foldLog(log, 0, (record, effect, view) => {
      if (view?.current === undefined) return
      const { n, finished } = view.current
      const before = last.get(record.program)
      if (effect.type === 'applied' && record.type !== 'begin') assert.equal(before!.finished, false)
      if (n !== before?.n && record.type !== 'begin') assert.deepEqual([n, record.n], [before!.n + 1, before!.n + 1])
      last.set(record.program, { n, finished: finished !== null })
    })
  })
})

tap.test('the turns of a branch have no gaps and each key is used once', async (t) => {
  let turns = 0
  checkProperty(t, ({ log }) => {
    for (const view of writers.foldLog(log).values()) {
      const state = programState.getCompleteState(view)!
      for (const branch of writers.branches) {
        const calls = [...state.turns, ...state.intents.values()].filter((call) => call.branch === branch)
        const seqs = calls.map(({ seq }) => seq)
        assert.deepEqual(seqs, seqs.map((_, index) => index + 1))
      }
      assert.equal(new Set([...state.turns, ...state.intents.values()].map(({ key }) => key)).size, state.turns.length + state.intents.size)
      turns += state.turns.length
    }
  })
  t.ok(turns > 1000, `${turns} turns`)
})

tap.test('the budget counts each turn and each open intent once', async (t) => {
  checkProperty(t, ({ log }) => {
    for (const view of writers.foldLog(log).values()) {
      const state = programState.getCompleteState(view)!
      const parts = [...state.turns.map(({ usage }) => usage), ...[...state.intents.values()].map(({ reserved }) => reserved), state.forfeited]
      const sum = (member: keyof types.Usage) => parts.reduce((total, part) => total + part[member], 0)
      assert.deepEqual(programState.computeSpent(state), { tokens: sum('tokens'), calls: sum('calls'), microCost: sum('microCost') })
    }
  })
})

tap.test('records of one program do not change the state of another', async (t) => {
  checkProperty(t, ({ log }) => {
    const together = writers.foldLog(log)
    for (const program of writers.programs) {
      const own = log.map(({ batch, at }) => ({ at, batch: batch.filter((record) => record.program === program) }))
      assert.deepEqual(toPlainState(together.get(program)), toPlainState(writers.foldLog(own).get(program)))
      const state = programState.getCompleteState(together.get(program))
      for (const { key } of state?.turns ?? []) assert.ok(key.startsWith(program))
    }
  })
})
