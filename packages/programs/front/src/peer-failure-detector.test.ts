import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as timerService from '@eelgrasswind/timer-service'
import * as peerFailureDetector from './peer-failure-detector.js'

function fixture (peerCount: number) {
  const timers = timerService.createManualTimers()
  const members = new Set(Array.from({ length: peerCount }, (_, index) => `peer-${index}`))
  const silent = new Set<string>()
  /** Peers that answer no ping in time, but whose hosts accept connections. */
  const busy = new Set<string>()
  const isolationChanges: boolean[] = []
  const reported: string[] = []
  const pinged: string[] = []
  /** Peers have reported before, and not lately, unless a test says otherwise. */
  const liveness = { isAlive: () => false, hasFallenSilent: () => true, hearsEnough: () => false }
  const detector = new peerFailureDetector.PeerFailureDetector({
    peers: () => [...members],
    liveness,
    ping: async (address) => {
      pinged.push(address)
      const isLate = silent.has(address) || busy.has(address)
      await timerService.sleep(timers, isLate ? 200 : 1)
      return !isLate
    },
    connect: async (address) => {
      await timerService.sleep(timers, silent.has(address) ? 200 : 1)
      return silent.has(address) ? 'noAnswer' : 'accepted'
    },
    onPeerSilent: (address) => { reported.push(address) },
    onIsolationChanged: (isIsolated) => { isolationChanges.push(isIsolated) },
    timers,
    decisions: decisionLog.createSilentDecisionLog()
  })
  return { timers, members, silent, busy, isolationChanges, reported, pinged, liveness, detector }
}

tap.test('a process that reaches no member for longer than a lease is isolated', async (t) => {
  const { timers, members, silent, isolationChanges, detector } = fixture(5)
  for (const peer of members) silent.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(1_400)
  t.same(isolationChanges, [])
  await timers.advanceAsync(1_000)
  t.same(isolationChanges, [true])
  silent.clear()
  await timers.advanceAsync(1_500)
  t.same(isolationChanges, [true, false])
  t.equal(timers.getNextDueMs(), undefined, 'no more pings after the recovery')
})

tap.test('peers that have ended do not isolate the others', async (t) => {
  const { timers, members, silent, isolationChanges, detector } = fixture(5)
  for (const peer of ['peer-0', 'peer-1', 'peer-2', 'peer-3']) silent.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(1_200)
  for (const peer of silent) members.delete(peer)
  await timers.advanceAsync(5_000)
  t.same(isolationChanges, [])
})

tap.test('a suspected peer is reported once it misses a ping that the others answer', async (t) => {
  const { timers, silent, reported, detector } = fixture(5)
  silent.add('peer-0')
  detector.suspect('peer-0')
  detector.suspect('peer-1')
  await timers.advanceAsync(250)
  t.same(reported, ['peer-0'])
  detector.suspect('peer-0')
  await timers.advanceAsync(2_000)
  t.same(reported, ['peer-0'], 'not reported again within the minimum interval')
  await timers.advanceAsync(1_000)
  detector.suspect('peer-0')
  await timers.advanceAsync(600)
  t.same(reported, ['peer-0', 'peer-0'])
})

tap.test('a process that reaches few peers reports none of them', async (t) => {
  const { timers, members, silent, reported, detector } = fixture(5)
  for (const peer of members) if (peer !== 'peer-4') silent.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(2_000)
  t.same(reported, [])
})

tap.test('a peer that another process has reported is not reported again', async (t) => {
  const { timers, silent, reported, detector } = fixture(5)
  silent.add('peer-0')
  detector.noteReportedSilent('peer-0')
  detector.suspect('peer-0')
  await timers.advanceAsync(1_000)
  t.same(reported, [])
})

tap.test('one isolated peer does not isolate the others', async (t) => {
  const { timers, silent, isolationChanges, detector } = fixture(5)
  silent.add('peer-0')
  detector.suspect('peer-0')
  await timers.advanceAsync(5_000)
  t.same(isolationChanges, [])
})

// Guards against hosts that were evicted because they were busy: moving their shards made the others busy, too.
tap.test('a busy peer, whose host accepts connections, is not reported', async (t) => {
  const { timers, busy, reported, detector } = fixture(5)
  busy.add('peer-0')
  detector.suspect('peer-0')
  await timers.advanceAsync(5_000)
  t.same(reported, [])
})

tap.test('a process whose peers are all busy is not isolated', async (t) => {
  const { timers, members, busy, isolationChanges, detector } = fixture(5)
  for (const peer of members) busy.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(5_000)
  t.same(isolationChanges, [])
})

// Guards against a busy host that gets more work from each process that suspects it.
tap.test('no peer is pinged while the hosts of the suspects accept connections', async (t) => {
  const { timers, busy, pinged, detector } = fixture(5)
  busy.add('peer-0')
  detector.suspect('peer-0')
  detector.suspect('peer-1')
  await timers.advanceAsync(5_000)
  t.same(pinged, [])
})

// Guards against a dead peer that keeps its shards because it was suspected between two rounds.
tap.test('a peer that is suspected after a round is examined in the next one', async (t) => {
  const { timers, silent, reported, detector } = fixture(5)
  silent.add('peer-1')
  detector.suspect('peer-0')
  await timers.advanceAsync(100)
  detector.suspect('peer-1')
  await timers.advanceAsync(1_000)
  t.same(reported, ['peer-1'])
})

// Guards against a process that reaches too few members and goes on owning shards, as one that it does reach is suspected now and then.
tap.test('a process that reaches one member only is isolated although that one proves to be alive when it is suspected', async (t) => {
  const { timers, members, silent, isolationChanges, detector } = fixture(5)
  for (const peer of members) if (peer !== 'peer-4') silent.add(peer)
  detector.suspect('peer-0')
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 1_000) {
    await timers.advanceAsync(1_000)
    detector.suspect('peer-4')
  }
  t.same(isolationChanges, [true])
})

// Guards against live hosts that are evicted because their accept queues are full, and against probes that fill them further.
tap.test('a peer that reports is neither pinged nor reported, though its host takes no connection, and the others are pinged two at a time', async (t) => {
  const { timers, silent, reported, pinged, liveness, detector } = fixture(5)
  Object.assign(liveness, { isAlive: () => true, hasFallenSilent: () => false, hearsEnough: () => true })
  silent.add('peer-0')
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 500) {
    detector.suspect('peer-0')
    await timers.advanceAsync(500)
  }
  t.same(reported, [])
  t.same(pinged.slice(0, 4), ['peer-1', 'peer-2', 'peer-3', 'peer-4'])
  t.notOk(pinged.includes('peer-0'))
})

// Guards against a process that keeps its shards behind a network partition of one direction: it hears its peers, and reaches none of them.
tap.test('a process that hears its peers and reaches none is isolated', async (t) => {
  const { timers, members, silent, isolationChanges, liveness, detector } = fixture(5)
  Object.assign(liveness, { isAlive: () => true, hasFallenSilent: () => false, hearsEnough: () => true })
  for (const peer of members) silent.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(5_000)
  t.same(isolationChanges, [true])
})

tap.test('a peer that was never heard is left to its lease', async (t) => {
  const { timers, silent, reported, liveness, detector } = fixture(5)
  liveness.hasFallenSilent = () => false
  silent.add('peer-0')
  detector.suspect('peer-0')
  await timers.advanceAsync(5_000)
  t.same(reported, [])
})

// Guards against a process that goes on owning shards behind a network partition, as it has heard its peers until just now.
tap.test('a process that hears its peers no more is isolated, though each has reported lately', async (t) => {
  const { timers, members, silent, isolationChanges, liveness, detector } = fixture(5)
  Object.assign(liveness, { isAlive: () => true, hasFallenSilent: () => false })
  for (const peer of members) silent.add(peer)
  detector.suspect('peer-0')
  await timers.advanceAsync(2_400)
  t.same(isolationChanges, [true])
  liveness.hearsEnough = () => true
  silent.clear()
  await timers.advanceAsync(1_500)
  t.same(isolationChanges, [true, false])
})
