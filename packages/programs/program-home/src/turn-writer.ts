/** Records how calls ended as turns, and retries until each record is confirmed. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import * as allowances from './allowance.js'
import type * as attempts from './attempt.js'
import * as checkCall from './check-call.js'
import * as failures from './home-failures.js'
import * as journalWriter from './journal-writer.js'
import type * as workloadModel from './workload-model.js'
import type * as ports from './ports.js'
import * as reserve from './reserve-budget.js'
import type * as runningCalls from './running-call.js'

export interface TurnWriterDeps {
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
  readonly config: ports.ConfigPort
  readonly workloadModel: workloadModel.WorkloadModel
  readonly tracer: tracing.Tracing
}

/** How long a caller waits for the record of its complete answer before it gets a failure. */
export const recordTimeoutMs = 3_000

/** Appends turn records. */
export class TurnWriter {
  /** Number of turns whose record is not confirmed yet. */
  unconfirmedCount = 0

  constructor (private readonly deps: TurnWriterDeps) {}

  /** Records an answer. For a model call, it also updates the cache location of the program and holds its prefix. */
  async recordAnswer (attempt: attempts.Attempt, attemptOutcome: Extract<attempts.AttemptOutcome, { type: 'answered' }>): Promise<runningCalls.CallResult> {
    const { program, runningCall } = attempt
    const { tokens, outcome } = attemptOutcome.answer
    const usage = reserve.computeUsage(this.deps.config(), runningCall.call.target, tokens)
    const result = await this.recordTurn(attempt, { outcome, usage, tokens, upstream: attemptOutcome.upstream, startedAt: attemptOutcome.startedAt })
    if (result.ok && runningCall.call.target.type === 'model') {
      program.lastUpstream = attemptOutcome.upstream
      program.lastHost = attemptOutcome.host
      program.cachedTokens = tokens.prompt + tokens.generated
      this.deps.workloadModel.observeSlowdown(this.deps.timers.now() - attemptOutcome.startedAt, attemptOutcome.answer.ranMs)
      this.deps.workloadModel.holdPrefix(program)
    }
    return result
  }

  /** Records a failure of a call that ran or may have run; its whole estimate counts as used. */
  async recordFailure (attempt: attempts.Attempt, attemptOutcome: Extract<attempts.AttemptOutcome, { type: 'recordFailure' }>): Promise<runningCalls.CallResult> {
    const tokens = { prompt: 0, cached: 0, generated: 0 }
    return await this.recordTurn(attempt, { outcome: attemptOutcome.outcome, usage: attempt.estimate.usage, tokens, upstream: attemptOutcome.upstream, startedAt: attemptOutcome.startedAt })
  }

  /** Appends the turn until its outcome is known. Waiting requests fail with `logUnavailable` after `recordTimeoutMs`. */
  private async recordTurn (attempt: attempts.Attempt, fields: Pick<types.Turn, 'outcome' | 'usage' | 'tokens' | 'upstream' | 'startedAt'>): Promise<runningCalls.CallResult> {
    const { program, runningCall } = attempt
    const { key, branch, seq, target } = runningCall.call
    const { timers } = this.deps
    const verdict = fields.outcome.type === 'failed' ? fields.outcome.verdict : 'ran'
    const turn: types.Turn = { key, branch, seq, digest: runningCall.digest, target, ...fields, endedAt: timers.now() as types.EpochMs }
    const timeout = timers.after(recordTimeoutMs, () => runningCall.failInterim(failures.createLogUnavailableFailure(verdict)))
    const span = this.deps.tracer.startSpan('log append', attempt.ctx.traceparent, { program: program.id })
    this.unconfirmedCount += 1
    try {
      const written = await journalWriter.appendUntilResolved(this.deps, program, { type: 'turn', turn, allowance: allowances.computeNextAllowance(this.deps.config(), program, attempt.estimate.usage, attempt.estimate.usage) })
      return written.ok ? errors.ok(checkCall.toCallEnd(turn, false)) : errors.fail({ ...written.failure, verdict })
    } finally {
      timeout.cancel()
      span.end('ok')
      this.unconfirmedCount -= 1
    }
  }
}
