import tap from 'tap'
import * as chooseHome from '@eelgrasswind/choose-home'
import * as errors from '@eelgrasswind/errors'
import * as loggers from '@eelgrasswind/logger'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as hostDirectory from './host-directory.js'

const localHost = 'engine-0' as types.HostId
const otherHost = 'engine-1' as types.HostId

function createEntry (host: types.HostId, state: types.HostEntry['state']): types.HostEntry {
  return { host, role: 'sidecar', region: 'ncr' as types.RegionId, availabilityZone: 'makati-a' as types.AvailabilityZoneId, address: 'http://127.0.0.1:1', state }
}

tap.test('a process whose own host is listed as leaving treats it as leaving, so that its upstreams get no new work', async (t) => {
  const timers = timerService.createManualTimers()
  let version = 1
  let hosts = [createEntry(localHost, 'live'), createEntry(otherHost, 'live')]
  const directory = new hostDirectory.HostDirectory({
    settings: { self: localHost, region: 'ncr' as types.RegionId, hostListPollMs: 1_000, peers: { timeoutMs: 100, pingIntervalMs: 1_000, pingTimeoutMs: 100 } },
    hostList: { read: () => Promise.resolve(errors.ok({ version, hosts })) } as unknown as hostDirectory.HostDirectoryDeps['hostList'],
    timers,
    logger: loggers.createSilentLogger(),
    homeChooser: await chooseHome.createHomeChooser(),
    config: () => undefined
  })
  t.teardown(() => { directory.close() })
  t.equal(directory.stateOf(localHost), 'live', 'before the first list')
  await directory.readHostList()
  directory.refresh()
  t.equal(directory.stateOf(localHost), 'live')
  version = 2
  hosts = [createEntry(localHost, 'leaving'), createEntry(otherHost, 'live')]
  await directory.readHostList()
  await timers.advanceAsync(1_000)
  t.equal(directory.stateOf(localHost), 'leaving')
  t.equal(directory.stateOf(otherHost), 'live')
})
