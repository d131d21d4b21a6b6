import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import * as chooseHome from '@eelgrasswind/choose-home'
import type * as types from '@eelgrasswind/types'
import * as membership from './membership.js'
import * as pollInterval from './poll-interval.js'
import * as selectHosts from './select-hosts.js'
import * as config from './settings.js'

const settings = config.defaultMembershipSettings
const self = 'self' as types.HostId
const first = 'run-1' as types.Incarnation
const second = 'run-2' as types.Incarnation
const h0 = 'h0' as types.HostId

function createEntry (host: types.HostId, state: 'live' | 'leaving' = 'live'): types.HostEntry {
  return {
    host,
    role: 'sidecar',
    region: 'ncr' as types.RegionId,
    availabilityZone: 'makati-a' as types.AvailabilityZoneId,
    address: 'http://127.0.0.1:1',
    state
  }
}

function hostNames (count: number): types.HostId[] {
  return Array.from({ length: count }, (_, index) => `h${index}` as types.HostId)
}

function createList (version: number, hosts: readonly types.HostEntry[]): types.HostList {
  return { version, hosts }
}

function createTable (count = 4): membership.Membership {
  const table = membership.createMembership({ settings, self, now: 0 })
  table.applyHostList(createList(1, hostNames(count).map((host) => createEntry(host))), 0)
  return table
}

function getState (table: membership.Membership, host: types.HostId): string | undefined {
  return table.getView().hosts.find((member) => member.entry.host === host)?.state
}

const selectAll = (): selectHosts.HostSelector => selectHosts.createHostSelector(() => true)

tap.test('a failure takes effect at the next batch, and so does the recovery', async (t) => {
  const table = createTable()
  table.noteFailure(h0, 100)
  t.equal(getState(table, h0), 'live')
  t.notOk(table.tick(settings.batchMs - 1))
  t.ok(table.tick(settings.batchMs))
  t.equal(getState(table, h0), 'suspect')
  table.noteAnswer(h0, first, false, 1_500)
  table.tick(2_000)
  t.equal(getState(table, h0), 'live')
})

// Guards against a system without hosts after all of them were restarted: nobody asked a host again that had said it was leaving.
tap.test('a host that has said it is leaving is probed with a backoff until another incarnation responds', async (t) => {
  const table = createTable()
  table.noteAnswer(h0, first, true, 0)
  const probes: number[] = []
  for (let now = settings.batchMs; now <= 60_000; now += settings.batchMs) {
    table.tick(now)
    if (!table.takeProbes(now).includes(h0)) continue
    probes.push(now)
    table.noteAnswer(h0, first, true, now)
  }
  t.equal(getState(table, h0), 'leaving')
  t.same(probes.slice(0, 3), [1_000, 2_000, 4_000])
  t.ok(probes.length >= 4 && probes.length <= 8, `${probes.length} probes`)
  table.noteAnswer(h0, second, false, 60_000)
  table.tick(61_000)
  t.equal(getState(table, h0), 'live')
  for (let now = 62_000; now <= 70_000; now += settings.batchMs) t.same(table.takeProbes(now), [])
})

tap.test('a leaving host immediately gets no new work, until another incarnation responds', async (t) => {
  const table = createTable()
  table.noteAnswer(h0, first, false, 10)
  table.noteLeaving(h0, 20)
  t.equal(getState(table, h0), 'leaving')
  table.noteAnswer(h0, first, false, 30)
  table.tick(1_000)
  t.equal(getState(table, h0), 'leaving', 'a late response of the same incarnation changes nothing')
  table.noteAnswer(h0, second, false, 1_500)
  table.noteAnswer(h0, first, true, 1_600)
  table.tick(2_000)
  t.equal(getState(table, h0), 'live', 'a late response of the former incarnation is ignored')
})

tap.test('an empty list or one of a lower version changes nothing', async (t) => {
  const table = createTable()
  const before = table.getView()
  table.applyHostList(createList(9, []), 1_000)
  table.applyHostList(createList(0, [createEntry(h0)]), 1_000)
  for (let now = 1_000; now <= 2 * settings.massLossMs; now += 1_000) table.tick(now)
  t.equal(table.getView(), before)
})

tap.test('a list with restarted versions is applied after some time, a single late list is not', async (t) => {
  const table = createTable(2)
  const restarted = createList(0, [createEntry(h0, 'leaving'), createEntry('h1' as types.HostId)])
  let now = settings.staleListMs
  for (let read = 1; read <= settings.staleListReads; read += 1) {
    t.equal(getState(table, h0), 'live')
    table.applyHostList(restarted, now)
    table.tick(now += settings.staleListMs)
  }
  t.equal(getState(table, h0), 'leaving')
})

tap.test('hosts missing from a list that lost most hosts are kept longer unless they fail', async (t) => {
  const table = createTable(4)
  table.applyHostList(createList(2, [createEntry('h3' as types.HostId)]), 0)
  table.noteFailure('h1' as types.HostId, 0)
  table.tick(settings.missingMs)
  t.equal(getState(table, h0), 'live')
  t.equal(getState(table, 'h1' as types.HostId), 'gone')
  table.tick(settings.massLossMs)
  t.equal(getState(table, h0), 'gone')
})

tap.test('a host missing from the list is gone after the grace period and later removed', async (t) => {
  const table = createTable(4)
  table.applyHostList(createList(2, hostNames(4).slice(1).map((host) => createEntry(host))), 0)
  table.tick(settings.missingMs - 1)
  t.equal(getState(table, h0), 'live')
  table.tick(settings.missingMs + settings.batchMs)
  t.equal(getState(table, h0), 'gone')
  table.tick(settings.flapWindowMs)
  t.equal(getState(table, h0), undefined)
})

tap.test('the view and its selections keep their identity while nothing changes', async (t) => {
  const table = createTable()
  const select = selectAll()
  const view = table.getView()
  const hosts = select(view)
  table.noteAnswer(h0, first, false, 10)
  table.noteFailure(h0, 20)
  table.noteAnswer(h0, first, false, 30)
  table.applyHostList(createList(2, hostNames(4).map((host) => createEntry(host))), 40)
  t.notOk(table.tick(1_000))
  t.equal(table.getView(), view)
  t.equal(select(table.getView()), hosts)
})

tap.test('probes are limited per batch, with backoff per host', async (t) => {
  const table = createTable(20)
  for (const host of hostNames(20)) table.noteFailure(host, 0)
  table.tick(settings.batchMs)
  let sent = 0
  for (let now = 1_000; now < 61_000; now += 1_000) {
    const probes = table.takeProbes(now)
    t.ok(probes.length <= settings.probesPerBatch)
    sent += probes.length
  }
  const perHost = 20 * Math.ceil(60_000 / settings.maxProbeMs)
  t.ok(sent >= perHost && sent <= perHost + 20 * 5, `${sent} probes`)
})

tap.test('a process that reaches almost no host also selects suspect ones', async (t) => {
  const table = createTable(9)
  const select = selectAll()
  for (const host of hostNames(9).slice(0, 6)) table.noteFailure(host, 0)
  table.tick(1_000)
  t.equal(select(table.getView()).length, 3, 'the loss of two thirds is accepted')
  table.noteFailure('h6' as types.HostId, 1_500)
  table.noteLeaving('h7' as types.HostId, 1_500)
  table.tick(2_000)
  t.equal(select(table.getView()).length, 8, 'all but the leaving one')
})

tap.test('the bytes per second read for the host list are bounded in large fleets', async (t) => {
  t.equal(pollInterval.computeHostListPollMs(29, 1_000), 1_000)
  for (const hosts of [30, 370, 2_000]) {
    const bytes = JSON.stringify(createList(1, hostNames(hosts).map((host) => createEntry(host)))).length
    const bytesPerSecond = bytes / (pollInterval.computeHostListPollMs(hosts, 1_000) / 1_000)
    t.ok(bytesPerSecond <= 4_400, `${hosts} hosts: ${bytesPerSecond} bytes/s`)
  }
})

type Event =
  | { readonly type: 'answer', readonly host: number, readonly run: number, readonly leaving: boolean }
  | { readonly type: 'failure', readonly host: number }
  | { readonly type: 'list', readonly missing: number, readonly version: number }
  | { readonly type: 'pause', readonly ms: number }

const hostCount = 4
const eventArb: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ type: fc.constant('answer' as const), host: fc.nat(hostCount - 1), run: fc.nat(2), leaving: fc.boolean() }),
  fc.record({ type: fc.constant('failure' as const), host: fc.nat(hostCount - 1) }),
  fc.record({ type: fc.constant('list' as const), missing: fc.nat(2 ** hostCount - 1), version: fc.nat(30) }),
  fc.record({ type: fc.constant('pause' as const), ms: fc.nat(20_000) })
)

function apply (table: membership.Membership, event: Event, now: number): void {
  switch (event.type) {
    case 'answer': return table.noteAnswer(`h${event.host}` as types.HostId, `run-${event.run}` as types.Incarnation, event.leaving, now)
    case 'failure': return table.noteFailure(`h${event.host}` as types.HostId, now)
    case 'list': {
      const hosts = hostNames(hostCount).filter((_, index) => (event.missing & (1 << index)) === 0)
      return table.applyHostList(createList(event.version, hosts.map((host) => createEntry(host))), now)
    }
    case 'pause':
  }
}

/** Runs events, with a tick every second of a pause; calls `onStep` after every step. */
function runEvents (events: readonly Event[], onStep: (table: membership.Membership, now: number, event: Event | 'tick') => void): void {
  const table = createTable(hostCount)
  let now = 0
  for (const event of events) {
    apply(table, event, now)
    onStep(table, now, event)
    const until = event.type === 'pause' ? now + event.ms : now
    for (now += settings.batchMs; now <= until; now += settings.batchMs) {
      table.tick(now)
      onStep(table, now, 'tick')
    }
  }
}

tap.test('for any events, a failed host is not live after the next batch', async (t) => {
  fc.assert(fc.property(fc.array(eventArb, { maxLength: 60 }), (events) => {
    const failedSince = new Map<string, number>()
    runEvents(events, (table, now, event) => {
      if (event !== 'tick' && event.type === 'failure') failedSince.set(`h${event.host}`, failedSince.get(`h${event.host}`) ?? now)
      if (event !== 'tick' && event.type === 'answer') failedSince.delete(`h${event.host}`)
      if (event !== 'tick') return
      for (const { entry: { host }, state } of table.getView().hosts) {
        if (failedSince.has(host) && now - failedSince.get(host)! >= settings.batchMs) assert.notEqual(state, 'live')
      }
    })
  }), { seed: 11, numRuns: 500 })
  t.pass('500 runs')
})

tap.test('for any events, recoveries of a host are bounded and the version changes with the view', async (t) => {
  fc.assert(fc.property(fc.array(eventArb, { minLength: 40, maxLength: 200 }), (events) => {
    let lastStates = new Map<string, string>()
    let lastVersion = 0
    const recoveries = new Map<string, number[]>()
    runEvents(events, (table, now) => {
      const view = table.getView()
      const states = new Map(view.hosts.map((host) => [host.entry.host as string, host.state as string]))
      if (view.version === lastVersion) assert.deepEqual(states, lastStates)
      for (const [host, state] of states) {
        if (state !== 'live' || lastStates.get(host) === 'live' || !lastStates.has(host)) continue
        const recent = [...recoveries.get(host) ?? [], now].filter((at) => now - at < settings.flapWindowMs)
        recoveries.set(host, recent)
        assert.ok(recent.length <= settings.maxRecoveries, `${host} returned ${recent.length} times`)
      }
      assert.ok(view.hosts.length > 0)
      lastStates = states
      lastVersion = view.version
    })
  }), { seed: 12, numRuns: 300 })
  t.pass('300 runs')
})

tap.test('a flapping host moves only its own programs, 2 * maxRecoveries + 1 times per window', async (t) => {
  const homes = await chooseHome.createHomeChooser()
  const programs = Array.from({ length: 2_000 }, (_, index) => `p${index}` as types.ProgramId)
  const table = createTable(20)
  const select = selectAll()
  const homesNow = (): (types.HostId | undefined)[] => programs.map((program) => homes.findHome(program, select(table.getView())))
  let before = homesNow()
  const share = before.filter((host) => host === h0).length
  let movedPrograms = 0
  for (let now = 1_000; now < settings.flapWindowMs; now += 1_000) {
    if ((now / 1_000) % 10 === 0) table.noteFailure(h0, now)
    if ((now / 1_000) % 10 === 5) table.noteAnswer(h0, first, false, now)
    if (!table.tick(now)) continue
    const after = homesNow()
    movedPrograms += after.filter((host, index) => host !== before[index]).length
    before = after
  }
  t.ok(share > 0)
  t.equal(movedPrograms, (2 * settings.maxRecoveries + 1) * share)
})
