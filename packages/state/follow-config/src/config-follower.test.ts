import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import * as logger from '@eelgrasswind/logger'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import tap from 'tap'
import * as followConfig from './index.js'

const logFailure: errors.Failure = { tag: 'logUnavailable', verdict: 'mayHaveRun', message: 'down', retryAfterMs: 1000 }

/** In-memory log of one stream, on manual timers. */
class MemoryLog implements logClient.LogClient {
  readonly records: logClient.LogRecord[] = []
  first = 0
  isDown = false
  /** Delay of each read, in ms. */
  delayMs = 0
  reads = 0

  constructor (private readonly timers: timerService.ManualTimers) {}

  async append (_stream: types.StreamName, data: string): Promise<errors.Result<logClient.AppendResult>> {
    if (this.isDown) return errors.fail(logFailure)
    const record = { offset: this.records.length as types.LogOffset, at: this.timers.now() as types.EpochMs, data }
    this.records.push(record)
    return errors.ok(record)
  }

  async read (_stream: types.StreamName, from: types.LogOffset, options: logClient.ReadOptions = {}): Promise<errors.Result<logClient.LogPage>> {
    this.reads += 1
    const start = Math.max(from, this.first)
    const records = this.records.slice(start, start + (options.limit ?? 100))
    const page = { first: this.first as types.LogOffset, next: this.records.length as types.LogOffset, records }
    if (this.delayMs > 0) await timerService.sleep(this.timers, this.delayMs)
    return this.isDown ? errors.fail(logFailure) : errors.ok(page)
  }

  expireUntil (offset: number): void {
    this.first = offset
  }

  async close (): Promise<void> {}
}

const budget = { tokens: 100, calls: 1, microCost: 0, wallMs: 10 }
const retentionMs = 100_000
const kind = { weight: 1, budget, expectedTurns: 1, deadlineSlackMs: 1, maxTokens: 1 }

function encodeTestChange (basedOn: number, weight: number): string {
  const diff = { puts: { kinds: { k: { ...kind, weight } }, limits: { retentionMs, snapshotMs: 1000 } } as unknown as configState.ConfigPuts, deletes: {} }
  return configState.encodeChange(configState.makeChange(diff, basedOn as types.ConfigVersion, { id: `w${weight}` as configState.ChangeId, by: 'op', at: 0 as types.EpochMs }))
}

function getWeight (follower: followConfig.ConfigFollower): number | undefined {
  return follower.current()?.config.kinds.get('k' as types.KindId)?.weight
}

function setUp (baseSettings: Partial<followConfig.ConfigFollowerSettings> = {}) {
  const timers = timerService.createManualTimers(1_000_000)
  const log = new MemoryLog(timers)
  const startFollower = (overrides: Partial<followConfig.ConfigFollowerSettings> = {}) =>
    followConfig.createConfigFollower({ log, timers, logger: logger.createSilentLogger(), ...baseSettings, ...overrides })
  return { timers, log, startFollower }
}

/** Returns a `fetchFromPeers` that answers with the configuration of a follower, encoded as on the wire. */
function createPeerFetch (follower: followConfig.ConfigFollower) {
  return async (knownVersion: types.ConfigVersion): Promise<followConfig.PeerConfig | null> => {
    const current = follower.current()
    if (current === undefined || current.version <= knownVersion) return null
    return { version: current.version, config: JSON.parse(JSON.stringify(followConfig.toPeerConfig(current))) as unknown }
  }
}

tap.test('a change is in force within six seconds, even if an answer of the log takes three', async (t) => {
  const { timers, log, startFollower } = setUp()
  const follower = startFollower()
  const seenVersions: number[] = []
  follower.subscribe(({ version }) => seenVersions.push(version))
  const firstVersion = follower.waitForFirst()
  await timers.advanceAsync(500)
  t.equal(follower.current(), undefined)
  await log.append(configState.configStream, encodeTestChange(0, 1))
  log.delayMs = 2999
  await timers.advanceAsync(6000)
  t.equal((await firstVersion).version, 1)
  t.equal(getWeight(follower), 1)
  await log.append(configState.configStream, 'no change')
  await timers.advanceAsync(6000)
  t.same(seenVersions, [1])
  follower.close()
})

tap.test('of two concurrent changes every process accepts the same one', async (t) => {
  const { timers, log, startFollower } = setUp()
  const followers = [startFollower(), startFollower({ pollMs: 700 })]
  await log.append(configState.configStream, encodeTestChange(0, 1))
  await log.append(configState.configStream, encodeTestChange(0, 2))
  await timers.advanceAsync(1000)
  followers.push(startFollower())
  await timers.advanceAsync(0)
  t.same(followers.map(getWeight), [1, 1, 1])
  await log.append(configState.configStream, encodeTestChange(1, 3))
  await timers.advanceAsync(1000)
  t.same(followers.map((one) => [one.current()?.version, getWeight(one)]), [[3, 3], [3, 3], [3, 3]])
})

tap.test('a process that starts during an outage gets the configuration from a peer', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  const peer = startFollower()
  await timers.advanceAsync(0)
  log.isDown = true
  const lateFollower = startFollower({ fetchFromPeers: createPeerFetch(peer) })
  await timers.advanceAsync(0)
  t.same([lateFollower.current()?.version, getWeight(lateFollower)], [1, 1])
  log.isDown = false
  await log.append(configState.configStream, encodeTestChange(1, 2))
  await timers.advanceAsync(1000)
  t.same([lateFollower.current()?.version, lateFollower.gap()], [2, null])
  await log.append(configState.configStream, encodeTestChange(2, 3))
  await peer.poll()
  log.isDown = true
  await timers.advanceAsync(1000)
  t.equal(lateFollower.current()?.version, 3, 'also after its start')
})

tap.test('a process adopts the newer configuration of a peer while the log is slow', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  const peer = startFollower()
  await timers.advanceAsync(0)
  log.delayMs = 60_000
  const lateFollower = startFollower({ fetchFromPeers: (have) => timers.now() < 1_002_000 ? Promise.resolve(null) : createPeerFetch(peer)(have) })
  await timers.advanceAsync(3000)
  t.equal(lateFollower.current()?.version, 1)
})

tap.test('a delayed page, an outdated peer or a failing peer never decreases the version', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  const oldFollower = startFollower()
  await timers.advanceAsync(0)
  const fetchOutdated = createPeerFetch({ ...oldFollower, current: ((snapshot) => () => snapshot)(oldFollower.current()) })
  await log.append(configState.configStream, encodeTestChange(1, 2))
  const answers = [() => fetchOutdated(0 as types.ConfigVersion), () => Promise.reject(new Error('gone')), async () => ({ version: 9 as types.ConfigVersion, config: { format: 7 } }), () => fetchOutdated(0 as types.ConfigVersion)]
  log.delayMs = 2500
  const follower = startFollower({ fetchFromPeers: () => (answers.shift() ?? (async () => null))() })
  const seenVersions: (number | undefined)[] = []
  for (let step = 0; step < 50; step += 1) {
    await timers.advanceAsync(100)
    seenVersions.push(follower.current()?.version)
  }
  t.same(seenVersions.filter((version, index) => version !== seenVersions[index - 1]), [1, 2])
  t.equal(answers.length, 0)
})

tap.test('a process that starts after records expired reports a gap and waits for a copy', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  await log.append(configState.configStream, encodeTestChange(1, 2))
  const completeFollower = startFollower()
  await timers.advanceAsync(0)
  log.expireUntil(2)
  const lateFollower = startFollower()
  await timers.advanceAsync(1000)
  t.same([lateFollower.current(), lateFollower.gap()], [undefined, 'expired'])
  const copyWriter = startFollower({ copies: { author: 'sidecar-1', isCopyWriter: () => timers.now() > 1_000_000 + retentionMs / 2 }, fetchFromPeers: createPeerFetch(completeFollower) })
  await timers.advanceAsync(retentionMs / 2 + 2000)
  t.same(log.records.map((record) => JSON.parse(record.data).republishes), [undefined, undefined, { version: 2, asOf: 2 }])
  t.same([lateFollower.current()?.version, getWeight(lateFollower), lateFollower.gap()], [2, 2, null])
  t.same([copyWriter, completeFollower].map((one) => one.current()?.version), [2, 2])
  await log.append(configState.configStream, encodeTestChange(2, 5))
  await timers.advanceAsync(1000)
  t.same([lateFollower, copyWriter, completeFollower].map((one) => one.current()?.version), [4, 4, 4])
})

tap.test('a process with a gap adopts the snapshot of a peer with the same version', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  const completeFollower = startFollower()
  let fetchFromPeer: (have: types.ConfigVersion) => Promise<followConfig.PeerConfig | null> = async () => null
  const laggingFollower = startFollower({ fetchFromPeers: (have) => fetchFromPeer(have), pollMs: 10_000 })
  await timers.advanceAsync(1000)
  await log.append(configState.configStream, 'no change')
  await log.append(configState.configStream, 'no change')
  await timers.advanceAsync(1000)
  log.expireUntil(3)
  await timers.advanceAsync(10_000)
  t.same([laggingFollower.current()?.version, laggingFollower.gap()], [1, 'expired'])
  fetchFromPeer = createPeerFetch(completeFollower)
  await timers.advanceAsync(10_000)
  t.equal(laggingFollower.gap(), null)
})

tap.test('a failed copy is not retried at every read', async (t) => {
  const { timers, log, startFollower } = setUp()
  await log.append(configState.configStream, encodeTestChange(0, 1))
  let appendCount = 0
  const failingLog = { ...log, read: log.read.bind(log), close: log.close.bind(log), append: async () => { appendCount += 1; return errors.fail(logFailure) } }
  startFollower({ log: failingLog, copies: { author: 'x', isCopyWriter: () => true } })
  await timers.advanceAsync(retentionMs / 2 - 1000)
  t.equal(appendCount, 0)
  await timers.advanceAsync(61_000)
  t.equal(appendCount, 3)
})

tap.test('a listener that throws does not stop the others, and none is called after close', async (t) => {
  const { timers, log, startFollower } = setUp()
  const follower = startFollower()
  const seenVersions: number[] = []
  follower.subscribe(() => { throw new Error('listener') })
  follower.subscribe(({ version }) => seenVersions.push(version))
  await log.append(configState.configStream, encodeTestChange(0, 1))
  await timers.advanceAsync(1000)
  await log.append(configState.configStream, encodeTestChange(1, 2))
  log.delayMs = 100
  await timers.advanceAsync(1000)
  follower.close()
  await timers.advanceAsync(5000)
  t.same([seenVersions, follower.current()?.version, timers.getNextDueMs()], [[1], 1, undefined])
})
