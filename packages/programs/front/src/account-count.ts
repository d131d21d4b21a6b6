/** What one host knows of an account: its requests, its allowance and its share. */
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as timerService from '@eelgrasswind/timer-service'
import * as accountUsage from './account-usage.js'

/** Whether a request is admitted. */
export type AcquireResult =
  | AdmittedResult
  /** Refused by the owner, or by this host's own share of the limit while the owner is unreachable. */
  | LimitedResult

/** An admitted request. */
export interface AdmittedResult {
  readonly type: 'admitted'
  /** Ownership term that counts the request; `undefined` if none does. */
  readonly term: number | undefined
}

/** A request beyond the limit. */
export interface LimitedResult {
  readonly type: 'limited'
  readonly retryAfterMs: number
  readonly by: 'owner' | 'share'
  readonly requestsLeft: number
}

/** A request that waits for the owner's answer. */
export class PendingRequest {
  private waitTimer: timerService.Subscription | undefined
  private hasResult = false

  /** `latestAt`: until then it may wait for the next owner, monotonic ms. */
  constructor (readonly position: meterAccount.RequestPosition, readonly latestAt: number, private readonly onDecided: (result: AcquireResult) => void) {}

  get isDecided (): boolean {
    return this.hasResult
  }

  decide (result: AcquireResult): void {
    this.hasResult = true
    this.waitTimer?.cancel()
    this.onDecided(result)
  }

  /** Calls `onEnd` after a time, in ms, if the request is not decided by then. */
  limitWait (timers: timerService.TimerService, waitMs: number, onEnd: () => void): void {
    this.waitTimer?.cancel()
    this.waitTimer = timers.after(Math.max(0, waitMs), onEnd)
  }
}

/** A host wants as many requests in advance as it has sent in one period of this length, in ms: about the time between two reports. It returns them after as long without a request. */
const usePeriodMs = 600

/** Counts the requests of one account at this host. */
export class AccountCount {
  readonly usage = new accountUsage.AccountUsage()
  readonly pending: PendingRequest[] = []
  /** Meter of this host's share of the limit, used while the owner is unreachable. */
  shareMeter: meterAccount.AccountMeter | undefined
  /** Monotonic ms. */
  lastUsedAt = 0
  private total = meterAccount.noRequests
  /** The total of the last report. */
  private reportedTotal = meterAccount.noRequests
  private allowance = 0
  private allowanceTerm: number
  /** Further requests in the present period and in the one before, and when the present one began, monotonic ms. */
  private recentRequests = 0
  private formerRequests = 0
  private periodStartedAt = -Infinity
  private hasUnreported = false

  /** `counter`: distinct for each count of this process. */
  constructor (private readonly counter: number, noTerm: number) {
    this.allowanceTerm = noTerm
  }

  /** Whether the owner is to hear of this count: requests were sent or wait, or there is an allowance to keep or return. */
  get needsReport (): boolean {
    return this.hasUnreported || this.pending.length > 0 || this.allowance > 0
  }

  /** Takes a further request from the allowance; `undefined` if none is left. */
  takeAllowance (): AdmittedResult | undefined {
    if (this.allowance < 1) return undefined
    this.allowance -= 1
    this.addSent('further')
    return { type: 'admitted', term: this.allowanceTerm }
  }

  /** Counts a request that the owner of a term has granted. */
  grant (position: meterAccount.RequestPosition, term: number): AdmittedResult {
    this.addSent(position)
    return { type: 'admitted', term }
  }

  /** Undoes the count of a request that has not run. */
  refund (position: meterAccount.RequestPosition): void {
    this.total = meterAccount.subtractCounts(this.total, meterAccount.createSingleCount(position))
    this.hasUnreported = true
  }

  /** Gives the allowance up: its owner counts it as sent by now. */
  dropAllowance (): void {
    this.allowance = 0
  }

  /** Creates a report. Returns what of the allowance is more than the host is likely to need. */
  createReport (now: number): Pick<meterAccount.MeterReport, 'counter' | 'total' | 'kept' | 'allowanceTerm' | 'wanted' | 'asked'> {
    const asked = countPositions(this.pending)
    if (now - this.periodStartedAt >= usePeriodMs) this.startPeriod(now)
    const wanted = Math.max(this.formerRequests, this.recentRequests) + asked.further
    this.allowance = now - this.lastUsedAt < usePeriodMs ? Math.min(this.allowance, wanted) : 0
    this.hasUnreported = false
    this.reportedTotal = this.total
    return { counter: this.counter, total: this.total, kept: this.allowance, allowanceTerm: this.allowanceTerm, wanted, asked }
  }

  /** Forgets requests that wait no longer. */
  removeDecided (): void {
    const waiting = this.pending.filter(({ isDecided }) => !isDecided)
    this.pending.splice(0, this.pending.length, ...waiting)
  }

  /** Notes that a report was not answered. */
  restoreReport (): void {
    this.hasUnreported = true
  }

  /**
   * Adds the allowance of an answer. One that another owner gave ends: what is left of it, and what was sent of it since the
   * report, is charged there.
   */
  addAllowance (allowance: number, term: number): void {
    if (term !== this.allowanceTerm) {
      this.total = this.reportedTotal
      this.allowance = 0
      this.allowanceTerm = term
    }
    this.allowance += allowance
  }

  private startPeriod (now: number): void {
    this.formerRequests = now - this.periodStartedAt < 2 * usePeriodMs ? this.recentRequests : 0
    this.recentRequests = 0
    this.periodStartedAt = now
  }

  private addSent (position: meterAccount.RequestPosition): void {
    this.total = meterAccount.addCounts(this.total, meterAccount.createSingleCount(position))
    if (position === 'further') this.recentRequests += 1
    this.hasUnreported = true
  }
}

function countPositions (pending: readonly PendingRequest[]): meterAccount.RequestCounts {
  const first = pending.filter(({ position }) => position === 'first').length
  return { first, further: pending.length - first }
}
