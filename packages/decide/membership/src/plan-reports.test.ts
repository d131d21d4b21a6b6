import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import * as chooseHome from '@eelgrasswind/choose-home'
import type * as types from '@eelgrasswind/types'
import * as reports from './plan-reports.js'

const ranking = await chooseHome.createRendezvous()
const settings = reports.defaultReportSettings
const zone = 'makati-a' as types.AvailabilityZoneId
const otherZone = 'pasig-a' as types.AvailabilityZoneId

function hostNames (count: number): types.HostId[] {
  return Array.from({ length: count }, (_, index) => `h${index}` as types.HostId)
}

function createPlan (self: types.HostId, hosts: readonly types.HostId[]): reports.ReportPlan {
  return reports.planReports({
    ranking,
    settings,
    self,
    own: { availabilityZone: zone, hosts },
    others: [{ availabilityZone: otherZone, hosts: ['other' as types.HostId] }]
  })
}

tap.test('the messages of a process per interval do not grow with the fleet', async (t) => {
  for (const count of [1, 6, 230, 1_000]) {
    const hosts = hostNames(count)
    const requestsByPeer = new Map<types.HostId, number>()
    let maxMessages = 0
    for (const self of hosts) {
      const plan = createPlan(self, hosts)
      const peers = plan.getPeers(7)
      for (const peer of peers) requestsByPeer.set(peer, (requestsByPeer.get(peer) ?? 0) + 1)
      assert.ok(!peers.includes(self))
      const sent = (plan.parent === undefined ? 0 : 1) + peers.length + plan.otherRoots.length
      maxMessages = Math.max(maxMessages, sent + plan.children.length)
    }
    const maxRequests = Math.max(0, ...requestsByPeer.values())
    t.ok(maxMessages + maxRequests <= settings.fanout + 1 + 2 * settings.peersPerInterval + 1, `${count} hosts: ${maxMessages} and ${maxRequests}`)
  }
})

tap.test('every report reaches the only root in at most three steps, and children and parents agree', async (t) => {
  const hosts = hostNames(230)
  const plans = new Map(hosts.map((host) => [host, createPlan(host, hosts)]))
  const roots = hosts.filter((host) => plans.get(host)!.parent === undefined)
  t.equal(roots.length, 1)
  t.same(plans.get(roots[0]!)!.otherRoots, ['other'])
  let maxDepth = 0
  for (const host of hosts) {
    let depth = 0
    for (let current = host; plans.get(current)!.parent !== undefined; current = plans.get(current)!.parent!) {
      assert.ok(plans.get(plans.get(current)!.parent!)!.children.includes(current))
      depth += 1
    }
    maxDepth = Math.max(maxDepth, depth)
  }
  t.equal(maxDepth, 3)
})

tap.test('all peers are asked in rotation', async (t) => {
  const hosts = hostNames(9)
  const plan = createPlan(hosts[0]!, hosts)
  const asked = [0, 1, 2, 3].flatMap((interval) => plan.getPeers(interval))
  t.same([...asked].sort(), hosts.slice(1))
})

tap.test('reports never form a cycle, whatever the views of the processes are', async (t) => {
  const views = fc.array(fc.subarray(hostNames(12), { minLength: 1 }), { minLength: 12, maxLength: 12 })
  fc.assert(fc.property(views, (believed) => {
    const parents = new Map(hostNames(12).map((host, index) => [host, createPlan(host, believed[index]!).parent]))
    for (const host of hostNames(12)) {
      let steps = 0
      for (let ancestor = parents.get(host); ancestor !== undefined; ancestor = parents.get(ancestor)) {
        steps += 1
        assert.ok(steps < 12, 'a cycle')
      }
    }
  }), { seed: 21, numRuns: 300 })
  t.pass('300 sets of views')
})
