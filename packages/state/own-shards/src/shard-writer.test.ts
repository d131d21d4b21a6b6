import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import * as shardWriter from './shard-writer.js'

const partition = { topic: 'keyed.turns-0', part: 3 }

function fixture () {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, 8)
  const lost: string[] = []
  const writer = (epoch: number, faults = standIns.noFaults()) => new shardWriter.ShardWriter(partition, epoch, {
    log: store.client(faults),
    timers,
    decisions: decisionLog.createSilentDecisionLog(),
    onLost: (reason) => { lost.push(reason) }
  })
  return { timers, store, writer, lost }
}

const record = (key: string) => ({ key, value: Buffer.from(key) })

tap.test('an append without records does not use up a sequence number', async (t) => {
  const { timers, store, writer } = fixture()
  const own = writer(1)
  const done = Promise.all([own.open(), own.commit([record('a')]), own.commit([]), own.commit([record('b')])])
  await timers.advanceAsync(100)
  const later = own.commit([record('c')])
  await timers.advanceAsync(100)
  t.same((await done).map(({ type }) => type), ['committed', 'committed', 'committed', 'committed'])
  t.equal((await later).type, 'committed')
  t.same(store.recordsOf(partition).map(({ key }) => key), ['a', 'b', 'c'])
})

tap.test('an append whose answer is lost is stored once', async (t) => {
  const { timers, store, writer } = fixture()
  const faults = standIns.noFaults()
  const own = writer(1, faults)
  void own.open()
  await timers.advanceAsync(50)
  faults.loseAnswers = true
  const commit = own.commit([record('a')])
  await timers.advanceAsync(1_000)
  t.ok(own.unansweredMs >= 1_000)
  faults.loseAnswers = false
  await timers.advanceAsync(1_000)
  t.equal((await commit).type, 'committed')
  t.same(store.recordsOf(partition).map(({ key }) => key), ['a'])
})

tap.test('a newer owner fences the former one', async (t) => {
  const { timers, store, writer, lost } = fixture()
  const former = writer(1)
  const next = writer(2)
  void former.open()
  await timers.advanceAsync(50)
  void next.open()
  await timers.advanceAsync(50)
  const late = former.commit([record('late')])
  await timers.advanceAsync(50)
  t.equal((await late).type, 'lost')
  t.equal(lost.length, 1)
  t.same(store.recordsOf(partition), [])
})

tap.test('what waits at a closed writer is told that it is lost', async (t) => {
  const { timers, writer } = fixture()
  const own = writer(1, { ...standIns.noFaults(), silent: true })
  const commits = [own.commit([record('a')]), own.commit([record('b')])]
  await timers.advanceAsync(100)
  own.close()
  await timers.advanceAsync(1_000)
  t.same((await Promise.all(commits)).map(({ type }) => type), ['lost', 'lost'])
})
