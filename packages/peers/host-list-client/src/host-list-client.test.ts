import tap from 'tap'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as hostListClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

const firstHost: types.HostEntry = {
  host: 'makati-a-1' as types.HostId,
  role: 'sidecar',
  region: 'ncr' as types.RegionId,
  availabilityZone: 'makati-a' as types.AvailabilityZoneId,
  address: 'http://127.0.0.1:7101',
  state: 'live'
}

const timeoutMs = 150

interface Fixture {
  readonly list: standIns.HostListStandIn
  readonly client: hostListClient.HostListClient
  readonly timers: timerService.ManualTimers
}

/** Starts a host list stand-in and a client whose time limit runs on manual timers. */
async function createFixture (t: TestScope): Promise<Fixture> {
  const timers = timerService.createManualTimers()
  const list = await standIns.createHostListStandIn({ port: 0, hosts: [firstHost] })
  const client = hostListClient.createHostListClient({ address: list.address, timeoutMs, timers })
  t.teardown(async () => { await list.close(); await client.close() })
  return { list, client, timers }
}

tap.test('each read returns the current list', async (t) => {
  const { list, client } = await createFixture(t)
  t.same(await client.read(), { ok: true, value: { version: 1, hosts: [firstHost] } })
  list.setHost({ ...firstHost, host: 'makati-a-2' as types.HostId })
  list.leaveHost(firstHost.host)
  t.match(await client.read(), { value: { version: 3, hosts: [{ host: 'makati-a-1', state: 'leaving' }, { host: 'makati-a-2', state: 'live' }] } })
  list.removeHost(firstHost.host)
  t.match(await client.read(), { value: { version: 4, hosts: [{ host: 'makati-a-2' }] } })
})

tap.test('a stalled list service returns a stale list', async (t) => {
  const { list, client } = await createFixture(t)
  list.stall(true)
  list.removeHost(firstHost.host)
  t.match(await client.read(), { value: { version: 1, hosts: [{ host: 'makati-a-1' }] } })
  list.stall(false)
  t.match(await client.read(), { value: { version: 2, hosts: [] } })
})

tap.test('a read that times out fails as unavailable', async (t) => {
  const { list, client, timers } = await createFixture(t)
  list.faults.set({ type: 'hang' }, { times: 1 })
  const read = client.read()
  while (list.faults.active() > 0) await new Promise((resolve) => { setTimeout(resolve, 2) })
  timers.advance(timeoutMs)
  t.match(await read, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun', message: /150 ms/ } })
})

tap.test('failures differ from an empty list', async (t) => {
  const { list, client } = await createFixture(t)
  const failures: readonly [standIns.HostListFault, object][] = [
    [{ type: 'empty' }, { ok: true, value: { hosts: [] } }],
    [{ type: 'down', retryAfterMs: 300 }, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun', retryAfterMs: 300 } }],
    [{ type: 'reset' }, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun' } }],
    [{ type: 'truncate' }, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'ran' } }]
  ]
  for (const [fault, expected] of failures) {
    list.faults.set(fault, { times: 1 })
    t.match(await client.read(), expected, fault.type)
  }
  await list.close()
  t.match(await client.read(), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})

// Guards against a list that is no longer followed because one of its entries can't be read.
tap.test('an entry that cannot be read is left out, and the others hold', async (t) => {
  const list = await standIns.createHostListStandIn({ port: 0, hosts: [firstHost] })
  const unreadable: number[] = []
  const client = hostListClient.createHostListClient({ address: list.address, timeoutMs: 1_000, onUnreadable: (count) => { unreadable.push(count) } })
  t.teardown(async () => { await list.close(); await client.close() })
  const readHosts = async (): Promise<unknown> => {
    const read = await client.read()
    return read.ok ? read.value.hosts : read.failure
  }
  let nested: unknown = 'x'
  for (let depth = 0; depth < 1_000; depth += 1) nested = [nested]
  const oddEntries = [{ host: 'no id!' }, { address: 'http://127.0.0.1:99999' }, { address: '127.0.0.1' }, { address: nested }, { host: nested }, { role: 1e308 }, { state: 'gone' }, { region: '' }]
  for (const odd of oddEntries) {
    list.setHost({ ...firstHost, host: 'odd' as types.HostId, ...odd } as types.HostEntry)
    t.same(await readHosts(), [firstHost], JSON.stringify(odd).slice(0, 60))
    list.removeHost((odd.host ?? 'odd') as string)
  }
  t.same(await readHosts(), [firstHost])
  t.same([unreadable[0], unreadable.at(-1)], [1, 0])
})
