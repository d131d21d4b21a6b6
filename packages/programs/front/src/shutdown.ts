/** Graceful shutdown of a process: which requests it still passes on, and how those that can't end before it are answered. */
import type * as timerService from '@eelgrasswind/timer-service'
import type * as inbound from './inbound.js'

/** Retry-after during a shutdown, in ms: another process can serve the request now. */
const retryMs = 0
/** Refuses a request of a client. */
const refusal: inbound.Refusal = { type: 'shuttingDown', retryAfterMs: retryMs }

/** A request that has not ended. */
interface OpenRequest {
  readonly reply: Pick<inbound.Reply, 'refuseIfNotRun' | 'expire' | 'onEnd'>
  /** Monotonic ms. */
  readonly deadlineAt: number
  /** Headers of its refusal. */
  readonly refusalHeaders: readonly string[]
}

/** Whether a shutdown has begun, when requests have to end, and the requests that have not. */
export class Shutdown {
  private endsAt: number | undefined
  private readonly openRequests = new Set<OpenRequest>()

  constructor (private readonly ports: { readonly timers: Pick<timerService.TimerService, 'monotonic'> }) {}

  /**
   * Begins the shutdown, and refuses the requests that have not been passed on and may outlast it. `endsAt`: when those
   * that have not ended expire, in monotonic ms.
   */
  begin (endsAt: number): void {
    this.endsAt = endsAt
    for (const { reply, deadlineAt, refusalHeaders } of [...this.openRequests]) {
      if (!this.canFinish(deadlineAt)) reply.refuseIfNotRun(refusal, refusalHeaders)
    }
  }

  get hasBegun (): boolean {
    return this.endsAt !== undefined
  }

  /** Whether a request with this deadline, in monotonic ms, ends before it would expire. */
  canFinish (deadlineAt: number): boolean {
    return this.endsAt === undefined || deadlineAt <= this.endsAt
  }

  /** Follows a request until it ends. Refuses it and returns false if it may outlast the shutdown that has begun. */
  admit (reply: inbound.Reply, deadlineAt: number, refusalHeaders: readonly string[] = []): boolean {
    if (!this.canFinish(deadlineAt)) {
      reply.refuse(refusal, refusalHeaders)
      return false
    }
    const request = { reply, deadlineAt, refusalHeaders }
    this.openRequests.add(request)
    reply.onEnd(() => { this.openRequests.delete(request) })
    return true
  }

  /** Ends all requests: those that have not run are refused as such. Requests that arrive from now on are refused. */
  expire (): void {
    this.endsAt = Math.min(this.endsAt ?? Infinity, this.ports.timers.monotonic())
    for (const { reply, refusalHeaders } of [...this.openRequests]) {
      if (!reply.refuseIfNotRun(refusal, refusalHeaders)) reply.expire()
    }
  }
}
