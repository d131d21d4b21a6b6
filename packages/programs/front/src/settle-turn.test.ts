import * as msgpack from '@msgpack/msgpack'
import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as settleTurn from './settle-turn.js'

const request: turnLedger.TurnRequest = { turn: 'b' as turnLedger.TurnId, program: 'p' as types.ProgramId, account: undefined, previous: 'a' as turnLedger.TurnId, maxTokens: 20, budgetTokens: undefined, keeps: true, retainMs: 60_000 }
const end = { type: 'whole' as const, input: Buffer.from('in'), output: Buffer.from('out'), tokens: 20 }

function createShard (ledger: turnLedger.TurnLedger, answers: 'committed' | 'lost' | 'never'): ownShards.OwnedShard {
  const commit = () => answers === 'never' ? new Promise(() => {}) : Promise.resolve({ type: answers })
  return { ledger, state: answers === 'lost' ? 'lost' : 'serving', epoch: 1, partition: { topic: 'x', part: 0 }, unansweredMs: 0, commit, confirmOwnership: commit } as unknown as ownShards.OwnedShard
}

/** Stores a turn in a shard that lacks its chain; another owner has it. `others`: further shards of this process. */
function fixture (others: readonly ownShards.OwnedShard[], peerAnswer: (call: { readonly type: string }) => unknown) {
  const timers = timerService.createManualTimers()
  const calls: string[] = []
  const send: sendHttp.Sender['send'] = ({ body }, sink) => {
    const call = msgpack.decode(body as Uint8Array) as { readonly type: string }
    calls.push(call.type)
    timers.after(2, () => {
      sink.onHead({ status: 200, headers: {}, rawHeaders: [] })
      sink.onData(Buffer.from(msgpack.encode(peerAnswer(call), { ignoreUndefined: true })))
      sink.onComplete({ framing: 'length', connection: 'open', bodyBytes: 1 })
    })
    return { cancel () {}, discard () {}, pause () {}, resume () {} }
  }
  const shard = createShard(new turnLedger.TurnLedger(), 'committed')
  const shards = { getPartition: () => ({ topic: 'x', part: 0 }), locate: ({ part }: { readonly part: number }) => (part === 0 ? { type: 'here', shard } : { type: 'member', member: 'front-1@127.0.0.1:1' }) as ownShards.ShardLocation, listPartitions: () => [{ topic: 'x', part: 0 }, { topic: 'x', part: 1 }], listOpeningShards: () => [], refreshOwners: () => Promise.resolve(), listMembers: () => ['front-1@127.0.0.1:1'], isSelf: () => false, listServingShards: () => [shard, ...others], shardCount: 2 }
  const ports = { timers, decisions: decisionLog.createSilentDecisionLog(), peerSender: { send, close () {} }, shards } as unknown as settleTurn.SettlePorts
  return { timers, calls, shards, ports }
}

function exportChain (): readonly turnLedger.StoredTurn[] {
  const ledger = new turnLedger.TurnLedger()
  const first = { ...request, turn: 'a' as turnLedger.TurnId, previous: undefined }
  ledger.admitTurn(first, 0 as types.EpochMs)
  ledger.settleTurn(first, end, 0 as types.EpochMs)
  return ledger.exportChain('a' as turnLedger.TurnId, undefined)!
}

tap.test('a turn is stored with the chain that another owner has', async (t) => {
  const { timers, ports } = fixture([], () => ({ type: 'found', chain: exportChain() }))
  const stored = settleTurn.settleCompletedTurn(ports, createShard(new turnLedger.TurnLedger(), 'lost'), { type: 'settle', request, end }, timers.monotonic() + 3_000)
  await timers.advanceAsync(3_000)
  t.equal(await stored, true)
})

// Guards against an answer that is held beyond its deadline: the store answered for the shard of the turn, but not for another one.
tap.test('a turn is stored with the chain that another owner has, while another shard waits for the store', async (t) => {
  const { timers, ports } = fixture([createShard(new turnLedger.TurnLedger(), 'never')], () => ({ type: 'found', chain: exportChain() }))
  let outcome: boolean | undefined
  void settleTurn.settleCompletedTurn(ports, createShard(new turnLedger.TurnLedger(), 'lost'), { type: 'settle', request, end }, timers.monotonic() + 3_000).then((stored) => { outcome = stored })
  await timers.advanceAsync(6_000)
  t.equal(outcome, true)
})

// Guards against a request that is held to its deadline by an owner of an earlier release, which can never store the turn.
tap.test('an owner that does not know a turn without a reservation is not asked again and again', async (t) => {
  const { timers, ports, shards, calls } = fixture([], () => null)
  shards.locate = () => ({ type: 'member', member: 'front-1@127.0.0.1:1' })
  const stored = settleTurn.settleCompletedTurn(ports, createShard(new turnLedger.TurnLedger(), 'lost'), { type: 'settleUnreserved', request, end }, timers.monotonic() + 3_000)
  await timers.advanceAsync(4_000)
  t.equal(await stored, false)
  t.ok(calls.length <= 12, `${calls.length} calls`)
})

// Guards against a whole answer that is cut although the turn is stored: its owner confirmed it after the shard had moved on.
tap.test('a turn is stored once an owner that is no longer waited for confirms it', async (t) => {
  const { timers, ports, shards } = fixture([], () => ({ type: 'notOwner' }))
  const members = ['front-1@127.0.0.1:1', 'front-2@127.0.0.1:2']
  let owner = members[0]!
  shards.locate = () => ({ type: 'member', member: owner })
  const confirmsAfterMs: Record<string, number> = { '127.0.0.1:1': 1_500, '127.0.0.1:2': 9_000 }
  const send: sendHttp.Sender['send'] = ({ address }, sink) => {
    timers.after(confirmsAfterMs[address]!, () => {
      sink.onHead({ status: 200, headers: {}, rawHeaders: [] })
      sink.onData(Buffer.from(msgpack.encode({ type: 'kept' })))
      sink.onComplete({ framing: 'length', connection: 'open', bodyBytes: 1 })
    })
    return { cancel () {}, discard () {}, pause () {}, resume () {} }
  }
  let outcome: boolean | undefined
  const lost = createShard(new turnLedger.TurnLedger(), 'lost')
  const movingPorts = { ...ports, peerSender: { send, close () {} }, peerProbe: { isReachable: () => Promise.resolve(true) } }
  void settleTurn.settleCompletedTurn(movingPorts, lost, { type: 'settle', request, end }, timers.monotonic() + 3_000).then((stored) => { outcome = stored })
  timers.after(600, () => { owner = members[1]! })
  await timers.advanceAsync(2_000)
  t.equal(outcome, true)
})
