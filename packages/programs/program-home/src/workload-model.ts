/** Per-kind statistics of the programs at this home: inputs for queue order, admission and prefix retention. */
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

/** Dependencies of the workload model. */
export interface WorkloadModelDeps {
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly dispatchPort: Pick<ports.DispatchPort, 'hold' | 'drop'>
  readonly holdRule: () => retainPrefix.HoldRule
  /** Fraction of an upstream's cache that is in use, 0 to 1. */
  readonly cacheUsed: (upstream: types.UpstreamId) => number
}

const defaultWeight = 1
/** Weight of the newest sample in the exponential moving averages. */
const smoothingFactor = 0.05
/** Fraction of a cache in use from which on prefixes are assumed to be evicted. */
const fullCacheThreshold = 0.95
/** Assumed survival time of an unheld prefix in a full cache; engines do not report it. */
const fullCacheSurvivalMs = 20_000

/** Learns remaining work, tool pauses and slowdown from the calls of the home's programs. */
export class WorkloadModel {
  private readonly remainingEstimator = orderQueue.createRemainingEstimator()
  private readonly pauseLearner = retainPrefix.createPauseLearner()
  /** Moving average of a call's total time divided by its run time, at least 1. */
  private slowdown = 1
  private readonly meanUtilization: admitProgram.MeanUtilization
  /** Moving average of weight per millisecond of run time, over all programs that asked for admission. */
  private meanValueDensity: number | undefined

  constructor (private readonly deps: WorkloadModelDeps) {
    this.meanUtilization = admitProgram.createMeanUtilization(deps.timers.now())
  }

  /** Records the pause between the end of the program's last call and this one. */
  observeCallStart (program: local.LocalProgram, now: number): void {
    if (program.lastCallEndedAt === undefined) return
    this.pauseLearner.observe(program.state.start.kind, { type: 'returned', afterMs: now - program.lastCallEndedAt })
    program.lastCallEndedAt = undefined
  }

  /** Records a finished program: its last pause and its turns. */
  observeFinish (program: local.LocalProgram): void {
    const { kind } = program.state.start
    if (program.lastCallEndedAt !== undefined) this.pauseLearner.observe(kind, { type: 'gone', afterMs: this.deps.timers.now() - program.lastCallEndedAt })
    this.remainingEstimator.observe(kind, program.state.turns.map(toTurnWork))
  }

  /** Computes the input by which a sidecar orders its queue. */
  createQueueInput (cfg: configState.Config, program: local.LocalProgram): types.QueueInput {
    const { start, turns } = program.state
    return {
      kind: start.kind,
      deadline: start.deadline,
      weight: cfg.kinds.get(start.kind)?.weight ?? defaultWeight,
      attainedTokens: programState.computeSpent(program.state).tokens,
      expectedRemainingMs: this.estimateRemaining(cfg, start.kind, turns.length).ms
    }
  }

  /** Computes the input of an admission decision from the programs at this home. */
  createAdmissionInput (cfg: configState.Config, start: types.ProgramStart, programs: Iterable<local.LocalProgram>, slots: number, waiting: number): admitProgram.AdmissionInput {
    const total = this.estimateRemaining(cfg, start.kind, 0)
    const weight = cfg.kinds.get(start.kind)?.weight ?? defaultWeight
    this.observeValueDensity(weight / Math.max(1, total.runMs))
    const demand = this.computeDemand(cfg, programs)
    this.meanUtilization.observe(demand / Math.max(1, slots), this.deps.timers.now())
    return {
      now: this.deps.timers.now(),
      deadline: start.deadline,
      weight,
      meanValueDensity: this.meanValueDensity ?? 1,
      slots,
      waiting,
      demand,
      meanUtilization: this.meanUtilization.mean(),
      runMs: total.runMs,
      expectedMs: total.ms,
      expectedMsDeviation: total.msDeviation,
      slowdown: this.slowdown
    }
  }

  /** Estimates the remaining work of a program after `turns` turns. Until a program of its kind has finished, the estimate is scaled to the configured `expectedTurns`. */
  private estimateRemaining (cfg: configState.Config, kind: types.KindId, turns: number): orderQueue.RemainingWork {
    const learned = this.remainingEstimator.estimate(kind, turns)
    const expectedTurns = cfg.kinds.get(kind)?.expectedTurns
    if (learned.samples > 0 || expectedTurns === undefined) return learned
    const ratio = Math.max(1, expectedTurns - turns) / learned.calls
    return {
      calls: learned.calls * ratio,
      tokens: learned.tokens * ratio,
      runMs: learned.runMs * ratio,
      ms: learned.ms * ratio,
      msDeviation: learned.msDeviation * ratio,
      samples: 0
    }
  }

  private observeValueDensity (valueDensity: number): void {
    this.meanValueDensity = this.meanValueDensity === undefined ? valueDensity : this.meanValueDensity + smoothingFactor * (valueDensity - this.meanValueDensity)
  }

  /** Expected number of concurrent calls of these programs; idle ones are not counted. */
  private computeDemand (cfg: configState.Config, programs: Iterable<local.LocalProgram>): number {
    const now = this.deps.timers.now()
    let demand = 0
    for (const program of programs) {
      if (program.runningCalls.size === 0 && now - (program.lastCallEndedAt ?? program.state.at) > admitProgram.programIdleTimeoutMs) continue
      const remaining = this.estimateRemaining(cfg, program.state.start.kind, program.state.turns.length)
      demand += remaining.ms > 0 ? remaining.runMs / remaining.ms : 0
    }
    return demand
  }

  /** Records how long a finished call took, queueing included, and how long it ran upstream. */
  observeSlowdown (totalMs: number, runMs: number): void {
    if (runMs <= 0) return
    this.slowdown += smoothingFactor * (Math.max(1, totalMs / runMs) - this.slowdown)
  }

  /** Holds the program's prefix in the upstream's cache during the pause after a call, for as long as the hold rule decides. */
  holdPrefix (program: local.LocalProgram): void {
    const { lastHost: host, lastUpstream: upstream } = program
    if (host === undefined || upstream === undefined) return
    const { start, term } = program.state
    const decision = retainPrefix.decideHold(this.deps.holdRule(), {
      prefixTokens: program.cachedTokens,
      pauses: this.pauseLearner.getStats(start.kind),
      leftMs: start.deadline - this.deps.timers.now(),
      survivalMs: this.deps.cacheUsed(upstream) < fullCacheThreshold ? Infinity : fullCacheSurvivalMs
    })
    const holdMs = Math.round(decision.holdMs)
    program.recordDecision({ at: this.deps.timers.now() as types.EpochMs, step: 'hold', choice: `${holdMs} ms`, reason: decision.reason.type, candidates: [] })
    if (holdMs > 0) this.logFailure(program, this.deps.dispatchPort.hold(host, program.id, term, upstream, holdMs))
  }

  /** Releases the prefix of a program that has finished. */
  dropPrefix (program: local.LocalProgram): void {
    const { lastHost: host, lastUpstream: upstream } = program
    if (host === undefined || upstream === undefined) return
    this.logFailure(program, this.deps.dispatchPort.drop(host, program.id, program.state.term, upstream))
  }

  /** Logs a failed request only: a lost hold costs a recomputation, a lost drop leaves the hold until its lease expires. */
  private logFailure (program: local.LocalProgram, sent: ReturnType<ports.DispatchPort['hold']>): void {
    sent.then(
      (result) => { if (!result.ok) this.deps.logger.debug({ program: program.id, failure: result.failure }, 'could not change a prefix hold') },
      (err: unknown) => this.deps.logger.error({ program: program.id, err }, 'unexpected error while changing a prefix hold')
    )
  }
}

/** Work of a turn, with the pause until the next one. Overlapping branches count their own run time. */
function toTurnWork (turn: types.Turn, index: number, turns: readonly types.Turn[]): orderQueue.TurnWork {
  const runMs = turn.endedAt - turn.startedAt
  const next = turns[index + 1]
  const ms = next === undefined ? runMs : Math.max(runMs, next.startedAt - turn.startedAt)
  return { tokens: turn.tokens.prompt - turn.tokens.cached + turn.tokens.generated, runMs, ms }
}
