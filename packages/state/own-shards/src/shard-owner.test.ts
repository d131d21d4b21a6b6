import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as shardOwner from './shard-owner.js'

const parts = 8
const now = 1_000_000 as types.EpochMs

function fixture () {
  const timers = timerService.createManualTimers()
  const store = new standIns.MemoryShardLog(timers, parts)
  const owners: shardOwner.ShardOwner[] = []
  const start = (member: string, faults = standIns.noFaults()): shardOwner.ShardOwner => {
    const owner = new shardOwner.ShardOwner({ group: 'homes', member, topics: ['keyed.turns-0'], partitionsPerTopic: parts, leaseMs: 1_100, heartbeatMs: 300, ownersPollMs: 1_000, handoverTimeoutMs: 900 }, {
      log: store.client(faults),
      timers,
      decisions: decisionLog.createSilentDecisionLog(),
      onShardsReleased: () => { for (const other of owners) if (other !== owner) other.joinNow() }
    })
    owners.push(owner)
    owner.start()
    return owner
  }
  return { timers, store, start }
}

const served = (owner: shardOwner.ShardOwner): number => owner.listServingShards().length

/** Keeps one turn of a program at an owner. */
async function keepTurn (timers: timerService.ManualTimers, owner: shardOwner.ShardOwner, program: types.ProgramId, turn: string): Promise<string> {
  const place = owner.locate(owner.getPartition(program))
  if (place.type !== 'here') return place.type
  const request: turnLedger.TurnRequest = { turn: turn as turnLedger.TurnId, program, account: undefined, previous: undefined, maxTokens: 10, budgetTokens: undefined, keeps: true, retainMs: 60_000 }
  const admission = place.shard.ledger.admitTurn(request, now)
  if (admission.type !== 'admitted') return admission.type
  const reserved = place.shard.commit(admission.writes)
  await timers.advanceAsync(20)
  if ((await reserved).type === 'lost') return 'lost'
  const end = place.shard.ledger.settleTurn(request, { type: 'whole', input: Buffer.from('in'), output: Buffer.from('out'), tokens: 10 }, now)
  const kept = place.shard.commit(end.type === 'settled' ? end.writes : [])
  await timers.advanceAsync(20)
  return (await kept).type
}

tap.test('two processes share the shards, and each is at one of them only', async (t) => {
  const { timers, start } = fixture()
  const a = start('a')
  const b = start('b')
  await timers.advanceAsync(3_000)
  t.equal(served(a) + served(b), parts)
  t.equal(served(a), parts / 2)
})

tap.test('a member that falls silent loses its shards after the lease, with all that was kept', async (t) => {
  const { timers, start } = fixture()
  const a = start('a')
  const b = start('b')
  await timers.advanceAsync(3_000)
  const programs = Array.from({ length: 20 }, (_, at) => `program-${at}` as types.ProgramId)
  const atA = programs.filter((program) => a.locate(a.getPartition(program)).type === 'here')
  for (const program of atA) t.equal(await keepTurn(timers, a, program, `turn-${program}`), 'committed')
  a.close()
  await timers.advanceAsync(2_000)
  t.equal(served(b), parts)
  for (const program of atA) {
    const place = b.locate(b.getPartition(program))
    t.ok(place.type === 'here' && place.shard.ledger.exportChain(`turn-${program}` as turnLedger.TurnId, undefined))
  }
})

tap.test('a member whose process has ended is given up at once', async (t) => {
  const { timers, start } = fixture()
  const a = start('a')
  const b = start('b')
  await timers.advanceAsync(3_000)
  a.close()
  void b.evict('a', 'ended')
  await timers.advanceAsync(100)
  t.equal(served(b), parts)
})

tap.test('a member that was given up while it lived can write nothing, and comes back', async (t) => {
  const { timers, start } = fixture()
  const faults = standIns.noFaults()
  const a = start('a', faults)
  const b = start('b')
  await timers.advanceAsync(3_000)
  const program = Array.from({ length: 20 }, (_, at) => `program-${at}` as types.ProgramId).find((id) => a.locate(a.getPartition(id)).type === 'here')!
  faults.silent = true
  void b.evict('a', 'ended')
  await timers.advanceAsync(1_000)
  t.equal(served(b), parts)
  faults.silent = false
  t.not(await keepTurn(timers, a, program, 'late'), 'committed')
  await timers.advanceAsync(3_000)
  t.equal(served(a) + served(b), parts)
  t.ok(served(a) > 0)
})

tap.test('a process that leaves hands its shards over within a few store calls', async (t) => {
  const { timers, start } = fixture()
  const a = start('a')
  const b = start('b')
  await timers.advanceAsync(3_000)
  void a.leave()
  await timers.advanceAsync(60)
  t.equal(served(a), 0)
  t.equal(served(b), parts)
})
