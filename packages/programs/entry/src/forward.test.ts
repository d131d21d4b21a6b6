import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as forwarding from './forward.js'

const program = 'p1' as types.ProgramId
const [first, second, third] = ['engine-0', 'engine-1', 'engine-2'] as [types.HostId, types.HostId, types.HostId]
const timeoutMs = 5_000
const unavailable: errors.Failure = { tag: 'peerUnavailable', verdict: 'notRun', message: 'refused', retryAfterMs: 500 }

function createNotHomeFailure (home: types.HostId): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message: `${home} is its home`, home, retryAfterMs: 500 }
}

/** Creates a forwarder to hosts whose answers are computed by `getAnswer` from the host and the time in milliseconds. */
function createFixture (getAnswer: (host: types.HostId, at: number) => errors.Result<string>) {
  const timers = timerService.createManualTimers()
  const startedAt = timers.monotonic()
  const triedHosts: types.HostId[] = []
  const forwarder = new forwarding.Forwarder({
    timers,
    rankHomes: () => [first, second, third],
    isKnown: () => true,
    random: () => 0.5,
    async callPeer<T> (host: types.HostId) {
      triedHosts.push(host)
      return getAnswer(host, timers.monotonic() - startedAt) as errors.Result<T>
    }
  })
  async function forwardOne (): Promise<errors.Result<string>> {
    return await forwarder.forward<string>(program, timers.monotonic() + timeoutMs, async (_peer: sidecarClient.PeerClient) => errors.ok(''))
  }
  async function forward (): Promise<errors.Result<string>> {
    const result = forwardOne()
    for (let at = 0; at < 2 * timeoutMs; at += 50) await timers.advanceAsync(50)
    return await result
  }
  return { triedHosts, forward, forwardOne, timers }
}

/** Number of calls in flight to one home. */
const callCount = 50

/** Answers each call at its home once the connection, on which all of them were in flight, has failed. */
function createReconnectingFixture (verdict: types.Verdict) {
  let failedCount = 0
  return createFixture((host) => {
    if (host !== first) return errors.fail(createNotHomeFailure(first))
    failedCount += 1
    return failedCount <= callCount ? errors.fail({ ...unavailable, verdict }) : errors.ok('whole')
  })
}

/** Forwards all calls at once; returns the results of those that failed. */
async function forwardAll ({ forwardOne, timers }: ReturnType<typeof createFixture>): Promise<errors.Result<string>[]> {
  const results = Promise.all(Array.from({ length: callCount }, forwardOne))
  for (let at = 0; at < 2 * timeoutMs; at += 50) await timers.advanceAsync(50)
  return (await results).filter(({ ok }) => !ok)
}

// Guards against 503 notHome although the home is healthy: a host that was unreachable once was skipped for the rest of the request.
tap.test('a home that is reachable again at another address is retried once another host names it', async (t) => {
  const { forward } = createFixture((host, at) => {
    if (host !== first) return errors.fail(createNotHomeFailure(first))
    return at < 1_000 ? errors.fail(unavailable) : errors.ok('whole')
  })
  t.same(await forward(), errors.ok('whole'))
})

tap.test('a request whose home stays unreachable fails with a retry-after time', async (t) => {
  const { forward, triedHosts } = createFixture((host) => errors.fail(host === first ? unavailable : createNotHomeFailure(first)))
  t.match(await forward(), { ok: false, failure: { verdict: 'notRun', retryAfterMs: 500 } })
  t.ok(triedHosts.length <= 12, `${triedHosts.length} requests`)
})

tap.test('the next host is tried at once if the home is unreachable', async (t) => {
  const { forward, triedHosts } = createFixture((host) => host === first ? errors.fail(unavailable) : errors.ok('whole'))
  t.same(await forward(), errors.ok('whole'))
  t.same(triedHosts, [first, second])
})

tap.test('the verdict covers every host that was tried', async (t) => {
  const { forward } = createFixture((host) => errors.fail(host === first ? { ...unavailable, verdict: 'mayHaveRun' } : createNotHomeFailure(third)))
  t.match(await forward(), { ok: false, failure: { verdict: 'mayHaveRun' } })
})

// Guards against calls that run and are given up at once: their home was out of reach for a moment, and the retry budget was used up.
tap.test('calls in flight are asked for again when the connection to their home fails', async (t) => {
  t.same(await forwardAll(createReconnectingFixture('mayHaveRun')), [])
})

tap.test('calls that have not run are retried only within the retry budget', async (t) => {
  const failed = await forwardAll(createReconnectingFixture('notRun'))
  t.ok(failed.length > callCount / 2, `${failed.length} of ${callCount}`)
  t.ok(failed.every((result) => !result.ok && result.failure.verdict === 'notRun'))
})
