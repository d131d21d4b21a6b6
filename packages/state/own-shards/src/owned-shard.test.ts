import tap from 'tap'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import * as ownedShard from './owned-shard.js'

const partition = { topic: 'keyed.turns-0', part: 0 }

tap.test('a shard with an undecodable record is not served', async (t) => {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, 1)
  const decisions: decisionLog.Decision[] = []
  void store.client().append({ partition, epoch: 1, sequence: 0, records: [{ key: 'tturn-1', value: Buffer.from('not a turn') }] })
  await timers.advanceAsync(10)
  const shard = new ownedShard.OwnedShard(partition, 2, {
    log: store.client(),
    timers,
    decisions: { record: (decision) => { decisions.push(decision) } },
    onLost: () => {}
  })
  void shard.open()
  await timers.advanceAsync(50)
  t.equal(shard.state, 'opening')
  t.ok(decisions.some(({ event }) => event === 'shardUnreadable'))
})
