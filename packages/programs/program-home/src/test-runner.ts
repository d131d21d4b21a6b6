/** A call runner with an in-memory journal and scripted upstreams, for the tests of this package. */
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
import * as workloadModel from './workload-model.js'
import type * as ports from './ports.js'
import * as programHome from './program-home.js'
import type * as runningCalls from './running-call.js'
import * as testJournal from './test-journal.js'

export type DispatchResult = errors.Result<types.DispatchAnswer>

const engineHost = 'engine-a' as types.HostId
const engineAddress = 'http://127.0.0.1:1'
const randomValue = 0.5
const context: types.RequestContext = { traceparent: '' }
/** Start time of the program on the wall clock, in milliseconds. */
const startAt = 0

export const answer: types.DispatchAnswer = {
  outcome: { type: 'message', message: { role: 'assistant', content: 'a' }, finishReason: 'stop' },
  tokens: { prompt: 10, cached: 0, generated: 2 },
  load: null,
  ranMs: 1
}

/** A call runner, its home and the scripted upstreams. */
export interface RunnerWorld {
  readonly timers: timerService.ManualTimers
  readonly journal: testJournal.TestJournal
  /** Results of the next dispatches, in order; a complete answer once it is empty. */
  readonly answers: (DispatchResult | Promise<DispatchResult>)[]
  readonly dispatched: types.Dispatch[]
  readonly runCall: (call: types.Call) => Promise<runningCalls.CallResult>
  /** Runs a call through `ProgramHome`, not the call runner alone. */
  readonly callHome: (call: types.Call) => Promise<runningCalls.CallResult>
  /** Asks the home to release the program. */
  readonly release: () => Promise<errors.Result<boolean>>
}

export async function createWorld (): Promise<RunnerWorld> {
  const timers = timerService.createManualTimers(startAt)
  const journal = new testJournal.TestJournal('p1' as types.ProgramId)
  const answers: (DispatchResult | Promise<DispatchResult>)[] = []
  const dispatched: types.Dispatch[] = []
  const dispatchPort: ports.DispatchPort = {
    async dispatch (_host, dispatch) {
      dispatched.push(dispatch)
      return await (answers.shift() ?? errors.ok(answer))
    },
    seal: async () => errors.ok({ type: 'sealed' }),
    hold: async () => errors.ok(undefined),
    drop: async () => errors.ok(undefined)
  }
  const silentLogger = logger.createSilentLogger()
  const deps = {
    self: testJournal.home,
    journal: journal.journal,
    timers,
    logger: silentLogger,
    config: createConfigPort(),
    hosts: createHostsPort(),
    upstreams: createUpstreamsPort(),
    dispatchPort,
    tracer: await tracing.createTracing({ serviceName: 'test', exporterUrl: null }),
    placeRule: placeCall.defaultPlaceRule,
    random: () => randomValue,
    holdRule: () => ({ type: 'never' as const }),
    cacheUsed: () => 0
  }
  const disabledMetrics = metrics.createMetrics('off')
  const runner = new callRunner.CallRunner({ ...deps, workloadModel: new workloadModel.WorkloadModel(deps), metrics: new homeMetrics.HomeMetrics(disabledMetrics, timers.now) })
  const home = new programHome.ProgramHome({ ...deps, metrics: disabledMetrics, admissionRule: () => ({ type: 'none' }), getLocalSlots: () => ({ slots: 4, waiting: 0 }) })
  const sink: types.CallSink = { onPlaced: () => {}, onDelta: () => {} }
  return {
    timers,
    journal,
    answers,
    dispatched,
    runCall: (call) => runner.runCall(journal.program, call, context, sink),
    callHome: (call) => home.call(call, context, sink),
    release: () => home.release('p1' as types.ProgramId, 'n' as types.HostId)
  }
}

/** Creates a call of the program, the first of its branch by default. */
export function createCall (type: 'model' | 'service', idempotent: boolean, seq = 1): types.Call {
  const target: types.CallTarget = type === 'model'
    ? { type, model: 'm' as types.ModelId, messages: [], maxTokens: 20, options: {} }
    : { type, service: 'kit' as types.ServiceId, path: '/print', body: null }
  return { program: 'p1' as types.ProgramId, client: testJournal.client, key: `k${seq}` as types.RequestKey, branch: testJournal.mainBranch, seq, idempotent, timeoutMs: 20_000, target }
}

function createHostsPort (): ports.HostsPort {
  return {
    stateOf: () => 'live',
    getIncarnation: () => 'e1' as types.Incarnation,
    fetchIncarnation: async () => errors.ok('e1' as types.Incarnation),
    isFirstChoice: () => true,
    requestRelease: async () => errors.ok(true)
  }
}

function createUpstreamsPort (): ports.UpstreamsPort {
  const onlyCandidate: placeCall.Candidate = {
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
    listCandidates: () => [onlyCandidate],
    recordCallStart: () => {},
    recordCallEnd: () => {},
    recordSpeed: () => {}
  }
}

function createConfigPort (): () => configState.Config {
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
