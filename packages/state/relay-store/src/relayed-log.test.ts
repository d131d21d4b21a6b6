import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as shardLog from '@eelgrasswind/shard-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import * as relayedLog from './relayed-log.js'

const partition = { topic: 'keyed.turns-0', part: 0 }

function fixture (peerFaults: readonly standIns.ShardLogFaults[]) {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, 1)
  const own = standIns.noFaults()
  const asked: string[] = []
  const peers = new Map(peerFaults.map((faults, index) => [`peer-${index}`, store.client(faults)]))
  const relay = new relayedLog.RelayedLog({
    directLog: store.client(own),
    peers: () => [...peers.keys()],
    callPeer: (address, call) => {
      asked.push(address)
      return shardLog.runStoreCall(peers.get(address)!, call)
    },
    timers,
    decisions: decisionLog.createSilentDecisionLog()
  })
  return { timers, own, asked, log: relay.log }
}

const turnedAway = (): standIns.ShardLogFaults => ({ ...standIns.noFaults(), refuse: true })

function append (log: shardLog.ShardLog, sequence: number): Promise<shardLog.AppendOutcome> {
  return log.append({ partition, epoch: 1, sequence, records: [{ key: `k${sequence}`, value: Buffer.from('v') }] })
}

tap.test('a host that is turned away appends through a peer that is not', async (t) => {
  const { timers, own, asked, log } = fixture([turnedAway(), standIns.noFaults(), turnedAway()])
  own.refuse = true
  const first = append(log, 0)
  await timers.advanceAsync(50)
  t.equal((await first).type, 'appended')
  const before = asked.length
  const second = append(log, 1)
  await timers.advanceAsync(50)
  t.equal((await second).type, 'appended')
  t.same(asked.slice(before), ['peer-1'], 'the peer that worked is asked first')
})

tap.test('the store itself is used again once it serves this host', async (t) => {
  const { timers, own, asked, log } = fixture([standIns.noFaults()])
  own.refuse = true
  const first = append(log, 0)
  await timers.advanceAsync(50)
  t.equal((await first).type, 'appended')
  own.refuse = false
  const probe = log.owners('homes')
  await timers.advanceAsync(50)
  t.equal((await probe).type, 'owners')
  const before = asked.length
  const second = append(log, 1)
  await timers.advanceAsync(50)
  t.equal((await second).type, 'appended')
  t.equal(asked.length, before)
})

tap.test('an outage for all costs few calls of peers', async (t) => {
  const { timers, own, asked, log } = fixture([turnedAway(), turnedAway(), turnedAway(), turnedAway()])
  own.refuse = true
  for (let round = 0; round < 10; round += 1) {
    const failed = append(log, 0)
    await timers.advanceAsync(20)
    t.equal((await failed).type, 'refused')
  }
  t.equal(asked.length, 3)
})
