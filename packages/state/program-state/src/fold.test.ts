import * as assert from 'node:assert/strict'
import tap, { type Test } from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as writers from './test-writers.js'
import * as programState from './index.js'

/** Checks a property of what three faulty writers leave in a log. Take endOnFailure away to get the shortest schedule; it takes minutes. */
function holds (t: Test, check: (world: writers.World) => void): void {
  const result = fc.check(fc.property(writers.schedule, (steps) => check(writers.run(steps))), { seed: 1, numRuns: 1000, endOnFailure: true })
  t.notOk(result.failed, result.failed ? `${fc.defaultReportMessage(result)}` : 'holds')
}

/** What a reader knows, as plain data; undefined where it says incomplete. */
function plain (view: programState.ProgramView | undefined): unknown {
  const state = programState.getCompleteState(view)
  return state && { ...programState.createSnapshot(state), n: state.n, spent: programState.computeSpent(state) }
}

tap.test('every reader ends with the same state', async (t) => {
  holds(t, ({ log, writers: all }) => {
    const truth = writers.readAll(log)
    for (const { views, next, coveredSince } of all.filter((writer) => writer.coveredSince === undefined)) {
      writers.readOn(views, log, next, log.length, coveredSince)
      for (const program of writers.programs) assert.deepEqual(plain(views.get(program)), plain(truth.get(program)))
    }
  })
})

tap.test('a reader from any offset has the same state or says incomplete', async (t) => {
  let known = 0
  let unknown = 0
  holds(t, ({ log }) => {
    const truth = writers.readAll(log)
    for (let from = 1; from < log.length; from += 1) {
      const late = writers.readAll(log, from)
      for (const [program, view] of late) {
        const state = plain(view)
        if (state === undefined) unknown += 1
        else assert.deepEqual(state, plain(truth.get(program)))
        if (state !== undefined) known += 1
      }
    }
  })
  t.ok(known > 1000 && unknown > 1000, `${known} known, ${unknown} incomplete`)
})

tap.test('a reader that forgets programs whose ids are free takes the same records', async (t) => {
  let forgotten = 0
  holds(t, ({ log }) => {
    const whole: types.JournalRecord[] = []
    const own: types.JournalRecord[] = []
    writers.readAll(log, 0, (record, effect) => { if (effect.type === 'applied') whole.push(record) })
    const views: writers.Views = new Map()
    for (const [offset, { at }] of log.entries()) {
      writers.readOn(views, log, offset, offset + 1, undefined, (record, effect) => { if (effect.type === 'applied') own.push(record) })
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

tap.test('one home a term, and no record of another one has an effect', async (t) => {
  let claims = 0
  holds(t, ({ log, author }) => {
    const homeOf = new Map<string, types.ProcessRef>()
    writers.readAll(log, 0, (record, effect, view) => {
      if (effect.type !== 'applied') return
      const { term, home } = view!.current!
      const known = homeOf.get(`${record.program} ${term}`) ?? home
      assert.deepEqual(home, known)
      assert.deepEqual(author.get(record), home)
      homeOf.set(`${record.program} ${term}`, home)
      if (record.type === 'claim') claims += 1
    })
  })
  t.ok(claims > 1000, `${claims} claims took effect`)
})

tap.test('no record has an effect twice', async (t) => {
  holds(t, ({ log }) => {
    const seen = new Set<types.JournalRecord>()
    writers.readAll(log, 0, (record, effect) => {
      if (effect.type === 'applied') assert.ok(!seen.has(record))
      if (effect.type === 'applied') seen.add(record)
    })
  })
})

tap.test('records take their places in order, none after a finish', async (t) => {
  holds(t, ({ log }) => {
    const last = new Map<types.ProgramId, { n: number, finished: boolean }>()
    writers.readAll(log, 0, (record, effect, view) => {
      if (view?.current === undefined) return
      const { n, finished } = view.current
      const before = last.get(record.program)
      if (effect.type === 'applied' && record.type !== 'begin') assert.equal(before!.finished, false)
      if (n !== before?.n && record.type !== 'begin') assert.deepEqual([n, record.n], [before!.n + 1, before!.n + 1])
      last.set(record.program, { n, finished: finished !== null })
    })
  })
})

tap.test('turns are gapless a branch and keys are used once', async (t) => {
  let turns = 0
  holds(t, ({ log }) => {
    for (const view of writers.readAll(log).values()) {
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
  holds(t, ({ log }) => {
    for (const view of writers.readAll(log).values()) {
      const state = programState.getCompleteState(view)!
      const parts = [...state.turns.map(({ usage }) => usage), ...[...state.intents.values()].map(({ reserved }) => reserved), state.forfeited]
      const sum = (member: keyof types.Usage) => parts.reduce((total, part) => total + part[member], 0)
      assert.deepEqual(programState.computeSpent(state), { tokens: sum('tokens'), calls: sum('calls'), microCost: sum('microCost') })
    }
  })
})

tap.test('programs never mix', async (t) => {
  holds(t, ({ log }) => {
    const together = writers.readAll(log)
    for (const program of writers.programs) {
      const own = log.map(({ batch, at }) => ({ at, batch: batch.filter((record) => record.program === program) }))
      assert.deepEqual(plain(together.get(program)), plain(writers.readAll(own).get(program)))
      const state = programState.getCompleteState(together.get(program))
      for (const { key } of state?.turns ?? []) assert.ok(key.startsWith(program))
    }
  })
})
