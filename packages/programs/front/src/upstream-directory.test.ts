import tap from 'tap'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as upstreamDirectory from './upstream-directory.js'

const service = 'engines' as types.ServiceId

/** Entries are texts of the form "incarnation/state"; anything else can't be decoded. */
function decode (key: string, value: Uint8Array): trackUpstreams.ListedUpstream {
  const [incarnation, state] = Buffer.from(value).toString().split('/')
  if (state === undefined) throw new Error('no state')
  return { id: `${key}@${incarnation}` as types.UpstreamId, name: key, service, address: `${key}:1`, slots: 6, leaving: state === 'leaving' }
}

function fixture (sinceRecoveryMs = Infinity) {
  const timers = timerService.createManualTimers()
  const upstreams = new trackUpstreams.UpstreamList()
  const decisions: decisionLog.Decision[] = []
  const directory = new upstreamDirectory.UpstreamDirectory({ upstreams, timers, decisions: { record: (decision) => { decisions.push(decision) } }, decode, sinceRecoveryMs: () => sinceRecoveryMs })
  const put = (key: string, text: string): void => { directory.put(key, Buffer.from(text)) }
  const ids = (): string[] => upstreams.getByService(service).map(({ listed }) => listed.id)
  return { timers, upstreams, decisions, directory, put, ids }
}

tap.test('an upstream that restarts under its name has no load and no failures', (t) => {
  const { upstreams, put, ids } = fixture()
  put('a', '1/ready')
  const previous = upstreams.get('a@1' as types.UpstreamId)!
  previous.running = 5
  trackUpstreams.noteFailure(previous, 0)
  put('a', '2/ready')
  t.same(ids(), ['a@2'])
  t.match(upstreams.get('a@2' as types.UpstreamId), { running: 0, failures: 0, avoidUntil: 0 })
  t.end()
})

tap.test('an entry that can not be decoded removes its upstream, is logged once, and leaves the others', (t) => {
  const { decisions, put, ids, directory } = fixture()
  put('a', '1/ready')
  put('b', '1/ready')
  for (let index = 0; index < 5; index += 1) put('a', 'garbage')
  put('c', 'garbage')
  t.same(ids(), ['b@1'])
  t.equal(decisions.filter(({ event }) => event === 'upstreamUnreadable').length, 2)
  put('a', '1/ready')
  directory.replace(new Map([['a', Buffer.from('1/leaving')], ['b', Buffer.from('what')]]))
  t.same(ids(), ['a@1'])
  t.end()
})

tap.test('an entry that expired in an outage has a grace period, an incarnation that was replaced has none', (t) => {
  const { timers, put, ids, directory } = fixture(500)
  put('a', '1/ready')
  put('b', '1/ready')
  directory.remove('a')
  directory.remove('b')
  t.same(ids(), ['a@1', 'b@1'])
  timers.advance(1_000)
  put('a', '2/ready')
  timers.advance(1_500)
  t.same(ids(), ['a@2'])
  t.end()
})
