/** Runs one call of a local program: order, budget, placement, dispatch, and the record that ends it. */
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
import * as checkCall from './check-call.js'
import * as failures from './home-failures.js'
import type * as homeMetrics from './home-metrics.js'
import * as journalWriter from './journal-writer.js'
import type * as learning from './learning.js'
import * as local from './local-program.js'
import type * as ports from './ports.js'
import * as reserve from './reserve-budget.js'
import * as resolving from './resolve-intent.js'
import * as runningCalls from './running-call.js'
import * as turnWriter from './turn-writer.js'

export interface CallRunnerDeps {
  readonly self: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly config: ports.ConfigPort
  readonly hosts: ports.HostsPort
  readonly upstreams: ports.UpstreamsPort
  readonly dispatchPort: ports.DispatchPort
  readonly learning: learning.Learning
  readonly tracer: tracing.Tracing
  readonly metrics: homeMetrics.HomeMetrics
  readonly placeRule: placeCall.PlaceRule
  /** From 0 up to, but without, 1. */
  readonly random: () => number
}

/** Answers that may wait for the log at once; past that new calls are refused. */
const maxUnconfirmed = 512

export class CallRunner {
  private processRetries = limitClient.createRetryBudget(limitClient.processRetrySettings)
  private readonly turns: turnWriter.TurnWriter
  private placements = 0

  constructor (private readonly deps: CallRunnerDeps) {
    this.turns = new turnWriter.TurnWriter(deps)
  }

  async call (program: local.LocalProgram, call: types.Call, ctx: types.RequestContext, sink: types.CallSink): Promise<runningCalls.CallResult> {
    const digest = programState.computeRequestDigest(call)
    const check = checkCall.checkCall(program, call, digest)
    switch (check.type) {
      case 'refuse': return errors.fail(check.failure)
      case 'finished':
        this.deps.metrics.callRepeated()
        return errors.ok(checkCall.endOfTurn(check.turn, true))
      case 'join': return await check.running.join(sink)
      case 'openIntent': return await this.resumeIntent(program, call, digest, sink)
      case 'run': return await this.begin(program, call, digest, ctx, sink)
      default: return errors.assertNever(check)
    }
  }

  private async begin (program: local.LocalProgram, call: types.Call, digest: string, ctx: types.RequestContext, sink: types.CallSink): Promise<runningCalls.CallResult> {
    if (this.turns.unconfirmed >= maxUnconfirmed || !this.deps.journal.isAvailable()) return errors.fail(failures.logUnavailable('notRun'))
    const need = reserve.needOf(this.deps.config(), program.state, call.target, call.branch)
    const fits = reserve.checkBudget(program, need.usage)
    if (!fits.ok) {
      this.deps.metrics.callRefusedByBudget()
      return fits
    }
    const { timers, learning } = this.deps
    const leftMs = Math.min(call.timeoutMs, reserve.wallLeftMs(program.state, timers.now()))
    if (leftMs <= 0) return errors.fail({ tag: 'budgetExceeded', verdict: 'notRun', message: 'the wall time of the program is used up', field: 'budget.wallMs', remaining: 0 })
    const running = new runningCalls.RunningCall(call, digest)
    program.running.set(call.key, running)
    program.reserved = local.addUsage(program.reserved, need.usage)
    learning.noteCallStart(program, timers.now())
    const startedAt = timers.monotonic()
    const span = this.deps.tracer.startSpan('home call', ctx.traceparent, { program: program.id, key: call.key })
    const attempt = { program, running, need, ctx: { traceparent: span.traceparent }, startedAt, deadline: startedAt + leftMs }
    void this.runToEnd(attempt).then((result) => span.end(result.ok ? 'ok' : 'error'))
    return await running.join(sink)
  }

  private async runToEnd (attempt: attempts.Attempt): Promise<runningCalls.CallResult> {
    const { program, running, need } = attempt
    let result: runningCalls.CallResult
    try {
      result = await this.runAttempts(attempt)
    } catch (err) {
      this.deps.logger.error({ err, program: program.id, call: running.call.key }, 'call failed')
      result = errors.fail(errors.toFailure(err))
      this.countUnrecorded(attempt, result)
    }
    program.reserved = local.lessUsage(program.reserved, need.usage)
    program.lastEndedAt = this.deps.timers.now()
    this.deps.metrics.callEnded(running.call.target.type, result, this.deps.timers.monotonic() - attempt.startedAt)
    program.end(running.call.key)
    running.end(result)
    return result
  }

  /** What an attempt without a record may have used stays counted. */
  private countUnrecorded ({ program, need }: attempts.Attempt, result: runningCalls.CallResult): void {
    if (result.ok || result.failure.verdict === 'notRun') return
    program.unrecorded = local.addUsage(program.unrecorded, need.usage)
  }

  private async runAttempts (attempt: attempts.Attempt): Promise<runningCalls.CallResult> {
    this.processRetries = limitClient.earnRetry(this.processRetries)
    attempt.program.retryBudget = limitClient.earnRetry(attempt.program.retryBudget)
    let verdict: types.Verdict = 'notRun'
    for (let count = 1; ; count += 1) {
      const end = await this.attemptOnce(attempt)
      const result = await this.recordEnd(attempt, end)
      this.countUnrecorded(attempt, result)
      if (end.type !== 'failed') return result
      verdict = errors.combineVerdicts(verdict, end.failure.verdict)
      const wait = this.mayRetry(attempt, end, count)
      if (wait === undefined) return errors.fail({ ...end.failure, verdict })
      await timerService.sleep(this.deps.timers, wait)
    }
  }

  /** Time to wait before the next attempt, or undefined when the failure is final. */
  private mayRetry (attempt: attempts.Attempt, end: Extract<attempts.AttemptEnd, { type: 'failed' }>, count: number): number | undefined {
    if (end.decided === 'final') return undefined
    const { program, running, deadline } = attempt
    const decision = decideRetry.decideRetry({
      failure: end.failure,
      idempotent: running.call.idempotent,
      attempt: count,
      programBudget: program.retryBudget,
      processBudget: this.processRetries,
      now: this.deps.timers.monotonic(),
      deadline,
      random: this.deps.random
    })
    if (decision.type === 'retry') this.deps.metrics.callRetried(end.failure)
    this.note(program, 'retry', decision.type, `${decision.reason} after ${end.failure.tag} (${end.failure.verdict})`, [])
    if (decision.type === 'giveUp') return undefined
    this.processRetries = limitClient.spendRetry(this.processRetries)
    program.retryBudget = limitClient.spendRetry(program.retryBudget)
    return decision.afterMs
  }

  private async attemptOnce (attempt: attempts.Attempt): Promise<attempts.AttemptEnd> {
    const placed = this.place(attempt)
    if (placed.type === 'none') {
      return { type: 'failed', decided: 'mayRetry', failure: { tag: 'upstreamUnavailable', verdict: 'notRun', message: `no upstream may take the call: ${placed.reason}`, retryAfterMs: placed.retryAfterMs } }
    }
    const startedAt = this.deps.timers.now() as types.EpochMs
    if (attempt.running.call.idempotent) return await this.dispatchIdempotent(attempt, placed, startedAt)
    return await this.dispatchOnce(attempt, placed, startedAt)
  }

  private place (attempt: attempts.Attempt): placeCall.Placement {
    const { program, running, need } = attempt
    const { target } = running.call
    const preferred = program.lastUpstream === undefined ? [] : [program.lastUpstream]
    const placement = placeCall.placeCall(target.type === 'model' ? this.deps.placeRule : { type: 'twoChoices' }, {
      home: this.deps.self.host,
      lastUpstream: program.lastUpstream,
      candidates: this.candidatesFor(program, target, preferred),
      promptTokens: need.promptTokens,
      expectedTokens: need.maxTokens,
      turn: this.placements,
      random: this.deps.random
    })
    this.placements += 1
    if (placement.type === 'placed') {
      this.note(program, 'placement', placement.upstream, placement.reason.type, placement.considered.map((other) => other.upstream))
    } else {
      this.note(program, 'placement', 'none', placement.reason, [])
    }
    return placement
  }

  private candidatesFor (program: local.LocalProgram, target: types.CallTarget, preferred: readonly types.UpstreamId[]): readonly placeCall.Candidate[] {
    const candidates = this.deps.upstreams.listCandidates(target, preferred)
    if (target.type !== 'model' || program.cachedTokens === 0) return candidates
    return candidates.map((candidate) => candidate.upstream === program.lastUpstream ? { ...candidate, cachedTokens: program.cachedTokens } : candidate)
  }

  private async dispatchIdempotent (attempt: attempts.Attempt, placed: Extract<placeCall.Placement, { type: 'placed' }>, startedAt: types.EpochMs): Promise<attempts.AttemptEnd> {
    const covered = await this.coverCall(attempt)
    if (!covered.ok) return { type: 'failed', decided: 'final', failure: { ...covered.failure, verdict: 'notRun' } }
    const result = await this.send(attempt, placed, null)
    if (result.ok) return { type: 'answered', answer: result.value, upstream: placed.upstream, host: placed.host, startedAt }
    return { type: 'failed', decided: 'mayRetry', failure: result.failure }
  }

  /** What the call may use is in the journal before it is sent. */
  private async coverCall (attempt: attempts.Attempt): Promise<errors.Result<unknown>> {
    const { program, need } = attempt
    if (allowances.isCovered(program)) return errors.ok(undefined)
    return await journalWriter.writeRecord(this.deps.journal, program, () => ({ type: 'allow', allowance: allowances.nextAllowance(this.deps.config(), program, need.usage) }))
  }

  /** Intent, confirmed; one dispatch; and where its answer is missing, the seal. */
  private async dispatchOnce (attempt: attempts.Attempt, placed: Extract<placeCall.Placement, { type: 'placed' }>, startedAt: types.EpochMs): Promise<attempts.AttemptEnd> {
    const incarnation = await this.incarnationOf(placed.host)
    if (!incarnation.ok) return { type: 'failed', decided: 'mayRetry', failure: { ...failures.wayToUpstream(incarnation.failure), verdict: 'notRun' } }
    const dispatchTo = { host: placed.host, incarnation: incarnation.value }
    const intent = await this.writeIntent(attempt, placed.upstream, dispatchTo, startedAt)
    if (!intent.ok) return { type: 'failed', decided: 'final', failure: { ...intent.failure, verdict: 'notRun' } }
    // Counted by the state's open intent from here on.
    attempt.program.reserved = local.lessUsage(attempt.program.reserved, attempt.need.usage)
    const result = await this.send(attempt, placed, { position: intent.value, at: startedAt, incarnation: incarnation.value })
    const end = await this.endOfIntent(attempt, placed, dispatchTo, intent.value, startedAt, result)
    attempt.program.reserved = local.addUsage(attempt.program.reserved, attempt.need.usage)
    return end
  }

  private async writeIntent (attempt: attempts.Attempt, upstream: types.UpstreamId, dispatchTo: types.ProcessRef, at: types.EpochMs): Promise<errors.Result<types.Term>> {
    const { program, running, need } = attempt
    const { key, branch, seq, target } = running.call
    const intent: journalWriter.UnplacedRecord = {
      type: 'intent', key, branch, seq, digest: running.digest, target, upstream, dispatchTo, reserved: need.usage, at
    }
    const { record, result } = await journalWriter.writePlaced(this.deps.journal, program, intent)
    if (result.ok || result.failure.verdict === 'notRun') return result
    await this.abandonIntent(attempt, record, result.failure)
    return result
  }

  /**
   * An intent of unknown fate: its caller is told notRun at once, so it must never be dispatched. Its place in the
   * chain stays taken until its fate is known; where it took effect after all, it is settled.
   */
  private async abandonIntent (attempt: attempts.Attempt, intent: types.JournalRecord, failure: errors.Failure): Promise<void> {
    const { program, running } = attempt
    running.answerForNow({ ...failure, verdict: 'notRun' })
    const landed = await journalWriter.settleRecord(this.deps, program, intent)
    if (landed.ok) await journalWriter.writeUntilKnown(this.deps, program, { type: 'settle', key: running.call.key, verdict: 'notRun' })
  }

  private async endOfIntent (attempt: attempts.Attempt, placed: { readonly upstream: types.UpstreamId, readonly host: types.HostId }, dispatchTo: types.ProcessRef, position: types.Term, startedAt: types.EpochMs, result: errors.Result<types.DispatchAnswer>): Promise<attempts.AttemptEnd> {
    const known = await this.knownEnd(attempt, { upstream: placed.upstream, dispatchTo, position, at: startedAt }, result)
    switch (known.type) {
      case 'answered': return { type: 'answered', answer: known.answer, upstream: placed.upstream, host: placed.host, startedAt }
      case 'failed': return { type: 'recordFailure', outcome: known, upstream: placed.upstream, startedAt }
      case 'notRun': {
        const settled = await this.settleNotRun(attempt, result)
        const failure = result.ok ? failures.logUnavailable('notRun') : { ...result.failure, verdict: 'notRun' as const }
        return { type: 'failed', decided: settled.ok && !attempt.running.toldNotRun ? 'mayRetry' : 'final', failure }
      }
      default: return errors.assertNever(known)
    }
  }

  /** The caller of a call that did not run is not kept waiting for a log that is down. */
  private async settleNotRun (attempt: attempts.Attempt, result: errors.Result<types.DispatchAnswer>): Promise<errors.Result<types.Term>> {
    const { program, running } = attempt
    const failure = result.ok ? failures.logUnavailable('notRun') : { ...result.failure, verdict: 'notRun' as const }
    const patience = this.deps.timers.after(turnWriter.recordPatienceMs, () => running.answerForNow(failure))
    const written = await journalWriter.writeUntilKnown(this.deps, program, { type: 'settle', key: running.call.key, verdict: 'notRun' })
    patience.cancel()
    return written
  }

  private async knownEnd (attempt: attempts.Attempt, intent: Pick<resolving.IntentRef, 'upstream' | 'dispatchTo' | 'position' | 'at'>, result: errors.Result<types.DispatchAnswer>): Promise<resolving.IntentEnd> {
    if (result.ok) return { type: 'answered', answer: result.value }
    const { failure } = result
    if (failure.verdict === 'notRun') return { type: 'notRun' }
    if (failure.verdict === 'ran') return { type: 'failed', verdict: 'ran', tag: failure.tag, message: failure.message }
    const { program, running, deadline } = attempt
    const leftMs = Math.max(0, deadline - this.deps.timers.monotonic())
    return await resolving.resolveIntent(this.deps, { program: program.id, key: running.call.key, ...intent }, leftMs)
  }

  private async incarnationOf (host: types.HostId): Promise<errors.Result<types.Incarnation>> {
    if (host === this.deps.self.host) return errors.ok(this.deps.self.incarnation)
    const known = this.deps.hosts.getIncarnation(host)
    return known === undefined ? await this.deps.hosts.fetchIncarnation(host) : errors.ok(known)
  }

  private async send (attempt: attempts.Attempt, placed: Extract<placeCall.Placement, { type: 'placed' }>, intent: types.DispatchIntent | null): Promise<errors.Result<types.DispatchAnswer>> {
    const { running, deadline, ctx } = attempt
    const { timers, upstreams, dispatchPort, metrics } = this.deps
    running.sink.onPlaced({ upstream: placed.upstream, host: placed.host })
    upstreams.recordCallStart(placed.upstream)
    let lastPieceAt: number | undefined
    const onDelta = (text: string): void => {
      const now = timers.monotonic()
      if (lastPieceAt === undefined) metrics.firstToken(now - attempt.startedAt)
      else upstreams.recordSpeed(placed.upstream, 1, now - lastPieceAt)
      lastPieceAt = now
      running.sink.onDelta(text)
    }
    const dispatch = this.dispatchOf(attempt, placed.upstream, intent, Math.max(1, Math.ceil(deadline - timers.monotonic())))
    const result = await dispatchPort.dispatch(placed.host, dispatch, ctx, new AbortController().signal, onDelta)
    upstreams.recordCallEnd(placed.upstream, result.ok ? result.value.load : null)
    return result.ok ? result : errors.fail(failures.wayToUpstream(result.failure))
  }

  private dispatchOf (attempt: attempts.Attempt, upstream: types.UpstreamId, intent: types.DispatchIntent | null, timeoutMs: number): types.Dispatch {
    const { program, running } = attempt
    const cfg = this.deps.config()
    return {
      program: program.id,
      key: running.call.key,
      term: program.state.term,
      upstream,
      intent,
      timeoutMs,
      queue: this.deps.learning.queueInput(cfg, program),
      payload: this.payloadOf(cfg, attempt)
    }
  }

  private payloadOf (cfg: configState.Config, attempt: attempts.Attempt): types.DispatchPayload {
    const { target, branch } = attempt.running.call
    switch (target.type) {
      case 'model': {
        const messages = [...programState.collectMessages(attempt.program.state, branch), ...target.messages]
        return { type: 'model', model: target.model, messages, maxTokens: attempt.need.maxTokens, options: target.options }
      }
      case 'service': {
        const prefix = cfg.services.get(target.service)?.pathPrefix ?? '/'
        return { type: 'service', path: joinPath(prefix, target.path), body: target.body }
      }
      default: return errors.assertNever(target)
    }
  }

  /** A call whose intent an earlier home wrote. */
  private async resumeIntent (program: local.LocalProgram, call: types.Call, digest: string, sink: types.CallSink): Promise<runningCalls.CallResult> {
    const running = new runningCalls.RunningCall(call, digest)
    program.running.set(call.key, running)
    void this.settleIntent(program, running)
    return await running.join(sink)
  }

  /** Finds out how an earlier home's dispatch ended, and writes that down. */
  async settleIntent (program: local.LocalProgram, running: runningCalls.RunningCall): Promise<void> {
    const { key } = running.call
    const intent = programState.findIntent(program.state, key)
    let result: runningCalls.CallResult = errors.fail(failures.logUnavailable('mayHaveRun'))
    if (intent !== undefined) {
      const need = { promptTokens: 0, maxTokens: 0, usage: intent.reserved }
      const startedAt = this.deps.timers.monotonic()
      const attempt: attempts.Attempt = { program, running, need, ctx: { traceparent: '' }, startedAt, deadline: startedAt + running.call.timeoutMs }
      const lost: errors.Result<types.DispatchAnswer> = errors.fail({ tag: 'upstreamUnavailable', verdict: 'mayHaveRun', message: 'an earlier home dispatched it', retryAfterMs: failures.logRetryMs })
      const end = await this.endOfIntent(attempt, { upstream: intent.upstream, host: intent.dispatchTo.host }, intent.dispatchTo, program.state.term, intent.at, lost)
      result = await this.recordEnd(attempt, end)
    }
    program.end(key)
    running.end(result)
  }

  private async recordEnd (attempt: attempts.Attempt, end: attempts.AttemptEnd): Promise<runningCalls.CallResult> {
    switch (end.type) {
      case 'answered': return await this.turns.recordAnswer(attempt, end)
      case 'recordFailure': return await this.turns.recordFailure(attempt, end)
      case 'failed': return errors.fail(end.failure)
      default: return errors.assertNever(end)
    }
  }

  private note (program: local.LocalProgram, step: types.DecisionStep, choice: string, reason: string, candidates: readonly string[]): void {
    program.note({ at: this.deps.timers.now() as types.EpochMs, step, choice, reason, candidates })
  }
}

function joinPath (prefix: string, path: string): string {
  return `${prefix.replace(/\/$/, '')}/${path.replace(/^\//, '')}`
}
