/** A call runner over a journal in memory and upstreams that answer as told, for the tests of this package. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as logger from '@eelgrasswind/logger'
import * as metrics from '@eelgrasswind/metrics'
import * as placeCall from '@eelgrasswind/place-call'
import * as timerService from '@eelgrasswind/timer-service'
import * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import * as callRunner from './call-runner.js'
import * as homeMetrics from './home-metrics.js'
import * as learnings from './learning.js'
import type * as ports from './ports.js'
import * as programHome from './program-home.js'
import type * as runningCalls from './running-call.js'
import * as testJournal from './test-journal.js'

export type DispatchResult = errors.Result<types.DispatchAnswer>

const engineHost = 'engine-a' as types.HostId
const engineAddress = 'http://127.0.0.1:1'
const random = 0.5
const context: types.RequestContext = { traceparent: '' }
/** Wall time at which the program began, in ms. */
const startAt = 0

export const answer: types.DispatchAnswer = {
  outcome: { type: 'message', message: { role: 'assistant', content: 'a' }, finishReason: 'stop' },
  tokens: { prompt: 10, cached: 0, generated: 2 },
  load: null,
  ranMs: 1
}

/** A runner and what its upstreams do. */
export interface RunnerWorld {
  readonly timers: timerService.ManualTimers
  readonly journal: testJournal.TestJournal
  /** Answers of the upstreams, in turn. */
  readonly answers: DispatchResult[]
  readonly dispatched: types.Dispatch[]
  readonly ask: (call: types.Call) => Promise<runningCalls.CallResult>
  /** The same through the home of the program. */
  readonly askHome: (call: types.Call) => Promise<runningCalls.CallResult>
}

export async function createWorld (): Promise<RunnerWorld> {
  const timers = timerService.createManualTimers(startAt)
  const journal = new testJournal.TestJournal('p1' as types.ProgramId)
  const answers: DispatchResult[] = []
  const dispatched: types.Dispatch[] = []
  const dispatchPort: ports.DispatchPort = {
    async dispatch (_host, dispatch) {
      dispatched.push(dispatch)
      return answers.shift() ?? errors.ok(answer)
    },
    seal: async () => errors.ok({ type: 'sealed' }),
    hold: async () => errors.ok(undefined),
    drop: async () => errors.ok(undefined)
  }
  const silent = logger.createSilentLogger()
  const deps = {
    self: testJournal.home,
    journal: journal.journal,
    timers,
    logger: silent,
    config: config(),
    hosts: hosts(),
    upstreams: upstreams(),
    dispatchPort,
    tracer: await tracing.createTracing({ serviceName: 'test', exporterUrl: null }),
    placeRule: placeCall.defaultPlaceRule,
    random: () => random,
    holdRule: () => ({ type: 'never' as const }),
    cacheUsed: () => 0
  }
  const off = metrics.createMetrics('off')
  const runner = new callRunner.CallRunner({ ...deps, learning: new learnings.Learning(deps), metrics: new homeMetrics.HomeMetrics(off, timers.now) })
  const home = new programHome.ProgramHome({ ...deps, metrics: off, admissionRule: () => ({ type: 'none' }), getLocalSlots: () => ({ slots: 4, waiting: 0 }) })
  const sink: types.CallSink = { onPlaced: () => {}, onDelta: () => {} }
  return {
    timers,
    journal,
    answers,
    dispatched,
    ask: (call) => runner.call(journal.program, call, context, sink),
    askHome: (call) => home.call(call, context, sink)
  }
}

/** A call of the program, the first one where nothing else is said. */
export function callOf (type: 'model' | 'service', idempotent: boolean, seq = 1): types.Call {
  const target: types.CallTarget = type === 'model'
    ? { type, model: 'm' as types.ModelId, messages: [], maxTokens: 20, options: {} }
    : { type, service: 'kit' as types.ServiceId, path: '/print', body: null }
  return { program: 'p1' as types.ProgramId, client: testJournal.client, key: `k${seq}` as types.RequestKey, branch: testJournal.mainBranch, seq, idempotent, timeoutMs: 20_000, target }
}

function hosts (): ports.HostsPort {
  return {
    stateOf: () => 'live',
    getIncarnation: () => 'e1' as types.Incarnation,
    fetchIncarnation: async () => errors.ok('e1' as types.Incarnation),
    isFirstChoice: () => true,
    requestRelease: async () => errors.ok(true)
  }
}

function upstreams (): ports.UpstreamsPort {
  const only: placeCall.Candidate = {
    upstream: 'engine-a-1' as types.UpstreamId,
    host: engineHost,
    availabilityZone: 'makati-a' as types.AvailabilityZoneId,
    inFlight: 0,
    reported: undefined,
    inFlightAtReport: 0,
    slots: 4,
    cachedTokens: 0,
    state: 'live',
    slowFactor: 1
  }
  return {
    listCandidates: () => [only],
    recordCallStart: () => {},
    recordCallEnd: () => {},
    recordSpeed: () => {}
  }
}

function config (): () => configState.Config {
  const checked = configState.validateConfig({
    hosts: { 'engine-a': { region: 'ncr', availabilityZone: 'makati-a', upstreams: [{ id: 'engine-a-1', type: 'engine', address: engineAddress, models: ['m'], contextTokens: 1_000, slots: 4, cacheTokens: 1_000, checksFencing: true }] } },
    models: { m: { version: '1', microCostPerPromptToken: 1, microCostPerGeneratedToken: 1 } },
    services: { kit: { timeoutMs: 10_000, idempotent: false } },
    clients: {},
    kinds: { quote: { weight: 1, budget: { tokens: 100_000, calls: 100, microCost: 500_000, wallMs: 600_000 }, expectedTurns: 3, deadlineSlackMs: 60_000, maxTokens: 64 } },
    limits: {}
  } as configState.ConfigDocumentInput)
  if (!checked.ok) throw new Error(JSON.stringify(checked.failure))
  return () => checked.value
}
