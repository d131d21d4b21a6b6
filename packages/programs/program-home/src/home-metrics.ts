/** What a home counts of its programs and calls. */
import type * as admitProgram from '@eelgrasswind/admit-program'
import type * as errors from '@eelgrasswind/errors'
import type * as metrics from '@eelgrasswind/metrics'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as runningCalls from './running-call.js'

export class HomeMetrics {
  constructor (private readonly sent: metrics.Metrics, private readonly now: () => number) {}

  programStarted (): void {
    this.sent.increment('program.started')
  }

  programRefused (reason: admitProgram.AdmissionReason): void {
    this.sent.increment('program.refused', 1, { reason: reason.type })
  }

  programTakenOver (): void {
    this.sent.increment('program.takeover')
  }

  programFinished ({ start, at }: programState.ProgramState, result: types.FinishResult): void {
    const { kind, deadline } = start
    const now = this.now()
    this.sent.increment('program.finished', 1, { kind, result })
    this.sent.timing('program.latency', now - at, { kind })
    const inTime = result === 'done' && now <= deadline
    this.sent.increment(inTime ? 'program.in_time' : 'program.late', 1, { kind })
  }

  callRepeated (): void {
    this.sent.increment('call.repeated')
  }

  callRetried (failure: errors.Failure): void {
    this.sent.increment('call.retried', 1, { reason: failure.tag })
  }

  callRefusedByBudget (): void {
    this.sent.increment('budget.refused')
  }

  firstToken (afterMs: number): void {
    this.sent.timing('call.first_token', afterMs)
  }

  callEnded (target: types.CallTarget['type'], result: runningCalls.CallResult, tookMs: number): void {
    this.sent.increment('call.finished', 1, { target, result: result.ok ? result.value.outcome.type : 'failed' })
    this.sent.timing('call.latency', tookMs, { target })
    if (result.ok) this.sent.increment('cache.reused_tokens', result.value.tokens.cached)
    else this.sent.increment('call.failed', 1, { reason: result.failure.tag, verdict: result.failure.verdict })
  }
}
