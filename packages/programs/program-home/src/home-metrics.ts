/** Sends the metrics of the programs and calls at home in this process. */
import type * as admitProgram from '@eelgrasswind/admit-program'
import type * as errors from '@eelgrasswind/errors'
import type * as metrics from '@eelgrasswind/metrics'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as runningCalls from './running-call.js'

/** One method per event. */
export class HomeMetrics {
  constructor (private readonly metrics: metrics.Metrics, private readonly now: () => number) {}

  onProgramStarted (): void {
    this.metrics.increment('program.started')
  }

  onProgramRefused (reason: admitProgram.AdmissionReason): void {
    this.metrics.increment('program.refused', 1, { reason: reason.type })
  }

  onProgramTakenOver (): void {
    this.metrics.increment('program.takeover')
  }

  onProgramFinished ({ start, at }: programState.ProgramState, result: types.FinishResult): void {
    const { kind, deadline } = start
    const now = this.now()
    this.metrics.increment('program.finished', 1, { kind, result })
    this.metrics.timing('program.latency', now - at, { kind })
    const isInTime = result === 'done' && now <= deadline
    this.metrics.increment(isInTime ? 'program.in_time' : 'program.late', 1, { kind })
  }

  onCallRepeated (): void {
    this.metrics.increment('call.repeated')
  }

  onCallRetried (failure: errors.Failure): void {
    this.metrics.increment('call.retried', 1, { reason: failure.tag })
  }

  onCallRefusedByBudget (): void {
    this.metrics.increment('budget.refused')
  }

  onFirstToken (elapsedMs: number): void {
    this.metrics.timing('call.first_token', elapsedMs)
  }

  onCallEnded (target: types.CallTarget['type'], result: runningCalls.CallResult, durationMs: number): void {
    this.metrics.increment('call.finished', 1, { target, result: result.ok ? result.value.outcome.type : 'failed' })
    this.metrics.timing('call.latency', durationMs, { target })
    if (result.ok) this.metrics.increment('cache.reused_tokens', result.value.tokens.cached)
    else this.metrics.increment('call.failed', 1, { reason: result.failure.tag, verdict: result.failure.verdict })
  }
}
