import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'
import * as dispatch from './dispatch.js'
import type * as inbound from './inbound.js'
import * as retryBudget from './retry-budget.js'
import type * as upstreamCrashes from './upstream-crashes.js'
import * as upstreamHealth from './upstream-health.js'

/** How an upstream handles a request. */
type Behaviour = 'unresponsive' | 'stalls' | 'truncates' | 'answers' | 'answersLate' | 'full' | 'refusesConnections' | 'resets' | 'wrongRequest' | 'errors'

const id = 'request-1' as turnLedger.TurnId
const service = 'orders' as types.ServiceId

function createRoute (repeatability: routeRequest.Repeatability): routeRequest.Route {
  return { name: 'r', host: 'h', pathPrefix: '/', repeatability, targets: [{ service, weight: 1 }], timeoutMs: 2_000, objectiveMs: 400, rank: 2, maxAttempts: 3, stream: undefined, retain: undefined, isPublic: false }
}

/** Time after which an upstream answers late, in ms: above the silence timeout. */
const lateAnswerMs = 1_200

const facts: Record<'answers' | 'full' | 'wrongRequest' | 'errors', dialects.AnswerFacts> = {
  answers: { requestId: id, signed: true, notRun: false, wrongIncarnation: false },
  errors: { requestId: id, signed: true, notRun: false, wrongIncarnation: false },
  full: { requestId: id, signed: false, notRun: true, wrongIncarnation: false },
  wrongRequest: { requestId: 'another', signed: true, notRun: false, wrongIncarnation: false }
}

function fixture (behaviours: Readonly<Record<string, Behaviour>>, repeatability: routeRequest.Repeatability, stream?: routeRequest.StreamRules, isBuffered = false) {
  const timers = timerService.createManualTimers()
  const upstreams = new trackUpstreams.UpstreamList()
  for (const name of Object.keys(behaviours)) {
    upstreams.put({ id: name as types.UpstreamId, service, address: name, name: 'n', slots: 6, leaving: false })
  }
  const sentTo: string[] = []
  const cancelled: string[] = []
  const marks: string[] = []
  let nextFacts: dialects.AnswerFacts = facts.answers
  const send: sendHttp.Sender['send'] = (request, sink) => {
    sentTo.push(request.address)
    const behaviour = behaviours[request.address]!
    timers.after(behaviour === 'answersLate' ? lateAnswerMs : 10, () => {
      switch (behaviour) {
        case 'unresponsive': return
        case 'refusesConnections':
          sink.onFailed({ verdict: 'notRun', cause: 'refused', reused: false, detail: '' })
          return
        case 'resets':
          sink.onFailed({ verdict: 'mayHaveRun', cause: 'reset', reused: true, detail: '' })
          return
        case 'stalls':
        case 'truncates':
          nextFacts = facts.answers
          sink.onHead({ status: 200, headers: {}, rawHeaders: [] })
          sink.onData(Buffer.from('id: 1'))
          if (behaviour === 'truncates') sink.onFailed({ verdict: 'mayHaveRun', cause: 'truncated', reused: false, detail: '' })
          return
        default:
          nextFacts = facts[behaviour === 'answersLate' ? 'answers' : behaviour]
          sink.onHead({ status: behaviour === 'errors' ? 500 : 200, headers: {}, rawHeaders: [] })
          if (behaviour === 'answers' || behaviour === 'answersLate' || behaviour === 'errors') sink.onComplete({ framing: 'length', connection: 'open', bodyBytes: 0 })
      }
    })
    return { cancel: () => { cancelled.push(request.address) }, discard: () => { cancelled.push(request.address) }, pause: () => {}, resume: () => {} }
  }
  const req = { attempt: { id, deadlineMs: 2_000, turn: undefined }, method: 'GET', path: '/', rawHeaders: [], body: Buffer.alloc(0), route: { ...createRoute(repeatability), stream }, service, tokensPerEvent: 1, deadlineAt: timers.monotonic() + 2_000 } as unknown as inbound.InboundRequest
  /** Upstreams that broke under the request; their examination lasts until `finishExamination`. */
  const broken: string[] = []
  const givenUp: string[] = []
  const failedAnswers: string[] = []
  const ended: string[] = []
  let answeredCount = 0
  let isExamining = false
  let isLimited = false
  let isSuspected = false
  const waiting: (() => void)[] = []
  const crashes: upstreamCrashes.CrashLimit = {
    isLoaded: true,
    isSuspected: () => isSuspected,
    noteBroken: (_req, { upstream: { listed } }) => { broken.push(listed.id) },
    noteGivenUp: (_req, { upstream: { listed } }) => { givenUp.push(listed.id) },
    noteFailedAnswer: (_req, { upstream: { listed } }) => { failedAnswers.push(listed.id) },
    noteEnded: ({ listed }) => { ended.push(listed.id) },
    noteAnswered: () => { answeredCount += 1 },
    permitSend: (_req, done) => {
      const decide = (): void => { done(isLimited ? { fingerprint: 'f' as types.RequestFingerprint, ends: ['x', 'y', 'z'], retryAfterMs: 20_000 } : undefined) }
      if (isExamining) waiting.push(decide)
      else decide()
    },
    release: (_req, done = () => {}) => {
      if (isExamining) waiting.push(done)
      else done()
    }
  }
  const startExamination = (): void => { isExamining = true }
  const finishExamination = (limited: boolean): void => {
    isExamining = false
    isLimited = limited
    for (const done of waiting.splice(0)) done()
  }
  let result: string | undefined
  let resumedCount = 0
  const run = (preferred: string, defects: (string | undefined)[] = []): dispatch.Dispatch => {
    const started = new dispatch.Dispatch({
      upstreams,
      sender: { send, close: () => {} },
      dialect: { upstreamHeaders: () => [], answerFacts: () => nextFacts } as unknown as dialects.Dialect,
      timers,
      decisions: decisionLog.createSilentDecisionLog(),
      health: new upstreamHealth.UpstreamHealth({ upstreams, timers, decisions: decisionLog.createSilentDecisionLog(), countProcesses: () => 1, publishMark: (upstream, mark) => { marks.push(`${upstream} ${mark}`) } }),
      crashes,
      retryBudget: new retryBudget.RetryBudget(),
      peerLoads: new trackUpstreams.PeerLoads(),
      listAgeMs: () => 0,
      maxAnswerBytes: 1_000
    }, req, { body: req.body, isBuffered, affinity: { holder: preferred as types.UpstreamId, sharedPrefix: undefined } }, {
      head: () => {},
      data: () => undefined,
      resumed: () => { resumedCount += 1 },
      findDefect: () => defects.shift(),
      end: () => { result = 'whole' },
      fail: (failure) => { result = dispatch.toRefusal(failure).type }
    })
    started.start()
    return started
  }
  return { timers, upstreams, sentTo, cancelled, marks, broken, givenUp, failedAnswers, ended, getAnsweredCount: () => answeredCount, startExamination, finishExamination, suspect: () => { isSuspected = true }, run, getResult: () => result, getResumedCount: () => resumedCount }
}

tap.test('an idempotent request fails over from an unresponsive upstream', (t) => {
  const { timers, sentTo, cancelled, run, getResult, upstreams } = fixture({ a: 'unresponsive', b: 'answers' }, 'idempotent')
  run('a')
  timers.advance(1_000)
  t.same(sentTo, ['a', 'b'])
  t.same(cancelled, ['a'])
  t.equal(getResult(), 'whole')
  t.ok(upstreams.get('a' as types.UpstreamId)!.avoidUntil > timers.monotonic(), 'new requests avoid the upstream')
  t.end()
})

tap.test('an at-most-once request keeps waiting at an unresponsive upstream, and new requests avoid it', (t) => {
  const { timers, sentTo, run, getResult, upstreams } = fixture({ a: 'unresponsive', b: 'answers' }, 'atMostOnce')
  const dispatched = run('a')
  timers.advance(1_000)
  t.same(sentTo, ['a'])
  t.equal(getResult(), undefined)
  t.ok(dispatched.mayHaveRun, 'the request may have run')
  t.ok(upstreams.get('a' as types.UpstreamId)!.avoidUntil > timers.monotonic())
  t.end()
})

tap.test('an at-most-once request is retried only if it did not run', (t) => {
  for (const [first, expected, answer] of [['full', 2, 'whole'], ['refusesConnections', 2, 'whole'], ['resets', 1, 'answerLost'], ['wrongRequest', 1, 'answerLost']] as const) {
    const { timers, sentTo, run, getResult } = fixture({ a: first, b: 'answers' }, 'atMostOnce')
    run('a')
    timers.advance(400)
    t.equal(sentTo.length, expected, first)
    t.equal(getResult(), answer, first)
  }
  t.end()
})

tap.test('the number of attempts is limited by the route', (t) => {
  const { timers, sentTo, run, getResult } = fixture({ a: 'full', b: 'full', c: 'full', d: 'full', e: 'full' }, 'atMostOnce')
  run('a')
  timers.advance(400)
  t.equal(sentTo.length, 3)
  t.equal(getResult(), 'upstreamsFull')
  t.end()
})

tap.test('error responses and rejected answers count against an upstream, refusals at capacity do not', (t) => {
  for (const [behaviour, expected] of [['errors', ['a failed']], ['wrongRequest', ['a failed']], ['resets', ['a failed']], ['full', []], ['answers', []]] as const) {
    const { timers, marks, run } = fixture({ a: behaviour, b: 'answers' }, 'atMostOnce')
    run('a')
    timers.advance(400)
    t.same(marks, expected, behaviour)
  }
  t.end()
})

tap.test('a resumable stream that is truncated or stalls is resumed at another upstream', (t) => {
  for (const behaviour of ['stalls', 'truncates'] as const) {
    const { timers, sentTo, run, getResult, getResumedCount } = fixture({ a: behaviour, b: 'answers' }, 'idempotent', { gapMs: 200, resumable: true })
    run('a')
    timers.advance(1_200)
    t.same([sentTo, getResumedCount(), getResult()], [['a', 'b'], 1, 'whole'], behaviour)
  }
  t.end()
})

// Guards against a stream that ended before its first event and was taken for whole.
tap.test('an answer whose content shows that it is not whole is treated as truncated', (t) => {
  const resumed = fixture({ a: 'answers', b: 'answers' }, 'idempotent', { gapMs: 200, resumable: true })
  resumed.run('a', ['no event'])
  resumed.timers.advance(400)
  t.same([resumed.sentTo, resumed.getResumedCount(), resumed.getResult()], [['a', 'b'], 1, 'whole'])
  const lost = fixture({ a: 'answers', b: 'answers' }, 'atMostOnce', { gapMs: 200, resumable: false })
  lost.run('a', ['no event'])
  lost.timers.advance(400)
  t.same([lost.sentTo, lost.marks, lost.getResult()], [['a'], ['a failed'], 'answerLost'])
  t.end()
})

// Guards against an idempotent call that failed although nothing of its broken answer had been passed on.
tap.test('a buffered answer that breaks off or stalls is requested again if the request is idempotent', (t) => {
  for (const behaviour of ['stalls', 'truncates'] as const) {
    const repeated = fixture({ a: behaviour, b: 'answers' }, 'idempotent', undefined, true)
    repeated.run('a')
    repeated.timers.advance(1_900)
    t.same([repeated.sentTo, repeated.getResult()], [['a', 'b'], 'whole'], behaviour)
    const atMostOnce = fixture({ a: behaviour, b: 'answers' }, 'atMostOnce', undefined, true)
    atMostOnce.run('a')
    atMostOnce.timers.advance(1_900)
    t.same(atMostOnce.sentTo, ['a'], behaviour)
  }
  t.end()
})

tap.test('a partial answer that is not resumable does not fail over', (t) => {
  for (const stream of [undefined, { gapMs: 200, resumable: false }]) {
    for (const [behaviour, end] of [['stalls', undefined], ['truncates', 'answerLost']] as const) {
      const { timers, sentTo, run, getResult } = fixture({ a: behaviour, b: 'answers' }, stream === undefined ? 'idempotent' : 'atMostOnce', stream)
      run('a')
      timers.advance(1_900)
      t.same([sentTo, getResult()], [['a'], end], behaviour)
    }
  }
  t.end()
})

tap.test('a stream waits while its upstream answers other requests, and fails over once the upstream answers none', (t) => {
  const { timers, upstreams, sentTo, run, getResult } = fixture({ a: 'unresponsive', b: 'answers' }, 'idempotent', { gapMs: 200, resumable: true })
  run('a')
  timers.advance(300)
  trackUpstreams.noteActivity(upstreams.get('a' as types.UpstreamId)!, timers.monotonic())
  timers.advance(400)
  t.same(sentTo, ['a'], 'the stream keeps its place in the queue')
  timers.advance(700)
  t.same([sentTo, getResult()], [['a', 'b'], 'whole'])
  t.end()
})

tap.test('the last permitted attempt waits for its answer', (t) => {
  const { timers, sentTo, run, getResult } = fixture({ a: 'unresponsive', b: 'unresponsive', c: 'unresponsive', d: 'unresponsive' }, 'idempotent')
  run('a')
  timers.advance(1_950)
  t.equal(sentTo.length, 3)
  t.equal(getResult(), undefined)
  t.end()
})

tap.test('a request under which too many upstreams have ended is not sent', (t) => {
  const { timers, sentTo, finishExamination, run, getResult } = fixture({ a: 'answers' }, 'idempotent')
  finishExamination(true)
  run('a')
  timers.advance(400)
  t.same([sentTo, getResult()], [[], 'crashLimit'])
  t.end()
})

// Guards against a further send that did not wait to learn how many upstreams had ended elsewhere.
tap.test('a further attempt waits until it is known whether the upstream has ended', (t) => {
  for (const [isLimited, sent, end] of [[false, ['a', 'b'], 'whole'], [true, ['a'], 'answerLost']] as const) {
    const { timers, sentTo, broken, startExamination, finishExamination, run, getResult } = fixture({ a: 'resets', b: 'answers' }, 'idempotent')
    run('a')
    startExamination()
    timers.advance(50)
    t.same([sentTo, broken, getResult()], [['a'], ['a'], undefined])
    finishExamination(isLimited)
    timers.advance(50)
    t.same([sentTo, getResult()], [sent, end])
  }
  t.end()
})

// Guards against a client that sent its request again before other processes knew that an upstream had ended under it.
tap.test('a failure is told once it is known whether the upstream has ended', (t) => {
  for (const isCancelled of [false, true]) {
    const { timers, startExamination, finishExamination, run, getResult } = fixture({ a: 'resets', b: 'answers' }, 'atMostOnce')
    const started = run('a')
    startExamination()
    timers.advance(50)
    t.equal(getResult(), undefined)
    if (isCancelled) started.cancel('clientGone')
    finishExamination(false)
    t.equal(getResult(), isCancelled ? undefined : 'answerLost')
  }
  t.end()
})

tap.test('an upstream that is given up as silent is examined, also if the request is cancelled', (t) => {
  const failedOver = fixture({ a: 'unresponsive', b: 'answers' }, 'idempotent')
  failedOver.run('a')
  failedOver.timers.advance(1_000)
  t.same(failedOver.broken, ['a'])
  const cancelled = fixture({ a: 'unresponsive', b: 'answers' }, 'atMostOnce')
  const started = cancelled.run('a')
  cancelled.timers.advance(1_000)
  t.same(cancelled.broken, [])
  started.cancel('clientGone')
  t.same(cancelled.broken, ['a'])
  t.end()
})

// Guards against an end that was not counted: the request was given up at the same moment.
tap.test('an upstream is examined if the request is cancelled because of a fault, or is suspected', (t) => {
  for (const [why, isSuspected, examined] of [['fault', false, ['a']], ['clientGone', true, ['a']], ['clientGone', false, []]] as const) {
    const { timers, broken, suspect, run } = fixture({ a: 'resets' }, 'atMostOnce')
    if (isSuspected) suspect()
    const started = run('a')
    timers.advance(5)
    started.cancel(why)
    t.same(broken, examined)
    started.cancel(why)
    t.same(broken, examined, 'once')
  }
  t.end()
})

tap.test('a request that never reached an upstream, or that one answered, is not examined', (t) => {
  for (const behaviour of ['refusesConnections', 'full', 'answers', 'errors'] as const) {
    const { timers, broken, run } = fixture({ a: behaviour, b: 'answers' }, 'idempotent')
    run('a')
    timers.advance(400)
    t.same(broken, [], behaviour)
  }
  t.end()
})

// Guards against an end that was not counted: its upstream ended after the answer was given up.
tap.test('a send whose answer is given up is watched; at the deadline its upstream is examined unless it has sent anything since', (t) => {
  for (const [why, isQuiet, examined, watched] of [['clientGone', true, [], ['a']], ['deadline', true, ['a'], []], ['deadline', false, [], ['a']]] as const) {
    const { timers, upstreams, broken, givenUp, run } = fixture({ a: 'unresponsive' }, 'atMostOnce')
    const started = run('a')
    timers.advance(5)
    if (!isQuiet) trackUpstreams.noteActivity(upstreams.get('a' as types.UpstreamId)!, timers.monotonic())
    started.cancel(why)
    t.same([broken, givenUp], [examined, watched], why)
  }
  t.end()
})

// Guards against an end that was not counted: its upstream answered with a failure right before.
tap.test('an upstream that answers with a failure may end because of the request; only a success shows that it goes on', (t) => {
  for (const behaviour of ['wrongRequest', 'errors'] as const) {
    const { timers, failedAnswers, getAnsweredCount, run } = fixture({ a: behaviour }, 'atMostOnce')
    run('a')
    timers.advance(20)
    t.same([failedAnswers, getAnsweredCount()], [['a'], 0], behaviour)
  }
  const { timers, ended, getAnsweredCount, run } = fixture({ a: 'refusesConnections', b: 'answers' }, 'atMostOnce')
  run('a')
  timers.advance(30)
  t.same([ended, getAnsweredCount()], [['a'], 1], 'a refused connection shows that an upstream has ended')
  t.end()
})

// Guards against a read that is given up at a slow upstream, and refused, although no other upstream could take it.
tap.test('an idempotent request keeps waiting at a silent upstream while no other upstream can take it', (t) => {
  const { timers, sentTo, cancelled, run, getResult, upstreams } = fixture({ a: 'answersLate' }, 'idempotent')
  run('a')
  timers.advance(1_000)
  t.same(sentTo, ['a'])
  t.same(cancelled, [])
  t.equal(getResult(), undefined)
  t.ok(upstreams.get('a' as types.UpstreamId)!.avoidUntil > timers.monotonic(), 'new requests avoid the upstream')
  timers.advance(500)
  t.equal(getResult(), 'whole')
  t.end()
})

// Guards against a request that stays at a silent upstream although one that can take it is back.
tap.test('an idempotent request that waits at a silent upstream fails over once another upstream can take it', (t) => {
  const { timers, sentTo, cancelled, run, getResult, upstreams } = fixture({ a: 'unresponsive', b: 'answers' }, 'idempotent')
  upstreams.get('b' as types.UpstreamId)!.blockedUntil = timers.monotonic() + 800
  run('a')
  timers.advance(790)
  t.same(sentTo, ['a'])
  timers.advance(1_000)
  t.same(sentTo, ['a', 'b'])
  t.same(cancelled, ['a'])
  t.equal(getResult(), 'whole')
  t.end()
})
