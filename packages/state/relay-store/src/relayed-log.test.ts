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
  const ownFaults = standIns.noFaults()
  const calledPeers: string[] = []
  const peers = new Map(peerFaults.map((faults, index) => [`peer-${index}`, store.client(faults)]))
  const relay = new relayedLog.RelayedLog({
    directLog: store.client(ownFaults),
    peers: () => [...peers.keys()],
    callPeer: (address, call) => {
      calledPeers.push(address)
      return shardLog.runStoreCall(peers.get(address)!, call)
    },
    timers,
    decisions: decisionLog.createSilentDecisionLog()
  })
  return { timers, ownFaults, calledPeers, log: relay.log }
}

const createRefusing = (): standIns.ShardLogFaults => ({ ...standIns.noFaults(), refuse: true })

function append (log: shardLog.ShardLog, sequence: number): Promise<shardLog.AppendOutcome> {
  return log.append({ partition, epoch: 1, sequence, records: [{ key: `k${sequence}`, value: Buffer.from('v') }] })
}

tap.test('a host that the store refuses appends through a peer that it serves', async (t) => {
  const { timers, ownFaults, calledPeers, log } = fixture([createRefusing(), standIns.noFaults(), createRefusing()])
  ownFaults.refuse = true
  const firstAppend = append(log, 0)
  await timers.advanceAsync(50)
  t.equal((await firstAppend).type, 'appended')
  const callCountBefore = calledPeers.length
  const secondAppend = append(log, 1)
  await timers.advanceAsync(50)
  t.equal((await secondAppend).type, 'appended')
  t.same(calledPeers.slice(callCountBefore), ['peer-1'], 'the peer that relayed the last call is called first')
})

tap.test('calls go to the store directly again once it serves this host', async (t) => {
  const { timers, ownFaults, calledPeers, log } = fixture([standIns.noFaults()])
  ownFaults.refuse = true
  const firstAppend = append(log, 0)
  await timers.advanceAsync(50)
  t.equal((await firstAppend).type, 'appended')
  ownFaults.refuse = false
  const probe = log.listOwners('homes')
  await timers.advanceAsync(50)
  t.equal((await probe).type, 'owners')
  const callCountBefore = calledPeers.length
  const secondAppend = append(log, 1)
  await timers.advanceAsync(50)
  t.equal((await secondAppend).type, 'appended')
  t.equal(calledPeers.length, callCountBefore)
})

tap.test('an outage of the store for every host causes few calls to peers', async (t) => {
  const { timers, ownFaults, calledPeers, log } = fixture([createRefusing(), createRefusing(), createRefusing(), createRefusing()])
  ownFaults.refuse = true
  for (let round = 0; round < 10; round += 1) {
    const failedAppend = append(log, 0)
    await timers.advanceAsync(20)
    t.equal((await failedAppend).type, 'refused')
  }
  t.equal(calledPeers.length, 3)
})
