import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as shardLog from '@eelgrasswind/shard-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountLimits from './account-limits.js'
import * as accountOwners from './account-owners.js'
import type * as meterCall from './meter-call.js'

const limit: meterAccount.MeterLimit = { requestsPerSecond: 5, burst: 200, slack: 20 }
const flood = 'flood' as types.AccountId
const modest = 'modest' as types.AccountId
const group = 3
const partition: shardLog.Partition = { topic: 'keyed.turns-0', part: 0 }
const stepMs = 5
/** Longer than any answer takes, in ms. */
const longestMs = 1_000
/** Time that a call and its answer are on the way, in ms. */
const roundTripMs = 40

/** A process that owns the group, and its store. */
function createOwner () {
  const timers = timerService.createManualTimers()
  const faults = standIns.noFaults()
  const client = new standIns.MemoryShardLog(timers, 1).client(faults)
  const store = { faults, callMs: 0 }
  const shard: { readonly epoch: number, state: ownShards.ShardState } = { epoch: 1, state: 'serving' }
  const log = shardLog.createShardLog(async (call) => {
    await timerService.sleep(timers, store.callMs)
    return shardLog.runStoreCall(client, call)
  })
  const owners = new accountOwners.AccountOwners({
    shards: { locate: () => ({ type: 'here', shard: shard as ownShards.OwnedShard }), leaseAgeMs: 0, leaseMs: 1_100 },
    log,
    timers,
    decisions: decisionLog.createSilentDecisionLog(),
    getLimit: () => limit,
    getVersion: () => 1,
    callPeer: () => Promise.resolve({ type: 'noAnswer', ended: false }),
    host: 'host-0',
    address: '10.0.0.0:7000',
    countHosts: () => 1
  })
  let sequence = 0
  return {
    timers,
    store,
    shard,
    owners,
    /** Reports the requests that wait at a host; resolves with the answer and the time that it took, in ms. */
    async report (asked: ReadonlyMap<types.AccountId, number>): Promise<{ readonly answer: meterCall.MeterCallAnswer, readonly tookMs: number }> {
      sequence += 1
      const reports = [...asked].map(([account, further]) => ({ account, limit, counter: 1, total: meterAccount.noRequests, kept: 0, allowanceTerm: -1, wanted: 0, asked: { first: 0, further }, spent: meterAccount.noRequests }))
      const startedAt = timers.monotonic()
      const answered = owners.countReports({ type: 'meter', group, version: 1, host: 'host-0', incarnation: 'first', sequence, knownTerm: -1, usesShare: false, reports }, partition)
        .then((answer) => ({ answer, tookMs: timers.monotonic() - startedAt }))
      for (let waitedMs = 0; waitedMs < longestMs; waitedMs += stepMs) await timers.advanceAsync(stepMs)
      return answered
    }
  }
}

/** Requests that an answer grants to an account. */
function countGranted (answer: meterCall.MeterCallAnswer, account: types.AccountId): number | undefined {
  return answer.type === 'metered' ? answer.answers.find((each) => each.account === account)?.granted.further : undefined
}

// Guards against accounts below their limit that are refused because the store is late for another account of their group.
tap.test('a report is answered before its sender gives up, although the store does not answer', async (t) => {
  const { store, owners, report } = createOwner()
  await report(new Map([[flood, 0]]))
  store.faults.silent = true
  const { answer, tookMs } = await report(new Map([[flood, 300], [modest, 10]]))
  t.ok(tookMs + roundTripMs < accountLimits.ownerTimeoutMs, `${tookMs} ms`)
  t.equal(countGranted(answer, modest), 10)
  owners.close()
})

// The same for an owner that has just taken over.
tap.test('a report that waits for its group to be opened is answered before its sender gives up', async (t) => {
  const { store, timers, owners, report } = createOwner()
  store.callMs = 40
  timers.after(3 * (store.callMs + 2) + stepMs, () => { store.faults.silent = true })
  const { answer, tookMs } = await report(new Map([[flood, 300], [modest, 10]]))
  t.ok(tookMs + roundTripMs < accountLimits.ownerTimeoutMs, `${tookMs} ms`)
  t.equal(countGranted(answer, modest), 10)
  owners.close()
})

// Guards against an owner that begins to count while it hands its shard over, and never hands that group over.
tap.test('a group is not opened while its shard is handed over, but goes on to be counted', async (t) => {
  for (const isOpen of [true, false]) {
    const { shard, owners, report } = createOwner()
    if (isOpen) await report(new Map([[modest, 0]]))
    shard.state = 'closing'
    const { answer } = await report(new Map([[modest, 10]]))
    if (isOpen) t.equal(countGranted(answer, modest), 10)
    else t.match(answer, { type: 'notOwner', reason: 'elsewhere' })
    owners.close()
  }
})
