import tap from 'tap'
import * as msgpack from '@msgpack/msgpack'
import type * as limitCrashes from '@eelgrasswind/limit-crashes'
import type * as types from '@eelgrasswind/types'
import * as storedCrashCounts from './stored-crash-counts.js'

const count: limitCrashes.CrashCount = { request: 'f' as types.RequestFingerprint, ends: ['u1', 'u2#2'], lastEndedAgoMs: 400, isExclusive: true }

tap.test('counts are read as they were written, and age', (t) => {
  const value = storedCrashCounts.encodeCounts([count], 10_000)
  t.same(storedCrashCounts.decodeCounts(value, 10_000), [count])
  t.same(storedCrashCounts.decodeCounts(value, 12_000), [{ ...count, lastEndedAgoMs: 2_400 }])
  t.same(storedCrashCounts.decodeCounts(value, 5_000), [{ ...count, lastEndedAgoMs: 0 }], 'an end that another clock places in the future came about now')
  t.end()
})

tap.test('a value that is no list of counts is refused', (t) => {
  for (const odd of ['text', 7, null, {}, [7], [[]], [['f', 'u1', 0, true]], [['f', [1], 0, true]], [['f', [], '0', true]], [['f', [], 0, 1]], [['f', [], 0, true, 0]]]) {
    t.throws(() => storedCrashCounts.decodeCounts(msgpack.encode(odd), 0), JSON.stringify(odd))
  }
  t.end()
})
