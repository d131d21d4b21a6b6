/** Brings the requests of client accounts to the process that counts them: reports in batches, questions at once. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** One batch of reports. */
export interface MeterCall {
  readonly type: 'meter'
  /** Names the group of accounts whose owner is asked. */
  readonly group: number
  /** Version of the configuration that the limits are from. */
  readonly version: number
  readonly reports: readonly meterAccount.MeterReport[]
}

/** What the owner says to it. */
export type MeterCallAnswer =
  | { readonly type: 'metered', readonly answers: readonly meterAccount.MeterAnswer[] }
  /** The asked process does not count these accounts. */
  | { readonly type: 'notOwner' }

/** What becomes of a request. */
export type Taken =
  | { readonly type: 'taken' }
  /** Decided by the owner, or by this host's own share of the limit while the owner can't be asked. */
  | { readonly type: 'limited', readonly retryAfterMs: number, readonly by: 'owner' | 'share', readonly requestsLeft: number }

/** What a channel needs from its process. */
export interface MeterChannelPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Makes the call at whoever owns the group now; `undefined`: no answer. */
  readonly call: (call: MeterCall) => Promise<MeterCallAnswer | undefined>
  /** The limit in force of an account; `undefined`: none. */
  readonly limitOf: (account: types.AccountId) => meterAccount.MeterLimit | undefined
  readonly version: () => number
  /** Hosts that send requests of accounts, this one included. */
  readonly hosts: () => number
}

interface Question {
  readonly part: meterAccount.RequestPosition
  readonly done: (taken: Taken) => void
}

/** One account at this host. */
interface Entry {
  belief: meterAccount.AccountEstimate | undefined
  /** Let through before the owner has said anything. */
  early: meterAccount.RequestCounts
  questions: Question[]
  /** What this host may send by itself while nobody counts. */
  share: meterAccount.AccountMeter | undefined
  usedAt: number
}

/** Pause between two reports, in ms, and how it grows with the hosts that report to one owner, in ms a host. */
const reportMs = 300
const reportMsPerHost = 3
/** Pause before an owner that did not answer is asked again, in ms. */
const againMs = 150
/**
 * While the owner changes, hosts go on by what they believe, and what would have to be asked waits. After this long, in
 * ms, each host keeps to its share instead: longer than an owner that ended is missed.
 */
const ownerlessMs = 1_000
/** A host by itself uses this part of its share: others may still be counted in full beyond a cut. */
const shareDivisor = 2
/** An account that sends nothing for this long is forgotten, in ms. */
const idleMs = 10_000
/** The term of what no owner has said. */
const noTerm = -1

/** The accounts of one group at this host. One call is under way at a time; what comes meanwhile goes with the next. */
export class MeterChannel {
  private readonly entries = new Map<types.AccountId, Entry>()
  private timer: timerService.Subscription | undefined
  private calling = false
  private readonly startedAt: number
  /** Since when the owner can't be asked, monotonic ms. */
  private failingSince: number | undefined

  constructor (private readonly group: number, private readonly ports: MeterChannelPorts) {
    this.startedAt = ports.timers.monotonic()
  }

  /** Lets a request through or not. */
  take (account: types.AccountId, part: meterAccount.RequestPosition): Taken | Promise<Taken> {
    const limit = this.ports.limitOf(account)
    if (limit === undefined) return { type: 'taken' }
    const now = this.ports.timers.monotonic()
    const entry = this.entryOf(account)
    entry.usedAt = now
    const belief = this.refresh(entry, limit, now)
    if (this.failingMs >= ownerlessMs) return this.takeFromShare(entry, limit, part)
    if (belief !== undefined && meterAccount.canSendUnasked(belief, part)) {
      entry.belief = meterAccount.countRequest(belief, part, 1)
      this.report()
      return { type: 'taken' }
    }
    return new Promise((resolve) => {
      entry.questions.push({ part, done: resolve })
      // A new owner is asked with the next report.
      if (this.failingSince === undefined) void this.flush()
      else this.report()
    })
  }

  /** Takes a request back that was let through and has not run. */
  refund (account: types.AccountId, part: meterAccount.RequestPosition): void {
    const entry = this.entries.get(account)
    if (entry?.belief === undefined) return
    entry.belief = meterAccount.countRequest(entry.belief, part, -1)
    this.report()
  }

  /** Forgets accounts that are quiet. */
  prune (): void {
    const oldest = this.ports.timers.monotonic() - idleMs
    for (const [account, entry] of this.entries) {
      if (entry.usedAt < oldest && entry.questions.length === 0) this.entries.delete(account)
    }
  }

  close (): void {
    this.timer?.cancel()
  }

  /** How long the owner can't be asked, in ms; 0 while it can. */
  private get failingMs (): number {
    return this.failingSince === undefined ? 0 : this.ports.timers.monotonic() - this.failingSince
  }

  private entryOf (account: types.AccountId): Entry {
    const known = this.entries.get(account)
    if (known !== undefined) return known
    const created: Entry = { belief: undefined, early: meterAccount.noRequests, questions: [], share: undefined, usedAt: 0 }
    this.entries.set(account, created)
    return created
  }

  /** The belief as of now, under the limit in force. */
  private refresh (entry: Entry, limit: meterAccount.MeterLimit, now: number): meterAccount.AccountEstimate | undefined {
    const { belief } = entry
    if (belief === undefined) return undefined
    const sameLimit = belief.meter.limit.requestsPerSecond === limit.requestsPerSecond && belief.meter.limit.burst === limit.burst
    const meter = sameLimit ? belief.meter : meterAccount.applyLimit(belief.meter, limit)
    // What becomes free while nobody counts is not known to be left.
    const filled = this.failingSince === undefined ? meterAccount.refillMeter(meter, now) : meter
    entry.belief = { ...belief, meter: filled }
    return entry.belief
  }

  private takeFromShare (entry: Entry, limit: meterAccount.MeterLimit, part: meterAccount.RequestPosition): Taken {
    const now = this.ports.timers.monotonic()
    const hosts = this.ports.hosts() * shareDivisor
    const share = entry.share ?? meterAccount.createFallbackMeter(limit, entry.belief, hosts, this.failingSince ?? now, now)
    const filled = meterAccount.refillMeter(meterAccount.applyLimit(share, meterAccount.divideLimit(limit, hosts)), now)
    entry.share = filled
    if (meterAccount.computeHeadroom(filled, part) < 0) return { type: 'limited', retryAfterMs: meterAccount.computeWaitMs(filled, part), by: 'share', requestsLeft: filled.level }
    entry.share = meterAccount.spend(filled, meterAccount.createSingleCount(part))
    if (entry.belief === undefined) entry.early = meterAccount.addCounts(entry.early, meterAccount.createSingleCount(part))
    else entry.belief = meterAccount.countRequest(entry.belief, part, 1)
    this.report()
    return { type: 'taken' }
  }

  /** Sends what has gathered, within a while. */
  private report (): void {
    if (this.timer !== undefined) return
    const pauseMs = this.failingSince === undefined ? Math.max(reportMs, reportMsPerHost * this.ports.hosts()) : againMs
    this.timer = this.ports.timers.after(pauseMs, () => {
      this.timer = undefined
      void this.flush()
    })
  }

  private async flush (): Promise<void> {
    if (this.calling) return
    this.timer?.cancel()
    this.timer = undefined
    const batch = this.gather()
    if (batch.length === 0) {
      // The next question tells whether the owner can be asked again.
      this.failingSince = undefined
      return
    }
    this.calling = true
    const answer = await this.ports.call({ type: 'meter', group: this.group, version: this.ports.version(), reports: batch.map(({ report }) => report) })
    this.calling = false
    if (answer?.type === 'metered') this.takeAnswers(batch, answer.answers)
    else this.noteFailure(batch, answer?.type ?? 'noAnswer')
    const isAsked = [...this.entries.values()].some(({ questions }) => questions.length > 0)
    if (isAsked && this.failingSince === undefined) void this.flush()
    else if (isAsked || this.hasUnreported() || this.failingSince !== undefined) this.report()
  }

  private hasUnreported (): boolean {
    return [...this.entries.values()].some((entry) => !meterAccount.isZero(spentOf(entry)))
  }

  /** Takes what is to be reported and asked out of the entries, until the answer says what became of it. */
  private gather (): Batched[] {
    const now = this.ports.timers.monotonic()
    const batch: Batched[] = []
    for (const [account, entry] of this.entries) {
      const spent = spentOf(entry)
      if (entry.questions.length === 0 && meterAccount.isZero(spent)) continue
      const limit = this.ports.limitOf(account)
      const questions = entry.questions.splice(0)
      if (limit === undefined) {
        this.entries.delete(account)
        for (const { done } of questions) done({ type: 'taken' })
        continue
      }
      const { belief } = entry
      const believed = belief === undefined ? this.quietBelief(limit, now) : { state: meterAccount.computeConfirmedState(belief, now), term: belief.term }
      batch.push({ entry, questions, limit, report: { account, limit, spent, asked: countParts(questions), believed } })
      entry.early = meterAccount.noRequests
      if (belief !== undefined) entry.belief = { ...belief, unreported: meterAccount.noRequests }
    }
    return batch
  }

  /** A host that has run for longer than accounts are remembered, and knows nothing of one, has let nothing through for it. */
  private quietBelief (limit: meterAccount.MeterLimit, now: number): meterAccount.ConfirmedState | undefined {
    if (now - this.startedAt < idleMs) return undefined
    return { state: meterAccount.createState(meterAccount.computeCapacity(limit)), term: noTerm }
  }

  private takeAnswers (batch: readonly Batched[], answers: readonly meterAccount.MeterAnswer[]): void {
    const now = this.ports.timers.monotonic()
    this.failingSince = undefined
    const byAccount = new Map(answers.map((answer) => [answer.account, answer]))
    for (const { entry, questions, limit, report } of batch) {
      const answer = byAccount.get(report.account)
      if (answer === undefined) {
        this.putBack(entry, report)
        this.keepOrDecide(entry, questions, limit)
        continue
      }
      entry.share = undefined
      entry.belief = meterAccount.createEstimate(limit, answer, spentOf(entry), now)
      entry.early = meterAccount.noRequests
      const left = { ...answer.granted }
      for (const { part, done } of questions) {
        if (left[part] > 0) done({ type: 'taken' })
        else done({ type: 'limited', retryAfterMs: answer.waitMs[part], by: 'owner', requestsLeft: answer.state.level })
        left[part] -= 1
      }
    }
  }

  private noteFailure (batch: readonly Batched[], why: string): void {
    const now = this.ports.timers.monotonic()
    if (this.failingSince === undefined) this.ports.decisions.note({ event: 'meterOwnerAway', group: this.group, why })
    this.failingSince ??= now
    for (const { entry, questions, limit, report } of batch) {
      this.putBack(entry, report)
      this.keepOrDecide(entry, questions, limit)
    }
  }

  private putBack (entry: Entry, report: meterAccount.MeterReport): void {
    if (entry.belief === undefined) entry.early = meterAccount.addCounts(entry.early, report.spent)
    else entry.belief = { ...entry.belief, unreported: meterAccount.addCounts(entry.belief.unreported, report.spent) }
  }

  /** Questions wait for the next owner, or are decided here where there was none for too long. */
  private keepOrDecide (entry: Entry, questions: readonly Question[], limit: meterAccount.MeterLimit): void {
    if (this.failingMs < ownerlessMs) {
      entry.questions.unshift(...questions)
      return
    }
    for (const { part, done } of questions) done(this.takeFromShare(entry, limit, part))
  }
}

interface Batched {
  readonly entry: Entry
  readonly questions: readonly Question[]
  readonly limit: meterAccount.MeterLimit
  readonly report: meterAccount.MeterReport
}

function spentOf (entry: Entry): meterAccount.RequestCounts {
  return entry.belief === undefined ? entry.early : meterAccount.addCounts(entry.belief.unreported, entry.early)
}

function countParts (questions: readonly Question[]): meterAccount.RequestCounts {
  const first = questions.filter(({ part }) => part === 'first').length
  return { first, further: questions.length - first }
}
