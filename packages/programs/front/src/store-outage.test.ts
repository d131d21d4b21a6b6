import tap from 'tap'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as storeOutage from './store-outage.js'

const program = 'p' as types.ProgramId
const turn = (id: string) => id as turnLedger.TurnId

/** Client behaviour, times in ms: it abandons a stream this long after the last event, and retries a failed turn twice. */
const streamTimeoutMs = 2_000
const runMs = 300
const pauseMs = 250
const maxTries = 3

/** Returns the longest outage, in ms, that a turn sent at its start survives. */
function computeOutlastedMs (shouldRunNow: (now: number) => boolean): number {
  let now = 0
  for (let attempt = 0; attempt < maxTries; attempt += 1) {
    for (let request = 0; request < 2; request += 1) {
      if (shouldRunNow(now)) {
        now += runMs + streamTimeoutMs
        break
      }
      if (request === 0) now += storeOutage.outageRetryMs
    }
    now += pauseMs
  }
  return now
}

tap.test('three tries of a retained turn outlast an outage of nine seconds', (t) => {
  const deferred = new storeOutage.DeferredTurns()
  t.ok(computeOutlastedMs((now) => deferred.shouldRunNow(program, turn('a'), now)) >= 9_000)
  t.ok(computeOutlastedMs(() => false) < 4_000, 'without deferral, refused each time')
  t.end()
})

tap.test('parallel turns of a program are deferred separately, and a deferral expires', (t) => {
  const deferred = new storeOutage.DeferredTurns()
  t.notOk(deferred.shouldRunNow(program, turn('a'), 0))
  t.notOk(deferred.shouldRunNow(program, turn('b'), 0))
  t.ok(deferred.shouldRunNow(program, turn('b'), 1_000))
  t.ok(deferred.shouldRunNow(program, turn('a'), 1_000))
  t.notOk(deferred.shouldRunNow(program, turn('a'), 1_100), 'the next try is deferred again')
  t.notOk(deferred.shouldRunNow(program, turn('a'), 5_000))
  t.end()
})
