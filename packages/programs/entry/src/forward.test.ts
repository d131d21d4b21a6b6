import tap from 'tap'
import * as errors from '@eelgrasswind/errors'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as forwarding from './forward.js'

const program = 'p1' as types.ProgramId
const [first, second, third] = ['engine-0', 'engine-1', 'engine-2'] as [types.HostId, types.HostId, types.HostId]
const patienceMs = 5_000
const gone: errors.Failure = { tag: 'peerUnavailable', verdict: 'notRun', message: 'refused', retryAfterMs: 500 }

function namesHome (home: types.HostId): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message: `${home} is its home`, home, retryAfterMs: 500 }
}

/** A forwarder over hosts that answer by what the function gives for a host and a time, in ms. */
function createWorld (answerOf: (host: types.HostId, at: number) => errors.Result<string>) {
  const timers = timerService.createManualTimers()
  const startedAt = timers.monotonic()
  const asked: types.HostId[] = []
  const forwarder = new forwarding.Forwarder({
    timers,
    rankHomes: () => [first, second, third],
    isKnown: () => true,
    random: () => 0.5,
    async ask<T> (host: types.HostId) {
      asked.push(host)
      return answerOf(host, timers.monotonic() - startedAt) as errors.Result<T>
    }
  })
  async function forward (): Promise<errors.Result<string>> {
    const result = forwarder.forward<string>(program, timers.monotonic() + patienceMs, async (_peer: sidecarClient.PeerClient) => errors.ok(''))
    for (let at = 0; at < 2 * patienceMs; at += 50) await timers.advanceAsync(50)
    return await result
  }
  return { asked, forward }
}

// Guards against "503 notHome beside a healthy home": a host that was away once was passed over for the whole request.
tap.test('a home that came back under another address is asked again once another host names it', async (t) => {
  const { forward } = createWorld((host, at) => {
    if (host !== first) return errors.fail(namesHome(first))
    return at < 1_000 ? errors.fail(gone) : errors.ok('whole')
  })
  t.same(await forward(), errors.ok('whole'))
})

tap.test('a home that stays away is given up, with the time to come back', async (t) => {
  const { forward, asked } = createWorld((host) => errors.fail(host === first ? gone : namesHome(first)))
  t.match(await forward(), { ok: false, failure: { verdict: 'notRun', retryAfterMs: 500 } })
  t.ok(asked.length <= 12, `${asked.length} requests`)
})

tap.test('the next host is asked at once where the home is away', async (t) => {
  const { forward, asked } = createWorld((host) => host === first ? errors.fail(gone) : errors.ok('whole'))
  t.same(await forward(), errors.ok('whole'))
  t.same(asked, [first, second])
})

tap.test('the verdict covers every host that was asked', async (t) => {
  const { forward } = createWorld((host) => errors.fail(host === first ? { ...gone, verdict: 'mayHaveRun' } : namesHome(third)))
  t.match(await forward(), { ok: false, failure: { verdict: 'mayHaveRun' } })
})
