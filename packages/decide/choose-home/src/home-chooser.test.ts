import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as chooser from './home-chooser.js'

const homes = await chooser.createHomeChooser()

function createHosts (count: number): types.HostId[] {
  return Array.from({ length: count }, (_, index) => `host-${index}` as types.HostId)
}

function createPrograms (count: number): types.ProgramId[] {
  return Array.from({ length: count }, (_, index) => `order-${index}` as types.ProgramId)
}

const idArb = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._~-]{0,20}$/)
const programArb = idArb.map((id) => id as types.ProgramId)
const hostsArb = fc.uniqueArray(idArb.map((id) => id as types.HostId), { minLength: 1, maxLength: 40 })

tap.test('the order of the list does not matter', async (t) => {
  const other = await chooser.createHomeChooser()
  const shuffled = hostsArb.chain((hosts) => fc.tuple(
    fc.constant(hosts),
    fc.shuffledSubarray(hosts, { minLength: hosts.length })
  ))
  fc.assert(fc.property(programArb, shuffled, (program, [hosts, reordered]) => {
    assert.equal(homes.findHome(program, hosts), other.findHome(program, reordered))
    assert.deepEqual(homes.rankHomes(program, hosts), other.rankHomes(program, reordered))
  }), { seed: 1, numRuns: 200 })
  t.pass('200 lists')
})

// Fixes the hash function: processes of two versions must agree during a rolling update.
tap.test('known homes do not change', async (t) => {
  const hosts = createHosts(30)
  const found = ['order-1', 'roster.7', 'intake-12'].map((id) => homes.findHome(id as types.ProgramId, hosts))
  t.same(found, ['host-10', 'host-27', 'host-14'])
})

tap.test('the loss of a host moves only its own programs, each to the next host in its ranking', async (t) => {
  fc.assert(fc.property(programArb, hostsArb, fc.nat(), (program, hosts, pick) => {
    const lostHost = hosts[pick % hosts.length]!
    const remainingHosts = hosts.filter((host) => host !== lostHost)
    const [first, second] = homes.rankHomes(program, hosts, 2)
    const expected = first === lostHost ? second : first
    assert.equal(homes.findHome(program, remainingHosts), expected)
  }), { seed: 2, numRuns: 500 })
  t.pass('500 losses')
})

tap.test('a ranking contains each host once, the home first', async (t) => {
  fc.assert(fc.property(programArb, hostsArb, (program, hosts) => {
    const ranked = homes.rankHomes(program, hosts, hosts.length)
    assert.deepEqual([...ranked].sort(), [...hosts].sort())
    assert.equal(ranked[0], homes.findHome(program, hosts))
    assert.deepEqual(homes.rankHomes(program, hosts, 3), ranked.slice(0, 3))
  }), { seed: 3, numRuns: 200 })
  t.pass('200 rankings')
})

// With a mean of m programs per host, a uniform distribution stays within 6 standard deviations (6 * sqrt(m)) of the mean.
tap.test('programs are distributed evenly over 30, 370 and 2,000 hosts', async (t) => {
  const meanPrograms = 49
  for (const count of [30, 370, 2000]) {
    const hosts = createHosts(count)
    const loads = new Map<types.HostId, number>(hosts.map((host) => [host, 0]))
    for (const program of createPrograms(count * meanPrograms)) {
      const home = homes.findHome(program, hosts)!
      loads.set(home, loads.get(home)! + 1)
    }
    const bound = 6 * Math.sqrt(meanPrograms)
    const maxDeviation = Math.max(...[...loads.values()].map((load) => Math.abs(load - meanPrograms)))
    t.ok(maxDeviation <= bound, `${count} hosts: furthest from the mean ${maxDeviation}, bound ${bound}`)
  }
})

tap.test('an empty list has no home, and a repeated host counts once', async (t) => {
  const program = 'order-1' as types.ProgramId
  t.equal(homes.findHome(program, []), undefined)
  t.same(homes.rankHomes(program, []), [])
  const duplicated = [...createHosts(2), ...createHosts(2)]
  t.equal(homes.rankHomes(program, duplicated, 4).length, 2)
})

tap.test('kinds of tasks are hashed separately', async (t) => {
  const hosts = createHosts(500)
  const owners = new Set([
    homes.findHome('7' as types.ProgramId, hosts),
    homes.findOwner({ type: 'clientLimit', client: '7' as types.ClientId }, hosts),
    homes.findOwner({ type: 'journalShard', shard: 7 }, hosts),
    homes.findOwner({ type: 'loadReporter', availabilityZone: '7' as types.AvailabilityZoneId }, hosts)
  ])
  t.equal(owners.size, 4)
})
