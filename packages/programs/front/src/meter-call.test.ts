import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as meterCall from './meter-call.js'

const state = { level: 3, uncommitted: 3, young: 0, recent: { first: 0, further: 0 } }
const answer = { account: 'coaches' as types.AccountId, term: 7, state, granted: { first: 0, further: 0 }, waitMs: { first: 0, further: 0 } }

// Guards against numbers that are none: a host would admit everything from a share of an unknown number of hosts.
tap.test('calls and answers of an earlier release are completed', (t) => {
  t.same(meterCall.completeCall({ type: 'meter', group: 1, version: 2, reports: [] }), { type: 'meter', group: 1, version: 2, reports: [], host: '', knownTerm: -1 })
  t.same(meterCall.completeAnswer({ type: 'metered', answers: [answer] }), { type: 'metered', term: 7, hosts: 0, answers: [answer] })
  t.same(meterCall.completeAnswer({ type: 'metered', answers: [] }), { type: 'metered', term: -1, hosts: 0, answers: [] })
  t.same(meterCall.completeAnswer({ type: 'notOwner' }), { type: 'notOwner', reason: 'elsewhere' })
  t.end()
})

tap.test('calls and answers of this release stay as they are', (t) => {
  const call: meterCall.MeterCall = { type: 'meter', group: 1, version: 2, host: 'host-1', knownTerm: 5, reports: [] }
  t.same(meterCall.completeCall(call), call)
  const answers: readonly meterCall.MeterCallAnswer[] = [{ type: 'metered', term: 7, hosts: 31, answers: [answer] }, { type: 'notOwner', reason: 'superseded' }]
  for (const given of answers) t.same(meterCall.completeAnswer(given), given)
  t.end()
})
