/** Connects a host to the process that meters a group of client accounts: counts are reported in batches, admission requests are sent at once. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountUsage from './account-usage.js'
import type * as meterCall from './meter-call.js'

/** Whether a request is admitted. */
export type AcquireResult =
  | { readonly type: 'admitted' }
  /** Refused by the owner, or by this host's own share of the limit while the owner is unreachable. */
  | LimitedResult

/** A request beyond the limit. */
export interface LimitedResult {
  readonly type: 'limited'
  readonly retryAfterMs: number
  readonly by: 'owner' | 'share'
  readonly requestsLeft: number
}

/** Dependencies of a channel. */
export interface MeterChannelPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Name of this host. */
  readonly host: string
  /** Calls the current owner of the group; `undefined` if there is no answer. */
  readonly callOwner: (call: meterCall.MeterCall) => Promise<meterCall.MeterCallAnswer | undefined>
  /** Returns the limit of an account; `undefined` if it has none. */
  readonly getLimit: (account: types.AccountId) => meterAccount.MeterLimit | undefined
  /** Returns the configuration version in force. */
  readonly getVersion: () => number
  /** Whether any account has a limit: without one, nothing is reported. */
  readonly isLimiting: () => boolean
  /** Number of hosts that admit requests of accounts, including this one. */
  readonly countHosts: () => number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** A request that waits for the owner's answer. */
interface PendingRequest {
  readonly position: meterAccount.RequestPosition
  readonly onDecided: (result: AcquireResult) => void
}

/** State of one account at this host. */
interface AccountEntry {
  estimate: meterAccount.AccountEstimate | undefined
  /** Unreported requests that were admitted before the first answer of the owner. */
  admittedEarly: meterAccount.RequestCounts
  pending: PendingRequest[]
  /** Meter of this host's share of the limit, used while the owner is unreachable. */
  fallbackMeter: meterAccount.AccountMeter | undefined
  /** The owner was unreachable after the estimate was made: others may have used what it says is left. */
  isOutdated: boolean
  readonly usage: accountUsage.AccountUsage
  lastUsedAt: number
}

/** Minimum interval between reports, in ms, and the interval per reporting host, in ms per host, which bounds the load of the owner. */
const reportIntervalMs = 300
const reportIntervalMsPerHost = 3
/** A host reports at least once in this many intervals, so that the owner knows which hosts report to it. */
const keepAliveIntervals = 2
/** An owner counts a host as reporting for this many intervals: one report may be lost. */
const reportTtlIntervals = 4
/** Retry interval for an unreachable owner, in ms. */
const ownerRetryMs = 150
/**
 * While the owner is unreachable, each host admits what its share of the limit allows, and other requests wait for the
 * next owner. After this time, in ms, they are refused. It is longer than the takeover from an owner that has exited.
 */
const maxOwnerWaitMs = 1_000
/** Retry-after time of a process that no owner has answered yet, in ms. */
const noOwnerRetryMs = 500
/** An account without requests for this long, in ms, is removed. */
const accountIdleMs = 10_000
/** Interval between two log lines about the usage of an account, in ms. */
const usageLineIntervalMs = 1_000
/** Term of a state that doesn't come from an owner. */
const noTerm = -1

function computeReportIntervalMs (hostCount: number): number {
  return Math.max(reportIntervalMs, reportIntervalMsPerHost * hostCount)
}

/** How long a report shows that its host knows no other owner, in ms. */
export function computeReportTtlMs (hostCount: number): number {
  return reportTtlIntervals * computeReportIntervalMs(hostCount)
}

/** The accounts of one group at this host. At most one call is in flight; whatever arrives meanwhile is sent with the next one. */
export class MeterChannel {
  private readonly entries = new Map<types.AccountId, AccountEntry>()
  private reportTimer: timerService.Subscription | undefined
  /** When the next report is due, monotonic ms. */
  private reportDueAt = Infinity
  private usageTimer: timerService.Subscription | undefined
  private isCallInFlight = false
  private isClosed = false
  /** Ownership term of the last answer, and when it arrived, monotonic ms. */
  private term = noTerm
  private answeredAt: number
  /** Monotonic ms. */
  private readonly startedAt: number
  /** Number of hosts that the last answer named. */
  private hostsAtOwner = 0
  /** When the owner became unreachable, monotonic ms; `undefined` while it is reachable. */
  private unreachableSince: number | undefined

  constructor (private readonly group: number, private readonly ports: MeterChannelPorts) {
    this.startedAt = ports.timers.monotonic()
    this.answeredAt = this.startedAt
    this.scheduleReport(this.keepAliveMs)
  }

  /** Admits or refuses a request. Near the limit it waits for the owner's answer. */
  acquire (account: types.AccountId, position: meterAccount.RequestPosition): AcquireResult | Promise<AcquireResult> {
    const limit = this.ports.getLimit(account)
    if (limit === undefined) return { type: 'admitted' }
    const now = this.ports.timers.monotonic()
    const entry = this.getOrCreateEntry(account)
    entry.lastUsedAt = now
    const estimate = this.refreshEstimate(entry, limit, now)
    if (this.unreachableSince !== undefined) {
      const result = this.acquireFromShare(entry, limit, position)
      if (result.type === 'admitted') return result
      if (this.unreachableMs >= maxOwnerWaitMs) return this.refuse(entry, result)
    } else if (!entry.isOutdated && estimate !== undefined && meterAccount.canSendUnasked(estimate, position)) {
      entry.estimate = meterAccount.countRequest(estimate, position, 1)
      this.countUsage(entry, 'estimate')
      this.scheduleReport()
      return { type: 'admitted' }
    }
    return new Promise((resolve) => {
      entry.pending.push({ position, onDecided: resolve })
      // While the owner is unreachable, the request waits for the next scheduled report.
      if (this.unreachableSince === undefined) void this.sendReports()
      else this.scheduleReport()
    })
  }

  /** Undoes the count of a request that was admitted but has not run. */
  refund (account: types.AccountId, position: meterAccount.RequestPosition): void {
    const entry = this.entries.get(account)
    if (entry?.estimate === undefined) return
    entry.estimate = meterAccount.countRequest(entry.estimate, position, -1)
    this.countUsage(entry, 'refunded')
    this.scheduleReport()
  }

  /** Removes idle accounts. */
  prune (): void {
    const expiresBefore = this.ports.timers.monotonic() - accountIdleMs
    for (const [account, entry] of this.entries) {
      if (entry.lastUsedAt < expiresBefore && entry.pending.length === 0) this.entries.delete(account)
    }
  }

  /** Stops reporting. */
  close (): void {
    this.isClosed = true
    this.cancelReport()
    this.usageTimer?.cancel()
  }

  /** How long the owner has been unreachable, in ms; 0 while it is reachable. */
  private get unreachableMs (): number {
    return this.unreachableSince === undefined ? 0 : this.ports.timers.monotonic() - this.unreachableSince
  }

  private getOrCreateEntry (account: types.AccountId): AccountEntry {
    const existing = this.entries.get(account)
    if (existing !== undefined) return existing
    const created: AccountEntry = { estimate: undefined, admittedEarly: meterAccount.noRequests, pending: [], fallbackMeter: undefined, isOutdated: false, usage: new accountUsage.AccountUsage(), lastUsedAt: 0 }
    this.entries.set(account, created)
    return created
  }

  /** Updates the estimate to the current time and limit. */
  private refreshEstimate (entry: AccountEntry, limit: meterAccount.MeterLimit, now: number): meterAccount.AccountEstimate | undefined {
    const { estimate } = entry
    if (estimate === undefined) return undefined
    const isSameLimit = estimate.meter.limit.requestsPerSecond === limit.requestsPerSecond && estimate.meter.limit.burst === limit.burst
    const meter = isSameLimit ? estimate.meter : meterAccount.applyLimit(estimate.meter, limit)
    // Without an owner the estimate is not refilled, as other hosts may use what becomes free.
    const refilled = this.unreachableSince === undefined ? meterAccount.refillMeter(meter, now) : meter
    entry.estimate = { ...estimate, meter: refilled }
    return entry.estimate
  }

  private refuse (entry: AccountEntry, result: LimitedResult): LimitedResult {
    this.countUsage(entry, 'refused')
    return result
  }

  private acquireFromShare (entry: AccountEntry, limit: meterAccount.MeterLimit, position: meterAccount.RequestPosition): AcquireResult {
    // A process that has never heard an owner can't know how many hosts share the limit.
    if (this.term === noTerm) return { type: 'limited', retryAfterMs: noOwnerRetryMs, by: 'share', requestsLeft: 0 }
    const now = this.ports.timers.monotonic()
    const hostCount = Math.max(this.ports.countHosts(), this.hostsAtOwner)
    const fallbackMeter = entry.fallbackMeter ?? meterAccount.createFallbackMeter(limit, entry.estimate, hostCount, this.ports.random(), now)
    const refilled = meterAccount.refillMeter({ ...fallbackMeter, limit: meterAccount.computeFallbackLimit(limit, hostCount) }, now)
    entry.fallbackMeter = refilled
    if (meterAccount.computeHeadroom(refilled, position) < 0) {
      return { type: 'limited', retryAfterMs: meterAccount.computeWaitMs(refilled, position), by: 'share', requestsLeft: refilled.level }
    }
    entry.fallbackMeter = meterAccount.spend(refilled, meterAccount.createSingleCount(position))
    if (entry.estimate === undefined) entry.admittedEarly = meterAccount.addCounts(entry.admittedEarly, meterAccount.createSingleCount(position))
    else entry.estimate = meterAccount.countRequest(entry.estimate, position, 1)
    this.countUsage(entry, 'share')
    this.scheduleReport()
    return { type: 'admitted' }
  }

  private get keepAliveMs (): number {
    return keepAliveIntervals * computeReportIntervalMs(this.ports.countHosts())
  }

  /** Schedules the next report unless an earlier one is scheduled. */
  private scheduleReport (delayMs = this.unreachableSince === undefined ? computeReportIntervalMs(this.ports.countHosts()) : ownerRetryMs): void {
    const dueAt = this.ports.timers.monotonic() + delayMs
    if (this.isClosed || this.reportDueAt <= dueAt) return
    this.cancelReport()
    this.reportDueAt = dueAt
    this.reportTimer = this.ports.timers.after(delayMs, () => {
      this.cancelReport()
      void this.sendReports()
    })
  }

  private cancelReport (): void {
    this.reportTimer?.cancel()
    this.reportTimer = undefined
    this.reportDueAt = Infinity
  }

  private async sendReports (): Promise<void> {
    if (this.isCallInFlight) return
    this.cancelReport()
    const batch = this.collectBatch()
    if (batch.length === 0 && !this.ports.isLimiting()) {
      this.unreachableSince = undefined
      this.scheduleReport(this.keepAliveMs)
      return
    }
    this.isCallInFlight = true
    const { host } = this.ports
    const answer = await this.ports.callOwner({ type: 'meter', group: this.group, version: this.ports.getVersion(), host, knownTerm: this.term, reports: batch.map(({ report }) => report) })
    this.isCallInFlight = false
    if (answer?.type === 'metered') this.applyAnswers(batch, answer)
    else this.noteFailure(batch, answer?.reason ?? 'noAnswer')
    const hasPending = [...this.entries.values()].some(({ pending }) => pending.length > 0)
    if (hasPending && this.unreachableSince === undefined) void this.sendReports()
    else if (hasPending || this.hasUnreported() || this.unreachableSince !== undefined) this.scheduleReport()
    else this.scheduleReport(this.keepAliveMs)
  }

  private hasUnreported (): boolean {
    return [...this.entries.values()].some((entry) => !meterAccount.isZero(countUnreported(entry)))
  }

  /** Moves unreported counts and pending requests from the entries into a batch. They are restored if the owner doesn't answer. */
  private collectBatch (): BatchItem[] {
    const now = this.ports.timers.monotonic()
    const batch: BatchItem[] = []
    for (const [account, entry] of this.entries) {
      const spent = countUnreported(entry)
      if (entry.pending.length === 0 && meterAccount.isZero(spent)) continue
      const limit = this.ports.getLimit(account)
      const pending = entry.pending.splice(0)
      if (limit === undefined) {
        this.entries.delete(account)
        for (const { onDecided } of pending) onDecided({ type: 'admitted' })
        continue
      }
      const { estimate } = entry
      const believed = estimate === undefined ? this.createIdleState(limit, now) : { state: meterAccount.computeConfirmedState(estimate, now), term: estimate.term }
      batch.push({ entry, pending, limit, report: { account, limit, spent, asked: countPositions(pending), believed } })
      entry.admittedEarly = meterAccount.noRequests
      if (estimate !== undefined) entry.estimate = { ...estimate, unreported: meterAccount.noRequests }
    }
    return batch
  }

  /** A host that has run for longer than accounts are remembered and has no estimate of an account has admitted no requests for it, so it reports the full capacity. */
  private createIdleState (limit: meterAccount.MeterLimit, now: number): meterAccount.ConfirmedState | undefined {
    if (now - this.startedAt < accountIdleMs) return undefined
    return { state: meterAccount.createState(meterAccount.computeCapacity(limit)), term: noTerm }
  }

  private applyAnswers (batch: readonly BatchItem[], { term, hosts, answers }: Extract<meterCall.MeterCallAnswer, { type: 'metered' }>): void {
    const now = this.ports.timers.monotonic()
    this.noteAnswer(term, hosts, now)
    this.unreachableSince = undefined
    const byAccount = new Map(answers.map((answer) => [answer.account, answer]))
    for (const { entry, pending, limit, report } of batch) {
      const answer = byAccount.get(report.account)
      if (answer === undefined) {
        this.restoreUnreported(entry, report)
        this.requeueOrDecide(entry, pending, limit)
        continue
      }
      entry.isOutdated = false
      entry.estimate = meterAccount.createEstimate(limit, answer, countUnreported(entry), now)
      entry.admittedEarly = meterAccount.noRequests
      const remaining = { ...answer.granted }
      for (const { position, onDecided } of pending) {
        const isGranted = remaining[position] > 0
        this.countUsage(entry, isGranted ? 'owner' : 'refused')
        if (isGranted) onDecided({ type: 'admitted' })
        else onDecided({ type: 'limited', retryAfterMs: answer.waitMs[position], by: 'owner', requestsLeft: answer.state.level })
        remaining[position] -= 1
      }
    }
  }

  private noteFailure (batch: readonly BatchItem[], why: string): void {
    const now = this.ports.timers.monotonic()
    if (this.unreachableSince === undefined) this.startAbsence(why, now)
    for (const { entry, pending, limit, report } of batch) {
      this.restoreUnreported(entry, report)
      this.requeueOrDecide(entry, pending, limit)
    }
  }

  private startAbsence (why: string, now: number): void {
    this.unreachableSince = now
    this.ports.decisions.record({ event: 'meterOwnerAway', group: this.group, why, term: this.term, answerAgeMs: Math.round(now - this.answeredAt), hosts: this.ports.countHosts() })
    for (const entry of this.entries.values()) {
      entry.isOutdated = true
      entry.fallbackMeter = undefined
    }
  }

  /** Logs a change of owner. */
  private noteAnswer (term: number, hosts: number, now: number): void {
    if (term !== this.term) this.ports.decisions.record({ event: 'meterOwnerChanged', group: this.group, term, former: this.term, answerAgeMs: Math.round(now - this.answeredAt) })
    this.term = term
    this.hostsAtOwner = hosts
    this.answeredAt = now
  }

  private countUsage (entry: AccountEntry, decision: keyof accountUsage.UsageCounts): void {
    entry.usage.count(decision)
    this.usageTimer ??= this.ports.timers.after(usageLineIntervalMs, () => {
      this.usageTimer = undefined
      this.logUsage()
    })
  }

  private logUsage (): void {
    const answerAgeMs = Math.round(this.ports.timers.monotonic() - this.answeredAt)
    for (const [account, { usage }] of this.entries) {
      const counts = usage.takeNotable()
      if (counts !== undefined) this.ports.decisions.record({ event: 'accountUsage', account, group: this.group, term: this.term, answerAgeMs, hosts: this.ports.countHosts(), ...counts })
    }
  }

  private restoreUnreported (entry: AccountEntry, report: meterAccount.MeterReport): void {
    if (entry.estimate === undefined) entry.admittedEarly = meterAccount.addCounts(entry.admittedEarly, report.spent)
    else entry.estimate = { ...entry.estimate, unreported: meterAccount.addCounts(entry.estimate.unreported, report.spent) }
  }

  /** Requeues pending requests for the next owner, or decides them by the host's share if the owner has been unreachable for too long. */
  private requeueOrDecide (entry: AccountEntry, pending: readonly PendingRequest[], limit: meterAccount.MeterLimit): void {
    if (this.unreachableMs < maxOwnerWaitMs) {
      entry.pending.unshift(...pending)
      return
    }
    for (const { position, onDecided } of pending) {
      const result = this.acquireFromShare(entry, limit, position)
      onDecided(result.type === 'admitted' ? result : this.refuse(entry, result))
    }
  }
}

/** One account's report in a batch, with the requests that wait for its answer. */
interface BatchItem {
  readonly entry: AccountEntry
  readonly pending: readonly PendingRequest[]
  readonly limit: meterAccount.MeterLimit
  readonly report: meterAccount.MeterReport
}

function countUnreported (entry: AccountEntry): meterAccount.RequestCounts {
  return entry.estimate === undefined ? entry.admittedEarly : meterAccount.addCounts(entry.estimate.unreported, entry.admittedEarly)
}

function countPositions (pending: readonly PendingRequest[]): meterAccount.RequestCounts {
  const first = pending.filter(({ position }) => position === 'first').length
  return { first, further: pending.length - first }
}
