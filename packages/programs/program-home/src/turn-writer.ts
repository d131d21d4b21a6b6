/** Writes how calls ended, until the fate of each record is known. */
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
import type * as learning from './learning.js'
import type * as ports from './ports.js'
import * as reserve from './reserve-budget.js'
import type * as runningCalls from './running-call.js'

export interface TurnWriterDeps {
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
  readonly config: ports.ConfigPort
  readonly learning: learning.Learning
  readonly tracer: tracing.Tracing
}

/** How long a caller waits for the record of an answer that is whole, in milliseconds. */
export const recordPatienceMs = 3_000

export class TurnWriter {
  /** Turns whose record is not confirmed yet. */
  unconfirmed = 0

  constructor (private readonly deps: TurnWriterDeps) {}

  async recordAnswer (attempt: attempts.Attempt, end: Extract<attempts.AttemptEnd, { type: 'answered' }>): Promise<runningCalls.CallResult> {
    const { program, running } = attempt
    const { tokens, outcome } = end.answer
    const usage = reserve.usageOf(this.deps.config(), running.call.target, tokens)
    const result = await this.recordTurn(attempt, { outcome, usage, tokens, upstream: end.upstream, startedAt: end.startedAt })
    if (result.ok && running.call.target.type === 'model') {
      program.lastUpstream = end.upstream
      program.lastHost = end.host
      program.cachedTokens = tokens.prompt + tokens.generated
      this.deps.learning.noteStretch(this.deps.timers.now() - end.startedAt, end.answer.ranMs)
      this.deps.learning.holdPrefix(program)
    }
    return result
  }

  async recordFailure (attempt: attempts.Attempt, end: Extract<attempts.AttemptEnd, { type: 'recordFailure' }>): Promise<runningCalls.CallResult> {
    const tokens = { prompt: 0, cached: 0, generated: 0 }
    return await this.recordTurn(attempt, { outcome: end.outcome, usage: attempt.need.usage, tokens, upstream: end.upstream, startedAt: end.startedAt })
  }

  /** Writes the turn until its fate is known. Those who wait are answered for now once it takes long. */
  private async recordTurn (attempt: attempts.Attempt, parts: Pick<types.Turn, 'outcome' | 'usage' | 'tokens' | 'upstream' | 'startedAt'>): Promise<runningCalls.CallResult> {
    const { program, running } = attempt
    const { key, branch, seq, target } = running.call
    const { timers } = this.deps
    const verdict = parts.outcome.type === 'failed' ? parts.outcome.verdict : 'ran'
    const turn: types.Turn = { key, branch, seq, digest: running.digest, target, ...parts, endedAt: timers.now() as types.EpochMs }
    const patience = timers.after(recordPatienceMs, () => running.answerForNow(failures.logUnavailable(verdict)))
    const span = this.deps.tracer.startSpan('log append', attempt.ctx.traceparent, { program: program.id })
    this.unconfirmed += 1
    try {
      const written = await journalWriter.writeUntilKnown(this.deps, program, { type: 'turn', turn, allowance: allowances.nextAllowance(this.deps.config(), program, attempt.need.usage, attempt.need.usage) })
      return written.ok ? errors.ok(checkCall.endOfTurn(turn, false)) : errors.fail({ ...written.failure, verdict })
    } finally {
      patience.cancel()
      span.end('ok')
      this.unconfirmed -= 1
    }
  }
}
