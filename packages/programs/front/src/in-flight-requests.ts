/** Counts the requests that this process serves now, and logs how each ended. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import type * as inbound from './inbound.js'

/** What it takes to tell how requests ended. */
export interface RequestsPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** All requests from their arrival to their end, of clients and of peers. */
export class RequestsUnderWay {
  private running = 0

  constructor (private readonly ports: RequestsPorts) {}

  get count (): number {
    return this.running
  }

  /** A request is served; arrivedAt: monotonic ms. */
  add (res: http.ServerResponse, reply: inbound.Reply, attempt: dialects.ClientAttempt, kind: decisionLog.RequestKind, arrivedAt: number): void {
    const { timers, decisions } = this.ports
    const elapsed = (): number => Math.round(timers.monotonic() - arrivedAt)
    let firstMs: number | undefined
    this.running += 1
    res.once('close', () => { this.running -= 1 })
    reply.onHead(() => { firstMs = elapsed() })
    reply.onEnd((end) => { decisions.note({ event: 'ended', request: attempt.id, program: attempt.program, kind, ...end, firstMs, tookMs: elapsed() }) })
  }
}
