/** Connects a host to the process that meters a group of client accounts: counts are reported in batches, admission requests are sent at once. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountCount from './account-count.js'
import type * as accountUsage from './account-usage.js'
import * as meterCall from './meter-call.js'

/** Dependencies of a channel. */
export interface MeterChannelPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Name of this host, and of this process. */
  readonly host: string
  readonly incarnation: string
  /** Calls the current owner of the group. */
  readonly callOwner: (call: meterCall.MeterCall) => Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer>
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

/** Minimum interval between reports, in ms, and the interval per reporting host, in ms per host, which bounds the load of the owner. */
const reportIntervalMs = 600
const reportIntervalMsPerHost = 6
/** An owner counts a host as reporting for this many intervals: a report may be late. */
const reportTtlIntervals = 2
/** Retry interval for an unreachable owner, in ms. */
const ownerRetryMs = 150
/**
 * While the owner is unreachable, each host admits what its share of the limit allows, and other requests wait for the
 * next owner. After this time, in ms, they are refused. It is longer than the takeover from an owner that was killed:
 * its lease of 1.1 s, and three calls of a slow store, of 300 ms each.
 */
const maxOwnerWaitMs = 2_500
/** The same for a process that has just started and has heard no owner yet, in ms: it has no share, and the first owners open their groups while all processes start. */
const maxFirstOwnerWaitMs = 6_000
/** Retry-after time of a process without a share, in ms. */
const noShareRetryMs = 500
/** An account without requests for this long, in ms, is removed. */
const accountIdleMs = 10_000
/** Interval between two log lines about the usage of an account, in ms. */
const usageLineIntervalMs = 1_000
/** Term of a state that doesn't come from an owner. */
const noTerm = -1

function computeReportIntervalMs (hostCount: number): number {
  return Math.max(reportIntervalMs, reportIntervalMsPerHost * hostCount)
}

/** How long a report shows that its host knows no other owner, and uses no share of the limits, in ms. */
export function computeReportTtlMs (hostCount: number): number {
  return reportTtlIntervals * computeReportIntervalMs(hostCount)
}

/** The accounts of one group at this host. At most one call is in flight; whatever arrives meanwhile is sent with the next one. */
export class MeterChannel {
  private readonly counts = new Map<types.AccountId, accountCount.AccountCount>()
  private createdCounts = 0
  private reportTimer: timerService.Subscription | undefined
  /** When the next report is due, monotonic ms. */
  private reportDueAt = Infinity
  private usageTimer: timerService.Subscription | undefined
  private isCallInFlight = false
  private isClosed = false
  private sequence = 0
  /** Ownership term of the last answer, and when it arrived, monotonic ms. */
  private term = noTerm
  private answeredAt: number
  /** Number of hosts that the last answer named. */
  private hostsAtOwner = 0
  /** When the last call was made by which an owner may count this host as reporting, monotonic ms. */
  private reportedAt: number
  /** When the owner became unreachable, monotonic ms; `undefined` while it is reachable. */
  private unreachableSince: number | undefined
  /** The newest term that is known to have ended, and since when, monotonic ms. */
  private ended: { readonly term: number, readonly at: number } | undefined

  constructor (private readonly group: number, private readonly ports: MeterChannelPorts) {
    this.answeredAt = ports.timers.monotonic()
    this.reportedAt = this.answeredAt
    this.scheduleReport()
  }

  /** Admits or refuses a request. Without an allowance it waits for the owner's answer, for the next owner until `latestAt`, in monotonic ms. */
  acquire (account: types.AccountId, position: meterAccount.RequestPosition, latestAt: number): accountCount.AcquireResult | Promise<accountCount.AcquireResult> {
    const limit = this.ports.getLimit(account)
    if (limit === undefined) return { type: 'admitted', term: undefined }
    const count = this.getOrCreateCount(account)
    count.lastUsedAt = this.ports.timers.monotonic()
    this.expireAllowances()
    const admitted = position === 'further' ? count.takeAllowance() : undefined
    if (admitted !== undefined) {
      this.countUsage(count, 'allowance')
      this.scheduleReport()
      return admitted
    }
    if (this.unreachableSince !== undefined) {
      const result = this.acquireFromShare(account, count, limit, position)
      if (result.type === 'admitted') return result
      if (!this.mayWait(latestAt)) return this.refuse(count, result)
    }
    return new Promise((resolve) => {
      const pending = new accountCount.PendingRequest(position, latestAt, resolve)
      count.pending.push(pending)
      if (this.unreachableSince !== undefined) this.limitWait(account, count, pending, limit)
      // While the owner is unreachable, the request waits for the next scheduled report.
      if (this.unreachableSince === undefined) void this.sendReports()
      else this.scheduleReport()
    })
  }

  /** Undoes the count of a request that has not run; `term`: that of the owner that counts it. A later owner has not charged it. */
  refund (account: types.AccountId, position: meterAccount.RequestPosition, term: number | undefined): void {
    const count = this.counts.get(account)
    if (count === undefined || term === undefined || term !== this.term) return
    count.refund(position)
    this.countUsage(count, 'refunded')
    this.scheduleReport()
  }

  /** Removes idle accounts. */
  prune (): void {
    const expiresBefore = this.ports.timers.monotonic() - accountIdleMs
    for (const [account, count] of this.counts) {
      if (count.lastUsedAt < expiresBefore && !count.needsReport) this.counts.delete(account)
    }
  }

  /** Stops reporting. */
  close (): void {
    this.isClosed = true
    this.cancelReport()
    this.usageTimer?.cancel()
  }

  /** Whether a request may go on to wait for the next owner. */
  private mayWait (latestAt: number): boolean {
    return this.ports.timers.monotonic() < this.computeWaitEnd(latestAt)
  }

  private computeWaitEnd (latestAt: number): number {
    const longestMs = this.term === noTerm ? maxFirstOwnerWaitMs : maxOwnerWaitMs
    return Math.min(latestAt, (this.unreachableSince ?? Infinity) + longestMs)
  }

  /** When no owner counts this host as reporting any more, monotonic ms: its allowances end, and its share of the limits begins. */
  private get shareStartsAt (): number {
    return this.reportedAt + computeReportTtlMs(Math.min(this.hostsAtOwner, this.ports.countHosts()))
  }

  private expireAllowances (): void {
    if (this.unreachableSince === undefined || this.ports.timers.monotonic() < this.shareStartsAt) return
    for (const count of this.counts.values()) count.dropAllowance()
  }

  private getOrCreateCount (account: types.AccountId): accountCount.AccountCount {
    const existing = this.counts.get(account)
    if (existing !== undefined) return existing
    this.createdCounts += 1
    const created = new accountCount.AccountCount(this.createdCounts, noTerm)
    this.counts.set(account, created)
    return created
  }

  private refuse (count: accountCount.AccountCount, result: accountCount.LimitedResult): accountCount.LimitedResult {
    this.countUsage(count, 'refused')
    return result
  }

  private acquireFromShare (account: types.AccountId, count: accountCount.AccountCount, limit: meterAccount.MeterLimit, position: meterAccount.RequestPosition): accountCount.AcquireResult {
    const now = this.ports.timers.monotonic()
    const { host, random } = this.ports
    const hostCount = Math.max(this.ports.countHosts(), this.hostsAtOwner)
    // A process that has never heard an owner can't know how many hosts share the limit.
    const shareLimit = this.term === noTerm ? undefined : meterAccount.computeShareLimit(limit, { account, host, hostCount })
    if (shareLimit === undefined) return { type: 'limited', retryAfterMs: noShareRetryMs, by: 'share', requestsLeft: 0 }
    const startsAt = this.shareStartsAt
    count.shareMeter ??= meterAccount.createShareMeter(shareLimit, random(), startsAt)
    count.shareMeter = meterAccount.refillMeter({ ...count.shareMeter, limit: shareLimit }, now)
    const headroom = now < startsAt ? -1 : meterAccount.computeHeadroom(count.shareMeter, position)
    if (headroom < 0) {
      const retryAfterMs = meterAccount.computeWaitMs(headroom, shareLimit.requestsPerSecond, Math.max(0, startsAt - now))
      return { type: 'limited', retryAfterMs, by: 'share', requestsLeft: count.shareMeter.level }
    }
    count.shareMeter = meterAccount.spend(count.shareMeter, meterAccount.createSingleCount(position))
    this.countUsage(count, 'share')
    return { type: 'admitted', term: undefined }
  }

  /** Schedules the next report unless an earlier one is scheduled. Hosts report also when there is nothing to say, so that the owner knows that they do. */
  private scheduleReport (): void {
    const delayMs = this.unreachableSince === undefined ? computeReportIntervalMs(this.ports.countHosts()) : ownerRetryMs
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
    this.expireAllowances()
    const batch = this.collectBatch()
    if (batch.length === 0 && !this.ports.isLimiting()) {
      this.unreachableSince = undefined
      this.scheduleReport()
      return
    }
    this.isCallInFlight = true
    const answer = await this.callOwner(this.createCall(batch))
    this.isCallInFlight = false
    if (answer.type === 'metered' && answer.term >= this.term) this.applyAnswers(batch, answer)
    else this.noteFailure(batch, answer)
    const hasPending = [...this.counts.values()].some(({ pending }) => pending.length > 0)
    if (hasPending && this.unreachableSince === undefined) void this.sendReports()
    else this.scheduleReport()
  }

  /** Does not reject: the next report, and the requests of this one, wait for the answer. One that can't be used counts as none. */
  private async callOwner (call: meterCall.MeterCall): Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer> {
    try {
      const answer = await this.ports.callOwner(call)
      if (answer?.type !== 'noAnswer') meterCall.checkAnswer(answer)
      return answer
    } catch (err) {
      this.ports.decisions.record({ event: 'peerCallFailed', err })
      return { type: 'noAnswer', ended: false }
    }
  }

  private createCall (batch: readonly BatchItem[]): meterCall.MeterCall {
    const { host, incarnation, getVersion } = this.ports
    const now = this.ports.timers.monotonic()
    const usesShare = this.unreachableSince !== undefined
    if (!usesShare) this.reportedAt = now
    const ended = this.ended === undefined ? undefined : { term: this.ended.term, agoMs: now - this.ended.at }
    this.sequence += 1
    return { type: 'meter', group: this.group, version: getVersion(), host, incarnation, sequence: this.sequence, knownTerm: this.term, usesShare, ended, reports: batch.map(({ report }) => report) }
  }

  /** Moves pending requests from the counts into a batch. They are restored if the owner doesn't answer. */
  private collectBatch (): BatchItem[] {
    const now = this.ports.timers.monotonic()
    const batch: BatchItem[] = []
    for (const [account, count] of this.counts) {
      if (!count.needsReport) continue
      const limit = this.ports.getLimit(account)
      if (limit === undefined) {
        this.counts.delete(account)
        for (const request of count.pending) request.decide({ type: 'admitted', term: undefined })
        continue
      }
      // Owners of an earlier release charge what is reported as spent.
      const report = { account, limit, ...count.createReport(now), spent: meterAccount.noRequests }
      batch.push({ count, pending: count.pending.splice(0), limit, report })
    }
    return batch
  }

  private applyAnswers (batch: readonly BatchItem[], { term, hosts, answers }: Extract<meterCall.MeterCallAnswer, { type: 'metered' }>): void {
    this.noteAnswer(term, hosts, this.ports.timers.monotonic())
    this.unreachableSince = undefined
    const byAccount = new Map(answers.map((answer) => [answer.account, answer]))
    for (const { count, pending, limit, report } of batch) {
      const answer = byAccount.get(report.account)
      if (answer === undefined) {
        count.restoreReport()
        this.requeueOrDecide(report.account, count, pending, limit)
        continue
      }
      count.addAllowance(answer.allowance, term)
      const remaining = { ...answer.granted }
      const waiting = pending.filter(({ isDecided }) => !isDecided)
      // The owner takes back what it granted to the others once a report shows that it was not sent.
      if (waiting.length < pending.length) count.restoreReport()
      for (const request of waiting) {
        const { position } = request
        const isGranted = remaining[position] > 0
        this.countUsage(count, isGranted ? 'owner' : 'refused')
        if (isGranted) request.decide(count.grant(position, term))
        else request.decide({ type: 'limited', retryAfterMs: answer.waitMs[position], by: 'owner', requestsLeft: answer.state.level })
        remaining[position] -= 1
      }
    }
  }

  private noteFailure (batch: readonly BatchItem[], answer: meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer): void {
    const now = this.ports.timers.monotonic()
    this.noteEnd(answer, now)
    if (this.unreachableSince === undefined) this.startAbsence(describeFailure(answer), now)
    for (const { count, pending, limit, report } of batch) {
      count.restoreReport()
      this.requeueOrDecide(report.account, count, pending, limit)
    }
  }

  /** Notes that the owner of the last answer, or a later one, counts no more. */
  private noteEnd (answer: meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer, now: number): void {
    const endedTerm = answer.type === 'notOwner' ? answer.endedTerm : answer.type === 'noAnswer' && answer.ended ? this.term : undefined
    if (endedTerm !== undefined && endedTerm > (this.ended?.term ?? noTerm)) this.ended = { term: endedTerm, at: now }
  }

  private startAbsence (why: string, now: number): void {
    this.unreachableSince = now
    this.ports.decisions.record({ event: 'meterOwnerAway', group: this.group, why, term: this.term, answerAgeMs: Math.round(now - this.answeredAt), hosts: this.ports.countHosts() })
    for (const count of this.counts.values()) count.shareMeter = undefined
  }

  /** Logs a change of owner. */
  private noteAnswer (term: number, hosts: number, now: number): void {
    if (term !== this.term) this.ports.decisions.record({ event: 'meterOwnerChanged', group: this.group, term, former: this.term, answerAgeMs: Math.round(now - this.answeredAt) })
    this.term = term
    this.hostsAtOwner = hosts
    this.answeredAt = now
  }

  private countUsage (count: accountCount.AccountCount, decision: keyof accountUsage.UsageCounts): void {
    count.usage.count(decision)
    this.usageTimer ??= this.ports.timers.after(usageLineIntervalMs, () => {
      this.usageTimer = undefined
      this.logUsage()
    })
  }

  private logUsage (): void {
    const answerAgeMs = Math.round(this.ports.timers.monotonic() - this.answeredAt)
    for (const [account, { usage }] of this.counts) {
      const counts = usage.takeNotable()
      if (counts !== undefined) this.ports.decisions.record({ event: 'accountUsage', account, group: this.group, term: this.term, answerAgeMs, hosts: this.ports.countHosts(), ...counts })
    }
  }

  /** While the owner is unreachable, admits pending requests by the host's share of the limit. The others wait for the next owner if they may, and are refused if not. */
  private requeueOrDecide (account: types.AccountId, count: accountCount.AccountCount, pending: readonly accountCount.PendingRequest[], limit: meterAccount.MeterLimit): void {
    const isAway = this.unreachableSince !== undefined
    const waiting = pending.filter((request) => !request.isDecided && !(isAway && this.decideByShare(account, count, request, limit)))
    count.pending.unshift(...waiting)
    if (isAway) for (const request of waiting) this.limitWait(account, count, request, limit)
  }

  /** Returns whether the request is decided: it is not while it may wait for the next owner. */
  private decideByShare (account: types.AccountId, count: accountCount.AccountCount, request: accountCount.PendingRequest, limit: meterAccount.MeterLimit): boolean {
    const result = this.acquireFromShare(account, count, limit, request.position)
    if (result.type === 'limited' && this.mayWait(request.latestAt)) return false
    request.decide(result.type === 'admitted' ? result : this.refuse(count, result))
    return true
  }

  /** Decides a request once it may wait no longer, unless an owner is reachable again by then. */
  private limitWait (account: types.AccountId, count: accountCount.AccountCount, request: accountCount.PendingRequest, limit: meterAccount.MeterLimit): void {
    const { timers } = this.ports
    request.limitWait(timers, this.computeWaitEnd(request.latestAt) - timers.monotonic(), () => {
      if (this.unreachableSince !== undefined && this.decideByShare(account, count, request, limit)) count.removeDecided()
    })
  }
}

function describeFailure (answer: meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer): string {
  switch (answer.type) {
    case 'noAnswer': return answer.ended ? 'ended' : 'noAnswer'
    case 'notOwner': return answer.reason
    // A former owner that does not know its successor yet.
    case 'metered': return 'superseded'
  }
}

/** One account's report in a batch, with the requests that wait for its answer. */
interface BatchItem {
  readonly count: accountCount.AccountCount
  readonly pending: readonly accountCount.PendingRequest[]
  readonly limit: meterAccount.MeterLimit
  readonly report: meterCall.MeterReport
}
