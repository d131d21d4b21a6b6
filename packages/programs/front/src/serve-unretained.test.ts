import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as peerCalls from './peer-calls.js'
import * as serveUnretained from './serve-unretained.js'

const call: peerCalls.ReserveCall = {
  type: 'reserve',
  request: { turn: 't1' as turnLedger.TurnId, program: 'p1' as types.ProgramId, account: undefined, previous: undefined, maxTokens: 40, budgetTokens: 120, keeps: false, retainMs: 0 },
  service: 'engines' as types.ServiceId,
  promptTokens: 100,
  promptParts: []
}

const answerTimeoutMs = 1_100

/** Makes a reservation at a peer that doesn't answer, refuses the connection, or is alive and answers after `lateMs`; collects the calls that it gets. */
async function collectPeerCalls (answer: 'nothing' | 'refused' | 'late', lateMs = 0) {
  const timers = timerService.createManualTimers()
  const calls: peerCalls.PeerCall[] = []
  const send: sendHttp.Sender['send'] = (request, sink) => {
    calls.push(peerCalls.decodeCall(Buffer.from(request.body)))
    if (answer === 'late' && lateMs < answerTimeoutMs) {
      timers.after(lateMs, () => {
        sink.onHead({ status: 200, headers: {}, rawHeaders: [] })
        sink.onData(peerCalls.encodeAnswer({ type: 'reserved' }))
        sink.onComplete({ framing: 'length', connection: 'open', bodyBytes: 1 })
      })
    }
    if (answer === 'refused') timers.after(1, () => { sink.onFailed({ verdict: 'notRun', cause: 'refused', reused: false, detail: '' }) })
    return { cancel () {}, discard () {}, pause () {}, resume () {} }
  }
  const ports = {
    peerSender: { send, close () {} },
    timers,
    decisions: decisionLog.createSilentDecisionLog(),
    peerProbe: { isReachable: async () => answer === 'late' }
  } as unknown as serveUnretained.UnretainedPorts
  const outcome = serveUnretained.reserveTokens(ports, { type: 'peer', owner: { address: 'peer:1', isOwner: () => true, refreshOwners: () => {}, answerTimeoutMs } }, call)
  await timers.advanceAsync(2_000)
  return { outcome: await outcome, calls }
}

tap.test('an unanswered reservation is released', async (t) => {
  const { outcome, calls } = await collectPeerCalls('nothing')
  t.same(outcome, { type: 'none', ended: false })
  t.match(calls, [{ type: 'reserve' }, { type: 'release', tokens: 0, request: { turn: 't1' } }])
})

tap.test('a peer whose process has exited gets no release call', async (t) => {
  const { outcome, calls } = await collectPeerCalls('refused')
  t.same(outcome, { type: 'none', ended: true })
  t.match(calls.map(({ type }) => type), ['reserve'])
})

// Guards against turns refused again and again by an owner that is alive and too busy to reserve their tokens at once.
tap.test('an owner that is alive and answers a reservation late is waited for', async (t) => {
  const { outcome, calls } = await collectPeerCalls('late', 900)
  t.same(outcome, { type: 'answer', answer: { type: 'reserved' } })
  t.equal(calls.length, 1)
})

tap.test('a reservation that an owner has not answered within its lease is released', async (t) => {
  const { outcome, calls } = await collectPeerCalls('late', 5_000)
  t.same(outcome, { type: 'late' })
  t.match(calls.map(({ type }) => type), ['reserve', 'release'])
})

// Guards against a live owner that counts as silent, so that turns of all its programs are refused, as timers fire up to 1 ms early.
tap.test('a reservation that an owner has not answered within its lease is late on the clock of the process, too', async (t) => {
  const timers = timerService.createRealTimers()
  const ports = {
    peerSender: { send: () => ({ cancel () {}, discard () {}, pause () {}, resume () {} }), close () {} },
    timers,
    decisions: decisionLog.createSilentDecisionLog(),
    peerProbe: { isReachable: async () => true }
  } as unknown as serveUnretained.UnretainedPorts
  const outcomes: string[] = []
  for (let round = 0; round < 40; round += 1) {
    await timerService.sleep(timers, 0.3 * round)
    outcomes.push((await serveUnretained.reserveTokens(ports, { type: 'peer', owner: { address: 'peer:1', isOwner: () => true, refreshOwners: () => {}, answerTimeoutMs: 60 } }, call)).type)
  }
  t.same(outcomes.filter((type) => type !== 'late'), [])
})
