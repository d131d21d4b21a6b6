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
  const inner = store.client(faults)
  let expired = false
  const log: shardLog.ShardLog = { ...inner, read: (request) => expired ? Promise.resolve({ type: 'expired' }) : inner.read(request) }
  const heard: string[] = []
  const follower = new recordFollower.RecordFollower({ partition, pollMs: 100, longPollMs: 0 }, { log, timers, decisions: decisionLog.createSilentDecisionLog() }, {
    onSnapshot: (records) => { heard.push(`all ${[...records.keys()].join()}`) },
    onPut: (key, value) => { heard.push(`put ${key}=${Buffer.from(value).toString()}`) },
    onRemove: (key) => { heard.push(`remove ${key}`) }
  })
  let sequence = 0
  const write = (key: string, value: string | undefined): void => {
    const records = [{ key, value: value === undefined ? undefined : Buffer.from(value) }]
    void store.client().append({ partition, epoch: 1, sequence: sequence++, records })
  }
  return { timers, faults, heard, follower, write, expire: (value: boolean) => { expired = value } }
}

tap.test('the newest records come first, then every change in order', async (t) => {
  const { timers, heard, follower, write } = fixture()
  write('a', '1')
  await timers.advanceAsync(10)
  follower.start()
  await timers.advanceAsync(50)
  write('b', '2')
  write('a', undefined)
  await timers.advanceAsync(300)
  t.same(heard, ['all a', 'put b=2', 'remove a'])
  follower.stop()
})

tap.test('changes that expired unread are made good by a whole reading', async (t) => {
  const { timers, heard, follower, write, expire } = fixture()
  follower.start()
  await timers.advanceAsync(50)
  expire(true)
  write('a', '1')
  await timers.advanceAsync(150)
  expire(false)
  await timers.advanceAsync(500)
  t.equal(heard[0], 'all ')
  t.equal(heard.at(-1), 'all a')
  follower.stop()
})

tap.test('the return of the store after an outage is told', async (t) => {
  const { timers, faults, heard, follower, write } = fixture()
  follower.start()
  await timers.advanceAsync(500)
  t.equal(follower.sinceRecoveryMs(), Infinity)
  faults.refuse = true
  write('a', '1')
  await timers.advanceAsync(3_000)
  t.ok(follower.ageMs() >= 2_500)
  faults.refuse = false
  await timers.advanceAsync(400)
  t.ok(follower.sinceRecoveryMs() < 500)
  t.equal(heard.at(-1), 'put a=1', 'nothing was missed')
  follower.stop()
})
