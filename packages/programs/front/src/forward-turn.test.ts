import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import * as forwardTurn from './forward-turn.js'
import type * as inbound from './inbound.js'
import * as peerProbe from './peer-probe.js'

/** A turn forwarded to an owner that accepts it after `acceptMs` and answers pings after `pingMs`, both at once if not given; `playAnswer` schedules the owner's answer. */
function fixture (ownerAnswers: boolean, playAnswer: (sink: sendHttp.AnswerSink, timers: timerService.TimerService) => void, pingMs = 0, acceptMs = 0) {
  const timers = timerService.createManualTimers()
  const replyEvents: string[] = []
  let isCancelled = false
  let pingCount = 0
  let isOwner = true
  let isProbed = false
  const send: sendHttp.Sender['send'] = ({ continueTimeoutMs }, sink) => {
    if (acceptMs === 0) sink.onConfirmed?.()
    else if (acceptMs <= continueTimeoutMs!) timers.after(acceptMs, () => { if (!isCancelled) sink.onConfirmed?.() })
    else timers.after(continueTimeoutMs!, () => { if (!isCancelled) sink.onFailed({ verdict: 'notRun', cause: 'unconfirmed', detail: '', reused: false }) })
    playAnswer(sink, timers)
    return { cancel: () => { isCancelled = true }, discard: () => {}, pause: () => {}, resume: () => {} }
  }
  const reply = {
    head: (status: number) => { replyEvents.push(`head ${status}`) },
    data: () => true,
    end: () => { replyEvents.push('end') },
    abort: () => { replyEvents.push('abort') },
    refuse: ({ type }: inbound.Refusal) => { replyEvents.push(type) },
    onGone: () => {},
    setWork: () => {},
    onDrain: () => {}
  }
  const req = { attempt: { id: 'r1' }, method: 'POST', path: '/', rawHeaders: [], body: Buffer.alloc(0), deadlineAt: timers.monotonic() + 4_000, reply } as unknown as inbound.InboundRequest
  const ports = {
    peerSender: { send, close: () => {} },
    dialect: { peerHeaders: () => [], answerHeaders: () => [], answerFacts: () => ({ requestId: 'r', signed: true, notRun: false, wrongIncarnation: false }) } as unknown as dialects.Dialect,
    timers,
    decisions: decisionLog.createSilentDecisionLog(),
    peerProbe: new peerProbe.PeerProbe({
      liveness: { isAlive: () => false, hasFallenSilent: () => true },
      ping: async (_address, timeoutMs) => {
        pingCount += 1
        if (pingMs > 0) await timerService.sleep(timers, Math.min(pingMs, timeoutMs))
        return ownerAnswers && pingMs <= timeoutMs
      },
      pingTimeoutMs: 1_100,
      onSuspected: () => {},
      connect: async () => {
        isProbed = true
        return ownerAnswers ? 'accepted' : 'noAnswer'
      },
      timers,
      decisions: decisionLog.createSilentDecisionLog()
    })
  } as unknown as forwardTurn.ForwardPorts
  const outcome = forwardTurn.forwardTurn(ports, req, { address: 'peer:1', isOwner: () => isOwner, refreshOwners: () => {}, answerTimeoutMs: 1_100 })
  return { timers, outcome, replyEvents, isProbed: () => isProbed, pingCount: () => pingCount, isCancelled: () => isCancelled, moveShard: () => { isOwner = false } }
}

tap.test('a turn is refused when its owner is silent and does not answer pings', async (t) => {
  const { timers, outcome, replyEvents, isCancelled } = fixture(false, () => {})
  await timers.advanceAsync(900)
  t.same(await outcome, { type: 'answered' })
  t.same(replyEvents, ['answerLost'])
  t.ok(isCancelled())
})

tap.test('a silent owner that answers pings is waited for until the deadline', async (t) => {
  const { timers, outcome, replyEvents, pingCount } = fixture(true, () => {})
  await timers.advanceAsync(3_900)
  t.same(replyEvents, [])
  t.ok(pingCount() > 0, 'the owner was pinged')
  await timers.advanceAsync(200)
  t.same(await outcome, { type: 'answered' })
  t.same(replyEvents, ['timeout'])
})

tap.test('an owner that keeps sending its answer is not pinged', async (t) => {
  const { timers, outcome, replyEvents, pingCount } = fixture(false, (sink, fakeTimers) => {
    fakeTimers.after(100, () => { sink.onHead({ status: 200, headers: {}, rawHeaders: [] }) })
    for (const at of [300, 600, 900]) fakeTimers.after(at, () => { sink.onData(Buffer.from('x')) })
    fakeTimers.after(1_000, () => { sink.onComplete({ framing: 'chunked', connection: 'open', bodyBytes: 0 }) })
  })
  await timers.advanceAsync(1_200)
  t.same(await outcome, { type: 'answered' })
  t.same([replyEvents, pingCount()], [['head 200', 'end'], 0])
})

tap.test('an answer is aborted when its owner falls silent after the head', async (t) => {
  const { timers, outcome, replyEvents } = fixture(false, (sink, fakeTimers) => {
    fakeTimers.after(100, () => { sink.onHead({ status: 200, headers: {}, rawHeaders: [] }) })
  })
  await timers.advanceAsync(1_500)
  t.same(await outcome, { type: 'answered' })
  t.same(replyEvents, ['head 200', 'abort'])
})

// Guards against answers that were cut because their owner was busy while it waited for the store.
tap.test('an owner that is too busy to answer a ping in time is waited for', async (t) => {
  const { timers, outcome, replyEvents } = fixture(true, (sink, fakeTimers) => {
    fakeTimers.after(100, () => { sink.onHead({ status: 200, headers: {}, rawHeaders: [] }) })
    fakeTimers.after(1_700, () => { sink.onComplete({ framing: 'chunked', connection: 'open', bodyBytes: 0 }) })
  }, 700)
  await timers.advanceAsync(2_000)
  t.same(await outcome, { type: 'answered' })
  t.same(replyEvents, ['head 200', 'end'])
})

// Guards against turns refused again and again by an owner that is alive and too busy to accept them at once.
tap.test('an owner that is alive and accepts a turn late is waited for', async (t) => {
  const { timers, outcome, replyEvents, isProbed } = fixture(true, (sink, fakeTimers) => {
    fakeTimers.after(1_100, () => { sink.onHead({ status: 200, headers: {}, rawHeaders: [] }) })
    fakeTimers.after(1_200, () => { sink.onComplete({ framing: 'chunked', connection: 'open', bodyBytes: 0 }) })
  }, 700, 1_000)
  await timers.advanceAsync(1_300)
  t.same(await outcome, { type: 'answered' })
  t.same([replyEvents, isProbed()], [['head 200', 'end'], true])
})

// Guards against answers that were cut off because their owner, which was alive, was too busy to answer any ping for a lease.
tap.test('an owner that answers no ping for longer than a lease is waited for while its host accepts connections', async (t) => {
  const { timers, outcome, replyEvents, isCancelled } = fixture(true, (sink, fakeTimers) => {
    fakeTimers.after(100, () => { sink.onHead({ status: 200, headers: {}, rawHeaders: [] }) })
    fakeTimers.after(3_000, () => { sink.onComplete({ framing: 'chunked', connection: 'open', bodyBytes: 0 }) })
  }, 10_000)
  await timers.advanceAsync(3_100)
  t.same(await outcome, { type: 'answered' })
  t.same(replyEvents, ['head 200', 'end'])
  t.notOk(isCancelled())
})

tap.test('a turn has not run at an owner that is alive and has not accepted it within its lease', async (t) => {
  const { timers, outcome, replyEvents } = fixture(true, () => {}, 0, 5_000)
  await timers.advanceAsync(1_200)
  t.same(await outcome, { type: 'late' })
  t.same(replyEvents, [])
})

tap.test('an owner that has not accepted a turn is given up once the shard has another owner', async (t) => {
  const { timers, outcome, isCancelled, moveShard } = fixture(true, () => {}, 0, 5_000)
  timers.after(400, moveShard)
  await timers.advanceAsync(450)
  t.same(await outcome, { type: 'moved' })
  t.ok(isCancelled())
})

tap.test('an owner that has not accepted a turn is given up once its host proves unreachable', async (t) => {
  const { timers, outcome, isCancelled } = fixture(false, () => {}, 0, 5_000)
  await timers.advanceAsync(700)
  t.match(await outcome, { type: 'unreachable', ended: false })
  t.ok(isCancelled())
})

// Guards against an owner that counts as silent because it, or one before it at its address, had closed an idle connection.
tap.test('a turn whose idle connection was closed has not run, and its owner is not given up', async (t) => {
  const { timers, outcome, replyEvents } = fixture(true, (sink, fakeTimers) => {
    fakeTimers.after(1, () => { sink.onFailed({ verdict: 'notRun', cause: 'reset', detail: '', reused: true }) })
  }, 0, 500)
  await timers.advanceAsync(10)
  t.same(await outcome, { type: 'connectionLost' })
  t.same(replyEvents, [])
})
