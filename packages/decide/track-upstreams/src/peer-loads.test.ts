import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as peerLoads from './peer-loads.js'
import * as typicalLatencies from './typical-latencies.js'

const id = (name: string) => name as types.UpstreamId

tap.test('the latest report of each peer counts until it expires', (t) => {
  const loads = new peerLoads.PeerLoads()
  loads.applyReport('p', new Map([[id('a'), 3], [id('b'), 1]]), 0)
  loads.applyReport('q', new Map([[id('a'), 2]]), 1_000)
  loads.applyReport('p', new Map([[id('a'), 1]]), 1_000)
  t.same([loads.getRunning(id('a')), loads.getRunning(id('b')), loads.peerCount], [3, 0, 2])
  loads.applyReport('q', new Map([[id('b'), 4]]), 3_000)
  loads.expire(4_100)
  t.same([loads.getRunning(id('a')), loads.getRunning(id('b')), [...loads.peers]], [0, 4, ['q']])
  t.end()
})

tap.test('the sums match the current reports in any order of reports', (t) => {
  const report = fc.record({ peer: fc.constantFrom('p', 'q', 'r'), counts: fc.uniqueArray(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 1, max: 9 })), { selector: ([name]) => name }), waitMs: fc.nat(1_800) })
  fc.assert(fc.property(fc.array(report), (reports) => {
    const loads = new peerLoads.PeerLoads()
    const expected = new Map<string, { at: number, counts: Map<string, number> }>()
    let now = 0
    for (const { peer, counts, waitMs } of reports) {
      now += waitMs
      loads.applyReport(peer, new Map(counts.map(([name, count]) => [id(name), count])), now)
      loads.expire(now)
      expected.set(peer, { at: now, counts: new Map(counts) })
    }
    for (const name of ['a', 'b', 'c']) {
      let sum = 0
      for (const { at, counts } of expected.values()) if (now - at <= 3_000) sum += counts.get(name) ?? 0
      if (loads.getRunning(id(name)) !== sum) return false
    }
    return true
  }), { seed: 7, numRuns: 500 })
  t.end()
})

tap.test('typical latencies are learned from responses, and slow responses hardly change them', (t) => {
  const latencies = new typicalLatencies.TypicalLatencies()
  for (let count = 0; count < 200; count += 1) latencies.observe('r', 80, 400)
  t.ok(Math.abs(latencies.get('r')! - 80) < 1)
  t.equal(latencies.observe('r', 200, 400), false)
  t.equal(latencies.observe('r', 400, 400), true)
  t.ok(latencies.get('r')! < 100)
  t.equal(latencies.observe('fast', 100, 10), false, 'shorter than the pauses of our own processes')
  t.end()
})
