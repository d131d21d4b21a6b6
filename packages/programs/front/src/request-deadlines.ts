/** Deadlines of requests whose bodies are arriving, or that wait for the answer before them on their connection. */
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `RequestDeadlines`. */
export interface RequestDeadlinesPorts {
  readonly timers: Pick<timerService.TimerService, 'monotonic' | 'every'>
}

/** A request that is not served yet. */
export interface PendingRequest {
  /** Monotonic ms. */
  readonly deadlineAt: number
  /** Called once, if the deadline has passed. */
  readonly onDeadline: () => void
}

/** Time between two checks, in ms: a request may be kept that long past its deadline. */
const checkIntervalMs = 100

/** Checks all of them periodically: a timer for each request would cost those that are served at once. */
export class RequestDeadlines {
  private readonly requests = new Set<PendingRequest>()
  private checks: timerService.Subscription | undefined

  constructor (private readonly ports: RequestDeadlinesPorts) {}

  add (request: PendingRequest): void {
    this.requests.add(request)
    this.checks ??= this.ports.timers.every(checkIntervalMs, () => { this.check() })
  }

  delete (request: PendingRequest): void {
    this.requests.delete(request)
  }

  private check (): void {
    const now = this.ports.timers.monotonic()
    for (const request of [...this.requests]) {
      if (now < request.deadlineAt) continue
      this.requests.delete(request)
      request.onDeadline()
    }
    if (this.requests.size > 0) return
    this.checks?.cancel()
    this.checks = undefined
  }
}
