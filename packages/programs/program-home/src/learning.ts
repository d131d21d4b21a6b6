/** What this home learns from its programs, by kind, and the decisions that rest on it. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as configState from '@eelgrasswind/config-state'
import type * as logger from '@eelgrasswind/logger'
import * as orderQueue from '@eelgrasswind/order-queue'
import * as programState from '@eelgrasswind/program-state'
import * as retainPrefix from '@eelgrasswind/retain-prefix'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'
import type * as ports from './ports.js'

export interface LearningDeps {
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly dispatchPort: Pick<ports.DispatchPort, 'hold' | 'drop'>
  readonly holdRule: () => retainPrefix.HoldRule
  /** Share of the cache of an upstream that is in use, 0 to 1. */
  readonly cacheUsed: (upstream: types.UpstreamId) => number
}

const ordinaryWeight = 1
/** Share that the newest call has in the stretch. */
const newestShare = 0.05
/** Share of a cache in use from which on prefixes are evicted. */
const fullCache = 0.95
/** Time that an unheld prefix is taken to survive in a full cache, in milliseconds; engines do not report it. */
const fullCacheSurvivalMs = 20_000

export class Learning {
  private readonly remaining = orderQueue.createRemainingEstimator()
  private readonly pauses = retainPrefix.createPauseLearner()
  private stretch = 1
  private readonly meanUse: admitProgram.MeanUtilization
  /** Mean of weight divided by run time, over the programs offered. */
  private worth: number | undefined

  constructor (private readonly deps: LearningDeps) {
    this.meanUse = admitProgram.createMeanUtilization(deps.timers.now())
  }

  /** The end of a tool pause. */
  noteCallStart (program: local.LocalProgram, now: number): void {
    if (program.lastEndedAt === undefined) return
    this.pauses.observe(program.state.start.kind, { type: 'returned', afterMs: now - program.lastEndedAt })
    program.lastEndedAt = undefined
  }

  noteFinish (program: local.LocalProgram): void {
    const { kind } = program.state.start
    if (program.lastEndedAt !== undefined) this.pauses.observe(kind, { type: 'gone', afterMs: this.deps.timers.now() - program.lastEndedAt })
    this.remaining.observe(kind, program.state.turns.map(workOf))
  }

  queueInput (cfg: configState.Config, program: local.LocalProgram): types.QueueInput {
    const { start, turns } = program.state
    return {
      kind: start.kind,
      deadline: start.deadline,
      weight: cfg.kinds.get(start.kind)?.weight ?? ordinaryWeight,
      attainedTokens: programState.computeSpent(program.state).tokens,
      expectedRemainingMs: this.expect(cfg, start.kind, turns.length).ms
    }
  }

  /** What admission weighs, from the programs at home here. */
  admissionInput (cfg: configState.Config, start: types.ProgramStart, programs: Iterable<local.LocalProgram>, slots: number, waiting: number): admitProgram.AdmissionInput {
    const whole = this.expect(cfg, start.kind, 0)
    const weight = cfg.kinds.get(start.kind)?.weight ?? ordinaryWeight
    this.noteWorth(weight / Math.max(1, whole.runMs))
    const demand = this.demandOf(cfg, programs)
    this.meanUse.observe(demand / Math.max(1, slots), this.deps.timers.now())
    return {
      now: this.deps.timers.now(),
      deadline: start.deadline,
      weight,
      meanValueDensity: this.worth ?? 1,
      slots,
      waiting,
      demand,
      meanUtilization: this.meanUse.mean(),
      runMs: whole.runMs,
      expectedMs: whole.ms,
      expectedMsDeviation: whole.msDeviation,
      slowdown: this.stretch
    }
  }

  /** What remains of a program; until one of its kind has finished, the turns that the configuration expects decide. */
  private expect (cfg: configState.Config, kind: types.KindId, turns: number): orderQueue.RemainingWork {
    const learnt = this.remaining.estimate(kind, turns)
    const expectedTurns = cfg.kinds.get(kind)?.expectedTurns
    if (learnt.samples > 0 || expectedTurns === undefined) return learnt
    const part = Math.max(1, expectedTurns - turns) / learnt.calls
    return {
      calls: learnt.calls * part,
      tokens: learnt.tokens * part,
      runMs: learnt.runMs * part,
      ms: learnt.ms * part,
      msDeviation: learnt.msDeviation * part,
      samples: 0
    }
  }

  private noteWorth (worth: number): void {
    this.worth = this.worth === undefined ? worth : this.worth + newestShare * (worth - this.worth)
  }

  /** Calls that these programs are expected to run at once; silent ones are not counted. */
  private demandOf (cfg: configState.Config, programs: Iterable<local.LocalProgram>): number {
    const now = this.deps.timers.now()
    let demand = 0
    for (const program of programs) {
      if (program.running.size === 0 && now - (program.lastEndedAt ?? program.state.at) > admitProgram.programIdleTimeoutMs) continue
      const rest = this.expect(cfg, program.state.start.kind, program.state.turns.length)
      demand += rest.ms > 0 ? rest.runMs / rest.ms : 0
    }
    return demand
  }

  /** Time that a finished call took, waiting included, beside the time that it ran; both in milliseconds. */
  noteStretch (totalMs: number, runMs: number): void {
    if (runMs <= 0) return
    this.stretch += newestShare * (Math.max(1, totalMs / runMs) - this.stretch)
  }

  /** Holds the prefix over the pause that begins now, for as long as the rule says. */
  holdPrefix (program: local.LocalProgram): void {
    const { lastHost: host, lastUpstream: upstream } = program
    if (host === undefined || upstream === undefined) return
    const { start, term } = program.state
    const decision = retainPrefix.decideHold(this.deps.holdRule(), {
      prefixTokens: program.cachedTokens,
      pauses: this.pauses.getStats(start.kind),
      leftMs: start.deadline - this.deps.timers.now(),
      survivalMs: this.deps.cacheUsed(upstream) < fullCache ? Infinity : fullCacheSurvivalMs
    })
    const holdMs = Math.round(decision.holdMs)
    program.note({ at: this.deps.timers.now() as types.EpochMs, step: 'hold', choice: `${holdMs} ms`, reason: decision.reason.type, candidates: [] })
    if (holdMs > 0) this.report(program, this.deps.dispatchPort.hold(host, program.id, term, upstream, holdMs))
  }

  /** Lets go of the prefix of a program that has ended. */
  dropPrefix (program: local.LocalProgram): void {
    const { lastHost: host, lastUpstream: upstream } = program
    if (host === undefined || upstream === undefined) return
    this.report(program, this.deps.dispatchPort.drop(host, program.id, program.state.term, upstream))
  }

  /** A lost hold or drop costs a computation or a lease's time, nothing else. */
  private report (program: local.LocalProgram, sent: ReturnType<ports.DispatchPort['hold']>): void {
    sent.then(
      (result) => { if (!result.ok) this.deps.logger.debug({ program: program.id, failure: result.failure }, 'prefix hold not changed') },
      (err: unknown) => this.deps.logger.error({ program: program.id, err }, 'prefix hold failed')
    )
  }
}

/** Each turn with the pause after it; branches that overlap count their own time. */
function workOf (turn: types.Turn, at: number, turns: readonly types.Turn[]): orderQueue.TurnWork {
  const runMs = turn.endedAt - turn.startedAt
  const next = turns[at + 1]
  const ms = next === undefined ? runMs : Math.max(runMs, next.startedAt - turn.startedAt)
  return { tokens: turn.tokens.prompt - turn.tokens.cached + turn.tokens.generated, runMs, ms }
}
