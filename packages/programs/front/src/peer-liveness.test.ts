import tap from 'tap'
import * as peerLiveness from './peer-liveness.js'

function createLiveness (ages: Readonly<Record<string, number>>, members: readonly string[]): peerLiveness.PeerLiveness {
  return new peerLiveness.PeerLiveness({ timers: { monotonic: () => 0 }, getReportAgeMs: (address) => ages[address] ?? Infinity, isMember: (address) => members.includes(address) })
}

tap.test('a member is alive although one of its reports is lost, another peer only while it reports', (t) => {
  const peers = ['member', 'silentMember', 'other', 'silentOther']
  const liveness = createLiveness({ member: 2_400, silentMember: 2_600, other: 1_300, silentOther: 1_500 }, ['member', 'silentMember'])
  t.same(peers.map((peer) => liveness.isAlive(peer)), [true, false, true, false])
  t.same(peers.map((peer) => liveness.hasFallenSilent(peer)), [false, true, false, true])
  t.end()
})

// Guards against live owners that are given up, with answers under way, by a process that gets no reports of theirs.
tap.test('a peer that was never heard is alive while it renews its lease', (t) => {
  const liveness = createLiveness({}, ['member'])
  t.same(['member', 'other'].map((peer) => liveness.isAlive(peer)), [true, false])
  t.same(['member', 'other'].map((peer) => liveness.hasFallenSilent(peer)), [false, false])
  t.end()
})

tap.test('a process hears enough if a quarter of the peers that report to it were heard just now', (t) => {
  const liveness = createLiveness({ a: 100, b: 900, c: 900, d: 900, e: 900 }, [])
  t.ok(liveness.hearsEnough(['a', 'b', 'c', 'd']))
  t.notOk(liveness.hearsEnough(['a', 'b', 'c', 'd', 'e']))
  t.ok(liveness.hearsEnough(['a', 'never', 'neither', 'nor', 'nobody']), 'peers that never report do not count')
  t.notOk(liveness.hearsEnough(['never']))
  t.notOk(liveness.hearsEnough([]))
  t.end()
})
