import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as queries from './queries.js'
import * as states from './state.js'
import * as records from './test-records.js'

const allowance: types.Usage = { tokens: 30, calls: 2, microCost: 6 }

function fold (all: readonly types.JournalRecord[]): states.ProgramState {
  let view: states.ProgramView | undefined
  all.forEach((record, index) => { view = states.applyRecord(view, record, records.term(index + 1)).view })
  return states.getCompleteState(view)!
}

tap.test('a claim counts the allowance of the superseded home as spent, once', async (t) => {
  const begun = { ...records.begin(), allowance }
  const state = fold([begun, records.claim(2, 1)])
  t.same(queries.computeSpent(state), allowance)
  t.same(state.allowance, { tokens: 0, calls: 0, microCost: 0 })
  t.same(queries.computeSpent(fold([begun, records.claim(2, 1), records.claim(3, 2, records.homeA)])), allowance)
})

tap.test('a turn may change the allowance, an allow record replaces it', async (t) => {
  const allow: types.AllowRecord = { type: 'allow', program: records.program, n: 2, term: records.term(1), allowance }
  const unchanged = fold([records.begin(), allow, records.turn(3, 1, records.createTurn(1, 'a'))])
  t.same(unchanged.allowance, allowance)
  const lowerAllowance = { tokens: 1, calls: 1, microCost: 1 }
  const changed = fold([records.begin(), allow, { ...records.turn(3, 1, records.createTurn(1, 'a')), allowance: lowerAllowance }])
  t.same(changed.allowance, lowerAllowance)
})

tap.test('the spent budget is never less than what homes used within their allowances', async (t) => {
  const step = fc.record({ allow: fc.nat(50), usedTokens: fc.nat(50), isHomeLost: fc.boolean(), isRecorded: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 30, size: 'max' }), (steps) => {
    const all: types.JournalRecord[] = [records.begin()]
    let term = 1
    let used = 0
    let seq = 1
    for (const { allow, usedTokens, isHomeLost, isRecorded } of steps) {
      const place = { program: records.program, n: all.length + 1, term: records.term(term) }
      all.push({ ...place, type: 'allow', allowance: { tokens: allow, calls: 1, microCost: 0 } })
      const tokens = Math.min(usedTokens, allow)
      used += tokens
      const next = all.length + 1
      if (isRecorded) {
        all.push({ ...records.turn(next, term, records.createTurn(seq, `k${seq}`, { usage: { tokens, calls: 1, microCost: 0 } })), allowance: { tokens: 0, calls: 0, microCost: 0 } })
        seq += 1
      }
      if (!isHomeLost && isRecorded) continue
      all.push(records.claim(all.length + 1, term))
      term = all.length
    }
    const spent = queries.computeSpent(fold(all)).tokens
    if (spent < used) throw new Error(`${spent} counted as spent, ${used} used`)
  }), { seed: 7, numRuns: 500 })
  t.pass('500 histories')
})
