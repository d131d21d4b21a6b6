import tap from 'tap'
import * as knownRed from './known-red.js'

const line = 'a.test.js > home killed at a call | `run a`, no seed | 503 once | issue 33'
const tests = ['a.test.js > home killed at a call', 'a.test.js > home killed at a call that streams', 'b.test.js > home killed at a call']

function judge (failed: readonly string[], whole = true, text = line) {
  return knownRed.judgeRun(knownRed.parseKnownRed(text), { tests, failed, whole })
}

tap.test('an entry has all of its fields', (t) => {
  t.match(knownRed.parseKnownRed(`${line}\n\n${line}\n`), [{ test: 'a.test.js > home killed at a call', issue: 'issue 33' }, { seen: '503 once' }])
  t.throws(() => knownRed.parseKnownRed(`${line}\na | b | c`), /line 2: no issue/)
  t.throws(() => knownRed.parseKnownRed(`${line} | more`), /line 1: more than 4 fields/)
  t.same(knownRed.parseKnownRed('\n'), [])
  t.end()
})

// Guards against an entry that excuses the tests whose names contain its own.
tap.test('an entry stands for its own test alone', (t) => {
  const own = 'a.test.js > home killed at a call > should be equal'
  const others = ['a.test.js > home killed at a call that streams > should be equal', 'b.test.js > home killed at a call > should be equal']
  t.match(judge([own, ...others]), { known: [own], red: others, passed: [] })
  t.end()
})

tap.test('an entry whose test passes is told, and one whose test is gone', (t) => {
  t.match(judge([]), { passed: ['a.test.js > home killed at a call'], absent: [] })
  const gone = line.replace('a call', 'nothing')
  t.match(judge([], true, gone), { passed: [], absent: ['a.test.js > home killed at nothing'] })
  t.match(judge([], false, gone), { absent: [] })
  t.end()
})

tap.test('what is run by hand is no part of a run', (t) => {
  t.match(judge([], true, `by hand: soak ${line}`), { passed: [], absent: [], red: [] })
  t.end()
})
