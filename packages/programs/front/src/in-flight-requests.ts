/** Counts the in-flight requests of this process, and logs how each ended. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import type * as inbound from './inbound.js'

/** Dependencies of `InFlightRequests`. */
export interface InFlightRequestsPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** The in-flight requests of clients and peers, from arrival to end. */
export class InFlightRequests {
  private inFlightCount = 0

  constructor (private readonly ports: InFlightRequestsPorts) {}

  get count (): number {
    return this.inFlightCount
  }

  /** Adds a request that arrived at `arrivedAt`, in monotonic ms. */
  add (res: http.ServerResponse, reply: inbound.Reply, attempt: dialects.ClientAttempt, kind: decisionLog.RequestKind, arrivedAt: number): void {
    const { timers, decisions } = this.ports
    const measureElapsedMs = (): number => Math.round(timers.monotonic() - arrivedAt)
    let firstMs: number | undefined
    this.inFlightCount += 1
    res.once('close', () => { this.inFlightCount -= 1 })
    reply.onHead(() => { firstMs = measureElapsedMs() })
    reply.onEnd((end) => { decisions.record({ event: 'ended', request: attempt.id, program: attempt.program, kind, ...end, firstMs, tookMs: measureElapsedMs() }) })
  }
}
