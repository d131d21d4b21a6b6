import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import * as recordFollower from './record-follower.js'

const partition = { topic: 'keyed.list', part: 0 }

function fixture () {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, 1)
  const faults = standIns.noFaults()
  const storeClient = store.client(faults)
  let isExpired = false
  const log: shardLog.ShardLog = { ...storeClient, read: (request) => isExpired ? Promise.resolve({ type: 'expired' }) : storeClient.read(request) }
  const events: string[] = []
  const follower = new recordFollower.RecordFollower({ partition, pollMs: 100, longPollMs: 0 }, { log, timers, decisions: decisionLog.createSilentDecisionLog() }, {
    onSnapshot: (records) => { events.push(`all ${[...records.keys()].join()}`) },
    onPut: (key, value) => { events.push(`put ${key}=${Buffer.from(value).toString()}`) },
    onRemove: (key) => { events.push(`remove ${key}`) }
  })
  let sequence = 0
  const appendRecord = (key: string, value: string | undefined): void => {
    const records = [{ key, value: value === undefined ? undefined : Buffer.from(value) }]
    void store.client().append({ partition, epoch: 1, sequence: sequence++, records })
  }
  return { timers, faults, events, follower, appendRecord, setExpired: (value: boolean) => { isExpired = value } }
}

tap.test('the newest records come first, then every change in order', async (t) => {
  const { timers, events, follower, appendRecord } = fixture()
  appendRecord('a', '1')
  await timers.advanceAsync(10)
  follower.start()
  await timers.advanceAsync(50)
  appendRecord('b', '2')
  appendRecord('a', undefined)
  await timers.advanceAsync(300)
  t.same(events, ['all a', 'put b=2', 'remove a'])
  follower.stop()
})

tap.test('the follower reads a full snapshot after changes expired unread', async (t) => {
  const { timers, events, follower, appendRecord, setExpired } = fixture()
  follower.start()
  await timers.advanceAsync(50)
  setExpired(true)
  appendRecord('a', '1')
  await timers.advanceAsync(150)
  setExpired(false)
  await timers.advanceAsync(500)
  t.equal(events[0], 'all ')
  t.equal(events.at(-1), 'all a')
  follower.stop()
})

tap.test('the follower reports the recovery of the store after an outage', async (t) => {
  const { timers, faults, events, follower, appendRecord } = fixture()
  follower.start()
  await timers.advanceAsync(500)
  t.equal(follower.sinceRecoveryMs(), Infinity)
  faults.refuse = true
  appendRecord('a', '1')
  await timers.advanceAsync(3_000)
  t.ok(follower.ageMs() >= 2_500)
  faults.refuse = false
  await timers.advanceAsync(400)
  t.ok(follower.sinceRecoveryMs() < 500)
  t.equal(events.at(-1), 'put a=1', 'nothing was missed')
  follower.stop()
})
