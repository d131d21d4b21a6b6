import tap from 'tap'
import * as peerLiveness from './peer-liveness.js'

function createLiveness (ages: Readonly<Record<string, number>>): peerLiveness.PeerLiveness {
  return new peerLiveness.PeerLiveness({ timers: { monotonic: () => 0 }, getReportAgeMs: (address) => ages[address] ?? Infinity })
}

tap.test('a peer is alive while it reports, and has fallen silent only if it reported before', (t) => {
  const liveness = createLiveness({ a: 1_900, b: 2_100 })
  t.same(['a', 'b', 'never'].map((peer) => liveness.isAlive(peer)), [true, false, false])
  t.same(['a', 'b', 'never'].map((peer) => liveness.hasFallenSilent(peer)), [false, true, false])
  t.end()
})

tap.test('a process hears enough if a quarter of the peers that report to it were heard just now', (t) => {
  const liveness = createLiveness({ a: 100, b: 900, c: 900, d: 900, e: 900 })
  t.ok(liveness.hearsEnough(['a', 'b', 'c', 'd']))
  t.notOk(liveness.hearsEnough(['a', 'b', 'c', 'd', 'e']))
  t.ok(liveness.hearsEnough(['a', 'never', 'neither', 'nor', 'nobody']), 'peers that never report do not count')
  t.notOk(liveness.hearsEnough(['never']))
  t.notOk(liveness.hearsEnough([]))
  t.end()
})
