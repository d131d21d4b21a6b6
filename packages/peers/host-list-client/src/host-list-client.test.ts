import tap from 'tap'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as hostListClient from './index.js'

interface TestScope {
  teardown: (run: () => unknown) => void
}

const first: types.HostEntry = {
  host: 'makati-a-1' as types.HostId,
  role: 'sidecar',
  region: 'ncr' as types.RegionId,
  availabilityZone: 'makati-a' as types.AvailabilityZoneId,
  address: 'http://127.0.0.1:7101',
  state: 'live'
}

const timeoutMs = 150

interface Bench {
  readonly list: standIns.HostListStandIn
  readonly client: hostListClient.HostListClient
  readonly timers: timerService.ManualTimers
}

/** The client's time limit is on manual timers. */
async function bench (t: TestScope): Promise<Bench> {
  const timers = timerService.createManualTimers()
  const list = await standIns.createHostListStandIn({ port: 0, hosts: [first] })
  const client = hostListClient.createHostListClient({ address: list.address, timeoutMs, timers })
  t.teardown(async () => { await list.close(); await client.close() })
  return { list, client, timers }
}

tap.test('reads the list as it changes', async (t) => {
  const { list, client } = await bench(t)
  t.same(await client.read(), { ok: true, value: { version: 1, hosts: [first] } })
  list.setHost({ ...first, host: 'makati-a-2' as types.HostId })
  list.leaveHost(first.host)
  t.match(await client.read(), { value: { version: 3, hosts: [{ host: 'makati-a-1', state: 'leaving' }, { host: 'makati-a-2', state: 'live' }] } })
  list.removeHost(first.host)
  t.match(await client.read(), { value: { version: 4, hosts: [{ host: 'makati-a-2' }] } })
})

tap.test('a stalled list is an old one', async (t) => {
  const { list, client } = await bench(t)
  list.stall(true)
  list.removeHost(first.host)
  t.match(await client.read(), { value: { version: 1, hosts: [{ host: 'makati-a-1' }] } })
  list.stall(false)
  t.match(await client.read(), { value: { version: 2, hosts: [] } })
})

tap.test('a list that does not answer in time is unavailable', async (t) => {
  const { list, client, timers } = await bench(t)
  list.faults.set({ type: 'hang' }, { times: 1 })
  const read = client.read()
  while (list.faults.active() > 0) await new Promise((resolve) => { setTimeout(resolve, 2) })
  timers.advance(timeoutMs)
  t.match(await read, { ok: false, failure: { tag: 'peerUnavailable', verdict: 'mayHaveRun', message: /150 ms/ } })
})

tap.test('failures are told from an empty list', async (t) => {
  const { list, client } = await bench(t)
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
  list.setHost({ ...first, host: 'no id!' as types.HostId })
  t.match(await client.read(), { ok: false, failure: { tag: 'answerBroken' } })
  await list.close()
  t.match(await client.read(), { ok: false, failure: { tag: 'peerUnavailable', verdict: 'notRun' } })
})
