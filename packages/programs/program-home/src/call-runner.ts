/** Runs the calls of local programs: sequence and budget checks, placement, dispatch with retries, and the turn record. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import type * as configState from '@eelgrasswind/config-state'
import * as decideRetry from '@eelgrasswind/decide-retry'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as logger from '@eelgrasswind/logger'
import * as placeCall from '@eelgrasswind/place-call'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import * as allowances from './allowance.js'
import type * as attempts from './attempt.js'
import * as callCrashes from './call-crashes.js'
import * as checkCall from './check-call.js'
import * as failures from './home-failures.js'
import type * as homeMetrics from './home-metrics.js'
import * as journalWriter from './journal-writer.js'
import type * as workloadModel from './workload-model.js'
import * as local from './local-program.js'
import type * as ports from './ports.js'
import * as reserve from './reserve-budget.js'
import * as resolving from './resolve-intent.js'
import * as runningCalls from './running-call.js'
import * as turnWriter from './turn-writer.js'

/** Dependencies of the call runner. */
export interface CallRunnerDeps {
  readonly self: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly config: ports.ConfigPort
  readonly hosts: ports.HostsPort
  readonly upstreams: ports.UpstreamsPort
  readonly dispatchPort: ports.DispatchPort
  readonly workloadModel: workloadModel.WorkloadModel
  readonly tracer: tracing.Tracing
  readonly metrics: homeMetrics.HomeMetrics
  readonly placeRule: placeCall.PlaceRule
  /** Random number, at least 0 and less than 1. */
  readonly random: () => number
}

/** Most turns that may be unconfirmed at once; beyond that, new calls are refused. */
const maxUnconfirmedTurns = 512

/** Runs calls and keeps the state that all programs of the process share: its retry budget and unconfirmed turns. */
export class CallRunner {
  private processRetryBudget = limitClient.createRetryBudget(limitClient.processRetrySettings)
  private readonly turnWriter: turnWriter.TurnWriter
  private readonly crashes: callCrashes.CallCrashes
  private placementCount = 0

  constructor (private readonly deps: CallRunnerDeps) {
    this.turnWriter = new turnWriter.TurnWriter(deps)
    this.crashes = new callCrashes.CallCrashes(deps)
  }

  /** Runs a call, or answers a repeat of an earlier one. Deltas of the answer go to `sink`. */
  async runCall (program: local.LocalProgram, call: types.Call, ctx: types.RequestContext, sink: types.CallSink): Promise<runningCalls.CallResult> {
    const digest = programState.computeRequestDigest(call)
    const check = checkCall.checkCall(program, call, digest)
    switch (check.type) {
      case 'refuse': return errors.fail(check.failure)
      case 'finished':
        this.deps.metrics.onCallRepeated()
        return errors.ok(checkCall.toCallEnd(check.turn, true))
      case 'join': return await check.runningCall.join(sink)
      case 'openIntent': return await this.resumeIntent(program, call, digest, sink)
      case 'run': return await this.startCall(program, call, digest, ctx, sink)
      default: return errors.assertNever(check)
    }
  }

  private async startCall (program: local.LocalProgram, call: types.Call, digest: string, ctx: types.RequestContext, sink: types.CallSink): Promise<runningCalls.CallResult> {
    if (this.turnWriter.unconfirmedCount >= maxUnconfirmedTurns || !this.deps.journal.isAvailable()) return errors.fail(failures.createLogUnavailableFailure('notRun'))
    const estimate = reserve.estimateCall(this.deps.config(), program.state, call.target, call.branch)
    const budgetCheck = reserve.checkBudget(program, estimate.usage)
    if (!budgetCheck.ok) {
      this.deps.metrics.onCallRefusedByBudget()
      return budgetCheck
    }
    const { timers, workloadModel } = this.deps
    const remainingMs = Math.min(call.timeoutMs, reserve.computeRemainingWallMs(program.state, timers.now()))
    if (remainingMs <= 0) return errors.fail({ tag: 'budgetExceeded', verdict: 'notRun', message: 'the wall time of the program is exceeded', field: 'budget.wallMs', remaining: 0 })
    const runningCall = new runningCalls.RunningCall(call, digest)
    program.runningCalls.set(call.key, runningCall)
    program.reserved = local.addUsage(program.reserved, estimate.usage)
    workloadModel.observeCallStart(program, timers.now())
    const startedAt = timers.monotonic()
    const span = this.deps.tracer.startSpan('home call', ctx.traceparent, { program: program.id, key: call.key })
    const attempt = { program, runningCall, estimate, ctx: { traceparent: span.traceparent }, startedAt, deadline: startedAt + remainingMs }
    void this.runToCompletion(attempt).then((result) => span.end(result.ok ? 'ok' : 'error'))
    return await runningCall.join(sink)
  }

  private async runToCompletion (attempt: attempts.Attempt): Promise<runningCalls.CallResult> {
    const { program, runningCall, estimate } = attempt
    let result: runningCalls.CallResult
    try {
      result = await this.runAttempts(attempt)
    } catch (err) {
      this.deps.logger.error({ err, program: program.id, call: runningCall.call.key }, 'unexpected error while running a call')
      result = errors.fail(errors.toFailure(err))
      this.countUnrecorded(attempt, result)
    }
    program.reserved = local.subtractUsage(program.reserved, estimate.usage)
    program.lastCallEndedAt = this.deps.timers.now()
    this.deps.metrics.onCallEnded(runningCall.call.target.type, result, this.deps.timers.monotonic() - attempt.startedAt)
    program.removeCall(runningCall.call.key)
    runningCall.complete(result)
    return result
  }

  /** Keeps counting the usage of a failed attempt that may have run but left no record. */
  private countUnrecorded ({ program, estimate }: attempts.Attempt, result: runningCalls.CallResult): void {
    if (result.ok || result.failure.verdict === 'notRun') return
    program.unrecordedUsage = local.addUsage(program.unrecordedUsage, estimate.usage)
  }

  private async runAttempts (attempt: attempts.Attempt): Promise<runningCalls.CallResult> {
    this.processRetryBudget = limitClient.earnRetry(this.processRetryBudget)
    attempt.program.retryBudget = limitClient.earnRetry(attempt.program.retryBudget)
    let verdict: types.Verdict = 'notRun'
    for (let attemptCount = 1; ; attemptCount += 1) {
      const limited = this.crashes.findLimit(attempt)
      if (limited !== undefined) return errors.fail({ ...limited, verdict: errors.combineVerdicts(verdict, limited.verdict) })
      const outcome = await this.runAttempt(attempt)
      const result = await this.recordOutcome(attempt, outcome)
      this.countUnrecorded(attempt, result)
      if (outcome.type !== 'failed') return result
      verdict = errors.combineVerdicts(verdict, outcome.failure.verdict)
      const delayMs = this.decideRetryDelay(attempt, outcome, attemptCount)
      if (delayMs === undefined) return errors.fail({ ...outcome.failure, verdict })
      await timerService.sleep(this.deps.timers, delayMs)
    }
  }

  /** Delay before the next attempt in milliseconds, or undefined if the failure is final. */
  private decideRetryDelay (attempt: attempts.Attempt, outcome: Extract<attempts.AttemptOutcome, { type: 'failed' }>, attemptCount: number): number | undefined {
    if (outcome.retry === 'final') return undefined
    const { program, runningCall, deadline } = attempt
    const decision = decideRetry.decideRetry({
      failure: outcome.failure,
      idempotent: runningCall.call.idempotent,
      attempt: attemptCount,
      programBudget: program.retryBudget,
      processBudget: this.processRetryBudget,
      now: this.deps.timers.monotonic(),
      deadline,
      random: this.deps.random
    })
    if (decision.type === 'retry') this.deps.metrics.onCallRetried(outcome.failure)
    this.recordDecision(program, 'retry', decision.type, `${decision.reason} after ${outcome.failure.tag} (${outcome.failure.verdict})`, [])
    if (decision.type === 'giveUp') return undefined
    this.processRetryBudget = limitClient.spendRetry(this.processRetryBudget)
    program.retryBudget = limitClient.spendRetry(program.retryBudget)
    return decision.afterMs
  }

  private async runAttempt (attempt: attempts.Attempt): Promise<attempts.AttemptOutcome> {
    const placement = this.choosePlacement(attempt)
    if (placement.type === 'none') {
      return { type: 'failed', retry: 'mayRetry', failure: { tag: 'upstreamUnavailable', verdict: 'notRun', message: `no upstream can take the call: ${placement.reason}`, retryAfterMs: placement.retryAfterMs } }
    }
    const startedAt = this.deps.timers.now() as types.EpochMs
    if (attempt.runningCall.call.idempotent) return await this.dispatchIdempotent(attempt, placement, startedAt)
    return await this.dispatchNonIdempotent(attempt, placement, startedAt)
  }

  private choosePlacement (attempt: attempts.Attempt): placeCall.Placement {
    const { program, runningCall, estimate } = attempt
    const { target } = runningCall.call
    const preferred = program.lastUpstream === undefined ? [] : [program.lastUpstream]
    const placement = placeCall.placeCall(target.type === 'model' ? this.deps.placeRule : { type: 'twoChoices' }, {
      home: this.deps.self.host,
      lastUpstream: program.lastUpstream,
      candidates: this.listCandidates(program, target, preferred),
      promptTokens: estimate.promptTokens,
      expectedTokens: estimate.maxTokens,
      turn: this.placementCount,
      random: this.deps.random
    })
    this.placementCount += 1
    if (placement.type === 'placed') {
      this.recordDecision(program, 'placement', placement.upstream, placement.reason.type, placement.considered.map((other) => other.upstream))
    } else {
      this.recordDecision(program, 'placement', 'none', placement.reason, [])
    }
    return placement
  }

  private listCandidates (program: local.LocalProgram, target: types.CallTarget, preferred: readonly types.UpstreamId[]): readonly placeCall.Candidate[] {
    const candidates = this.deps.upstreams.listCandidates(target, preferred)
    if (target.type !== 'model' || program.cachedTokens === 0) return candidates
    return candidates.map((candidate) => candidate.upstream === program.lastUpstream ? { ...candidate, cachedTokens: program.cachedTokens } : candidate)
  }

  private async dispatchIdempotent (attempt: attempts.Attempt, placement: Extract<placeCall.Placement, { type: 'placed' }>, startedAt: types.EpochMs): Promise<attempts.AttemptOutcome> {
    const allowanceResult = await this.ensureAllowance(attempt)
    if (!allowanceResult.ok) return { type: 'failed', retry: 'final', failure: { ...allowanceResult.failure, verdict: 'notRun' } }
    const sentAt = this.deps.timers.monotonic()
    const result = await this.sendDispatch(attempt, placement, null)
    if (!result.ok) this.crashes.noteFailure(attempt, placement.upstream, result.failure, sentAt)
    if (result.ok) return { type: 'answered', answer: result.value, upstream: placement.upstream, host: placement.host, startedAt }
    return { type: 'failed', retry: 'mayRetry', failure: result.failure }
  }

  /** Writes an allowance that covers the call to the journal, unless the current one does. */
  private async ensureAllowance (attempt: attempts.Attempt): Promise<errors.Result<unknown>> {
    const { program, estimate } = attempt
    if (allowances.isCovered(program)) return errors.ok(undefined)
    return await journalWriter.appendRecord(this.deps.journal, program, () => ({ type: 'allow', allowance: allowances.computeNextAllowance(this.deps.config(), program, estimate.usage) }))
  }

  /** Dispatches a call at most once: after its intent record is confirmed. If the answer is lost, the key is sealed. */
  private async dispatchNonIdempotent (attempt: attempts.Attempt, placement: Extract<placeCall.Placement, { type: 'placed' }>, startedAt: types.EpochMs): Promise<attempts.AttemptOutcome> {
    const incarnation = await this.getIncarnation(placement.host)
    if (!incarnation.ok) return { type: 'failed', retry: 'mayRetry', failure: { ...failures.toUpstreamFailure(incarnation.failure), verdict: 'notRun' } }
    const dispatchTo = { host: placement.host, incarnation: incarnation.value }
    const intent = await this.writeIntent(attempt, placement.upstream, dispatchTo, startedAt)
    if (!intent.ok) return { type: 'failed', retry: 'final', failure: { ...intent.failure, verdict: 'notRun' } }
    // From here on the open intent in the program state counts this usage.
    attempt.program.reserved = local.subtractUsage(attempt.program.reserved, attempt.estimate.usage)
    const result = await this.sendDispatch(attempt, placement, { position: intent.value, at: startedAt, incarnation: incarnation.value })
    const outcome = await this.resolveOutcome(attempt, placement, dispatchTo, intent.value, startedAt, result)
    attempt.program.reserved = local.addUsage(attempt.program.reserved, attempt.estimate.usage)
    return outcome
  }

  private async writeIntent (attempt: attempts.Attempt, upstream: types.UpstreamId, dispatchTo: types.ProcessRef, at: types.EpochMs): Promise<errors.Result<types.Term>> {
    const { program, runningCall, estimate } = attempt
    const { key, branch, seq, target } = runningCall.call
    const intent: journalWriter.UnsequencedRecord = {
      type: 'intent', key, branch, seq, digest: runningCall.digest, target, upstream, dispatchTo, reserved: estimate.usage, at
    }
    const { record, result } = await journalWriter.appendNext(this.deps.journal, program, intent)
    if (result.ok || result.failure.verdict === 'notRun') return result
    await this.resolveUnconfirmedIntent(attempt, record, result.failure)
    return result
  }

  /**
   * Handles an intent record that may or may not be stored. Its caller gets notRun at once, so it must never be
   * dispatched. Its chain position stays in use until its outcome is known; if it took effect, it is settled as notRun.
   */
  private async resolveUnconfirmedIntent (attempt: attempts.Attempt, intent: types.JournalRecord, failure: errors.Failure): Promise<void> {
    const { program, runningCall } = attempt
    runningCall.failInterim({ ...failure, verdict: 'notRun' })
    const appended = await journalWriter.resolveRecord(this.deps, program, intent)
    if (appended.ok) await journalWriter.appendUntilResolved(this.deps, program, { type: 'settle', key: runningCall.call.key, verdict: 'notRun' })
  }

  private async resolveOutcome (attempt: attempts.Attempt, placement: { readonly upstream: types.UpstreamId, readonly host: types.HostId }, dispatchTo: types.ProcessRef, position: types.Term, startedAt: types.EpochMs, result: errors.Result<types.DispatchAnswer>): Promise<attempts.AttemptOutcome> {
    const intentOutcome = await this.resolveIntentOutcome(attempt, { upstream: placement.upstream, dispatchTo, position, at: startedAt }, result)
    switch (intentOutcome.type) {
      case 'answered': return { type: 'answered', answer: intentOutcome.answer, upstream: placement.upstream, host: placement.host, startedAt }
      case 'failed': return { type: 'recordFailure', outcome: intentOutcome, upstream: placement.upstream, startedAt }
      case 'notRun': {
        const settled = await this.settleNotRun(attempt, result)
        const failure = result.ok ? failures.createLogUnavailableFailure('notRun') : { ...result.failure, verdict: 'notRun' as const }
        return { type: 'failed', retry: settled.ok && !attempt.runningCall.hasReportedNotRun ? 'mayRetry' : 'final', failure }
      }
      default: return errors.assertNever(intentOutcome)
    }
  }

  /** Records that an intent did not run. Its caller gets the failure after `recordTimeoutMs` even if the log is unavailable. */
  private async settleNotRun (attempt: attempts.Attempt, result: errors.Result<types.DispatchAnswer>): Promise<errors.Result<types.Term>> {
    const { program, runningCall } = attempt
    const failure = result.ok ? failures.createLogUnavailableFailure('notRun') : { ...result.failure, verdict: 'notRun' as const }
    const timeout = this.deps.timers.after(turnWriter.recordTimeoutMs, () => runningCall.failInterim(failure))
    const written = await journalWriter.appendUntilResolved(this.deps, program, { type: 'settle', key: runningCall.call.key, verdict: 'notRun' })
    timeout.cancel()
    return written
  }

  /** Derives the outcome from the dispatch result. Asks the sidecar if the call may have run. */
  private async resolveIntentOutcome (attempt: attempts.Attempt, intent: Pick<resolving.IntentRef, 'upstream' | 'dispatchTo' | 'position' | 'at'>, result: errors.Result<types.DispatchAnswer>): Promise<resolving.IntentOutcome> {
    if (result.ok) return { type: 'answered', answer: result.value }
    const { failure } = result
    if (failure.verdict === 'notRun') return { type: 'notRun' }
    if (failure.verdict === 'ran') return { type: 'failed', verdict: 'ran', tag: failure.tag, message: failure.message }
    const { program, runningCall, deadline } = attempt
    const remainingMs = Math.max(0, deadline - this.deps.timers.monotonic())
    return await resolving.resolveIntent(this.deps, { program: program.id, key: runningCall.call.key, ...intent }, remainingMs)
  }

  private async getIncarnation (host: types.HostId): Promise<errors.Result<types.Incarnation>> {
    if (host === this.deps.self.host) return errors.ok(this.deps.self.incarnation)
    const knownIncarnation = this.deps.hosts.getIncarnation(host)
    return knownIncarnation === undefined ? await this.deps.hosts.fetchIncarnation(host) : errors.ok(knownIncarnation)
  }

  private async sendDispatch (attempt: attempts.Attempt, placement: Extract<placeCall.Placement, { type: 'placed' }>, intent: types.DispatchIntent | null): Promise<errors.Result<types.DispatchAnswer>> {
    const { runningCall, deadline, ctx } = attempt
    const { timers, upstreams, dispatchPort, metrics } = this.deps
    runningCall.sink.onPlaced({ upstream: placement.upstream, host: placement.host })
    upstreams.recordCallStart(placement.upstream)
    let lastDeltaAt: number | undefined
    const onDelta = (text: string): void => {
      const now = timers.monotonic()
      if (lastDeltaAt === undefined) metrics.onFirstToken(now - attempt.startedAt)
      else upstreams.recordSpeed(placement.upstream, 1, now - lastDeltaAt)
      lastDeltaAt = now
      runningCall.sink.onDelta(text)
    }
    const dispatch = this.createDispatch(attempt, placement.upstream, intent, Math.max(1, Math.ceil(deadline - timers.monotonic())))
    const result = await dispatchPort.dispatch(placement.host, dispatch, ctx, new AbortController().signal, onDelta)
    upstreams.recordCallEnd(placement.upstream, result.ok ? result.value.load : null)
    return result.ok ? result : errors.fail(failures.toUpstreamFailure(result.failure))
  }

  private createDispatch (attempt: attempts.Attempt, upstream: types.UpstreamId, intent: types.DispatchIntent | null, timeoutMs: number): types.Dispatch {
    const { program, runningCall } = attempt
    const cfg = this.deps.config()
    return {
      program: program.id,
      key: runningCall.call.key,
      term: program.state.term,
      upstream,
      intent,
      timeoutMs,
      queue: this.deps.workloadModel.createQueueInput(cfg, program),
      payload: this.createPayload(cfg, attempt)
    }
  }

  private createPayload (cfg: configState.Config, attempt: attempts.Attempt): types.DispatchPayload {
    const { target, branch } = attempt.runningCall.call
    switch (target.type) {
      case 'model': {
        const messages = [...programState.collectMessages(attempt.program.state, branch), ...target.messages]
        return { type: 'model', model: target.model, messages, maxTokens: attempt.estimate.maxTokens, options: target.options }
      }
      case 'service': {
        const prefix = cfg.services.get(target.service)?.pathPrefix ?? '/'
        return { type: 'service', path: joinPath(prefix, target.path), body: target.body }
      }
      default: return errors.assertNever(target)
    }
  }

  /** Serves a repeat of a call whose intent an earlier home wrote. */
  private async resumeIntent (program: local.LocalProgram, call: types.Call, digest: string, sink: types.CallSink): Promise<runningCalls.CallResult> {
    const runningCall = new runningCalls.RunningCall(call, digest)
    program.runningCalls.set(call.key, runningCall)
    void this.settleIntent(program, runningCall)
    return await runningCall.join(sink)
  }

  /** Resolves the outcome of a dispatch by an earlier home and records it. */
  async settleIntent (program: local.LocalProgram, runningCall: runningCalls.RunningCall): Promise<void> {
    const { key } = runningCall.call
    const intent = programState.findIntent(program.state, key)
    let result: runningCalls.CallResult = errors.fail(failures.createLogUnavailableFailure('mayHaveRun'))
    if (intent !== undefined) {
      const estimate = { promptTokens: 0, maxTokens: 0, usage: intent.reserved }
      const startedAt = this.deps.timers.monotonic()
      const attempt: attempts.Attempt = { program, runningCall, estimate, ctx: { traceparent: '' }, startedAt, deadline: startedAt + runningCall.call.timeoutMs }
      const missingAnswer: errors.Result<types.DispatchAnswer> = errors.fail({ tag: 'upstreamUnavailable', verdict: 'mayHaveRun', message: 'the call was dispatched by an earlier home', retryAfterMs: failures.logRetryAfterMs })
      const outcome = await this.resolveOutcome(attempt, { upstream: intent.upstream, host: intent.dispatchTo.host }, intent.dispatchTo, program.state.term, intent.at, missingAnswer)
      result = await this.recordOutcome(attempt, outcome)
    }
    program.removeCall(key)
    runningCall.complete(result)
  }

  private async recordOutcome (attempt: attempts.Attempt, outcome: attempts.AttemptOutcome): Promise<runningCalls.CallResult> {
    switch (outcome.type) {
      case 'answered': return await this.turnWriter.recordAnswer(attempt, outcome)
      case 'recordFailure': return await this.turnWriter.recordFailure(attempt, outcome)
      case 'failed': return errors.fail(outcome.failure)
      default: return errors.assertNever(outcome)
    }
  }

  private recordDecision (program: local.LocalProgram, step: types.DecisionStep, choice: string, reason: string, candidates: readonly string[]): void {
    program.recordDecision({ at: this.deps.timers.now() as types.EpochMs, step, choice, reason, candidates })
  }
}

function joinPath (prefix: string, path: string): string {
  return `${prefix.replace(/\/$/, '')}/${path.replace(/^\//, '')}`
}
