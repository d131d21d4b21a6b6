/** The owner's side: the counts of the accounts of one group in one ownership term, and the answers to the reports of hosts. */
import type * as types from '@eelgrasswind/types'
import * as accountFloor from './account-floor.js'
import * as accountMeter from './account-meter.js'
import * as shareClock from './share-clock.js'

/** A host's report for one account, with the requests for which it needs permission. */
export interface MeterReport {
  readonly account: types.AccountId
  readonly limit: accountMeter.MeterLimit
  /** Identifies the host's count: a host that has forgotten an account begins another one. */
  readonly counter: number
  /** All requests of this count that the host has sent with an owner's permission. */
  readonly total: accountMeter.RequestCounts
  /** Part of its allowance that the host goes on to use, and the term that gave it. */
  readonly kept: number
  readonly allowanceTerm: number
  /** Requests that the host expects to send until its next report. */
  readonly wanted: number
  /** Requests that wait at the host for the owner's decision. */
  readonly asked: accountMeter.RequestCounts
  /** Only from hosts of an earlier release, which report what they have sent in place of a total. */
  readonly earlierSpent?: accountMeter.RequestCounts | undefined
}

/** The owner's answer to a report. */
export interface MeterAnswer {
  readonly account: types.AccountId
  readonly term: number
  readonly state: accountMeter.MeterState
  /** How many of the requests asked for may be sent. */
  readonly granted: accountMeter.RequestCounts
  /** Further requests that the host may send without asking, besides those that it kept. */
  readonly allowance: number
  /** Retry-after time for the others, in ms. */
  readonly waitMs: accountMeter.RequestCounts
}

/** What is stored of an account: the state from which the next owner starts. */
export interface StoredState {
  readonly account: types.AccountId
  readonly state: accountMeter.MeterState
}

/** What an owner had left of an account when a host named it first, for the log. */
export interface AccountOpening {
  readonly account: types.AccountId
  /** Requests left, and the most that an idle account has. */
  readonly level: number
  readonly capacity: number
  /** Whether the store held a state of the account. */
  readonly basis: 'stored' | 'default'
}

/** How an ownership term begins. */
export interface GroupStart {
  readonly term: number
  /** Nothing is refilled before this time, in monotonic ms: a former owner may still use what becomes free. */
  readonly startsAt: number
  /**
   * For how long accounts without a stored state had not been used when the former owner handed over, in ms of its clock,
   * since they were at the default floor; 0 without a handover, infinite if no owner has counted before.
   */
  readonly restedMs: number
  readonly stored: ReadonlyMap<types.AccountId, accountMeter.MeterState>
}

/** Who reports, and when. */
export interface ReportContext {
  /** Identifies the reporting process. */
  readonly reporter: string
  /** Configuration version of the reporter. */
  readonly configVersion: number
  /** Part of each limit that this owner may grant. */
  readonly share: number
  /** Monotonic ms. */
  readonly now: number
  /** Time without a report after which a host no longer uses its allowance, in ms. */
  readonly reportTtlMs: number
}

/** What a host has reported, and what it may have sent since. */
interface Holder {
  readonly counter: number
  readonly total: accountMeter.RequestCounts
  /** Requests granted since, which are charged: the answer that granted them may have been lost. */
  readonly granted: accountMeter.RequestCounts
  /** Requests that the host may send without asking, which are not charged yet. */
  readonly allowance: number
  /** Monotonic ms. */
  readonly reportedAt: number
}

interface AccountEntry {
  /** Without the allowances of hosts; refilled by the group's clock. */
  readonly meter: accountMeter.AccountMeter
  /** What the group's clock had withheld when the meter was last refilled, in ms. */
  readonly withheld: number
  /** Version of the configuration that contains the limit. */
  readonly configVersion: number
  readonly floor: accountFloor.AccountFloor
  readonly holders: ReadonlyMap<string, Holder>
  /** Whether a host has reported the account in this term. */
  readonly isReported: boolean
}

/** Hosts get an allowance while more than this part of the capacity is left. */
const allowanceMinShare = 0.35
/** Part of what is left above that, and above the floor, that one host may get as its allowance. */
const allowanceShare = 0.25

/** The counts of one group. */
export class GroupMeter {
  private readonly accounts = new Map<types.AccountId, AccountEntry>()
  private readonly stored: Map<types.AccountId, accountMeter.MeterState>
  private readonly clock: shareClock.ShareClock
  private openings: AccountOpening[] = []
  readonly term: number
  private readonly restedMs: number

  constructor ({ term, startsAt, restedMs, stored }: GroupStart) {
    this.term = term
    this.restedMs = restedMs
    this.stored = new Map(stored)
    this.clock = new shareClock.ShareClock(startsAt, 0)
  }

  get size (): number {
    return this.accounts.size
  }

  /** Lets time pass; `share`: part of each limit that this owner may grant from now on. */
  advance (now: number, share: number): void {
    this.clock.advance(now, share)
  }

  /** Refills what has become free since an earlier time, monotonic ms: nobody else has counted since then. */
  moveStart (at: number): void {
    this.clock.moveStart(at)
  }

  /** Begins to count an account before a host reports it. */
  begin (account: types.AccountId, limit: accountMeter.MeterLimit, configVersion: number): void {
    if (!this.accounts.has(account)) this.accounts.set(account, this.createEntry(account, limit, configVersion))
  }

  /** Charges what a host has sent since its last report, and notes what it goes on to hold. Returns how many requests it has sent without permission. */
  charge (report: MeterReport, context: ReportContext): number {
    const entry = this.refresh(report, context)
    if (!entry.isReported) this.openings.push(this.describeOpening(report.account, entry))
    const known = entry.holders.get(context.reporter)
    const sent = countSent(report, known)
    const allowance = report.allowanceTerm === this.term ? report.kept : 0
    const holder: Holder = { counter: report.counter, total: report.total, granted: accountMeter.noRequests, allowance, reportedAt: context.now }
    const meter = accountMeter.observe(accountMeter.spend(entry.meter, sent), known?.granted.further ?? 0)
    const charged = { ...entry, meter, isReported: true, holders: new Map(entry.holders).set(context.reporter, holder) }
    this.accounts.set(report.account, applyNewLimit(charged, report.limit, context.configVersion))
    return report.earlierSpent === undefined ? Math.max(0, accountMeter.sumCounts(sent) - (known?.allowance ?? 0)) : 0
  }

  /** Whether a report asks for requests that only a lower floor allows. */
  needsLowerFloor ({ account, asked }: Pick<MeterReport, 'account' | 'asked'>): boolean {
    const entry = this.accounts.get(account)
    if (entry === undefined || accountMeter.sumCounts(asked) === 0) return false
    const { limit } = entry.meter
    const lowest = accountMeter.computeLowestLevel(limit)
    const floor = accountFloor.computeFloorLevel(entry.floor, limit)
    const { level } = computeLeft(entry)
    return floor > lowest && level - accountMeter.sumCounts(asked) < floor && level - 1 >= lowest
  }

  /** Begins to store another floor if the account needs one; `asked`: requests of the account that are about to be decided. */
  planFloor ({ account, asked }: Pick<MeterReport, 'account' | 'asked'>, now: number): StoredState | undefined {
    const entry = this.accounts.get(account)
    if (entry === undefined) return undefined
    const left = computeLeft(entry)
    const level = accountFloor.planFloor(entry.floor, left.level - accountMeter.sumCounts(asked), entry.meter.limit, now)
    if (level === undefined) return undefined
    this.accounts.set(account, { ...entry, floor: accountFloor.startWrite(entry.floor, level, now) })
    return { account, state: { ...accountMeter.toState(left), level, uncommitted: left.uncommitted - left.level + level } }
  }

  /** Notes that the state with a floor is stored. */
  confirmFloor ({ account, state }: StoredState): void {
    this.stored.set(account, state)
    const entry = this.accounts.get(account)
    if (entry !== undefined) this.accounts.set(account, { ...entry, floor: accountFloor.completeWrite(entry.floor) })
  }

  /** Decides on the requests asked for, and gives the host an allowance. The report must have been charged. */
  decide (report: MeterReport, context: ReportContext): MeterAnswer {
    const entry = this.refresh(report, context)
    const floor = accountFloor.computeFloorLevel(entry.floor, entry.meter.limit)
    let left = computeLeft(entry)
    const granted = { first: 0, further: 0 }
    // Requests of running programs have priority over new programs.
    for (const position of ['further', 'first'] as const) {
      while (granted[position] < report.asked[position] && accountMeter.computeHeadroom(left, position, floor) >= 0) {
        left = accountMeter.spend(left, accountMeter.createSingleCount(position))
        granted[position] += 1
      }
    }
    const holder = entry.holders.get(context.reporter)
    const allowance = holder === undefined ? 0 : computeAllowance(report.wanted - holder.allowance, left, floor)
    const holders = new Map(entry.holders)
    if (holder !== undefined) holders.set(context.reporter, { ...holder, granted: accountMeter.addCounts(holder.granted, granted), allowance: holder.allowance + allowance })
    // Granted requests count as observed once they are reported as sent.
    const meter = { ...accountMeter.spend(entry.meter, granted), recent: entry.meter.recent }
    this.accounts.set(report.account, { ...entry, meter, holders })
    return { account: report.account, term: this.term, state: accountMeter.toState(left), granted, allowance, waitMs: this.computeWaits(left, floor, context.now) }
  }

  /** What the next owner is to start from, if this one ends now in good order. */
  prepareHandover (now: number): Pick<GroupStart, 'restedMs'> & { readonly states: readonly StoredState[] } {
    this.clock.advance(now, this.clock.currentShare)
    const states = [...this.accounts].map(([account, entry]) => ({ account, state: accountMeter.toState(computeLeft(this.refill(entry))) }))
    return { states, restedMs: this.restedMs + this.clock.elapsed }
  }

  /** Returns the accounts that hosts have named for the first time since the last call. */
  takeOpenings (): readonly AccountOpening[] {
    const { openings } = this
    if (openings.length > 0) this.openings = []
    return openings
  }

  /** Removes accounts that are full and of which nothing is stored: a new entry would be full, too. */
  prune (now: number, reportTtlMs: number): void {
    this.clock.advance(now, this.clock.currentShare)
    for (const [account, known] of this.accounts) {
      const entry = this.refill(expireHolders(known, now, reportTtlMs))
      const { level, limit } = entry.meter
      const isIdle = entry.holders.size === 0 && entry.floor.writing === undefined && !this.stored.has(account)
      if (isIdle && level >= accountMeter.computeCapacity(limit) && this.createMeter(account, limit).level >= level) this.accounts.delete(account)
    }
  }

  private computeWaits (left: accountMeter.AccountMeter, floor: number, now: number): accountMeter.RequestCounts {
    const rate = left.limit.requestsPerSecond * this.clock.currentShare
    const delayMs = this.clock.getDelayMs(now)
    const computeWait = (position: accountMeter.RequestPosition): number => accountMeter.computeWaitMs(accountMeter.computeHeadroom(left, position, floor), rate, delayMs)
    return { first: computeWait('first'), further: computeWait('further') }
  }

  /** Brings an account up to date: the time that has passed, and hosts that have been silent for too long. */
  private refresh ({ account, limit }: MeterReport, { configVersion, share, now, reportTtlMs }: ReportContext): AccountEntry {
    this.clock.advance(now, share)
    const known = this.accounts.get(account) ?? this.createEntry(account, limit, configVersion)
    const entry = this.refill(expireHolders(known, now, reportTtlMs))
    this.accounts.set(account, entry)
    return entry
  }

  /** Hosts that do not report may save up their part of the capacity: what is left above the rest goes down as fast. */
  private refill (entry: AccountEntry): AccountEntry {
    const { withheld } = this.clock
    const { level } = entry.meter
    const meter = accountMeter.refillMeter(entry.meter, this.clock.elapsed)
    const fullCapacity = accountMeter.computeCapacity(meter.limit)
    const capacity = Math.max(1, fullCapacity * this.clock.currentShare)
    const lost = meter.limit.requestsPerSecond * (withheld - entry.withheld) / 1_000
    const drained = Math.min(level, fullCapacity + sumAllowances(entry)) - lost
    return { ...entry, withheld, meter: { ...meter, level: level > capacity ? Math.max(capacity, drained) : Math.min(capacity, meter.level) } }
  }

  private createEntry (account: types.AccountId, limit: accountMeter.MeterLimit, configVersion: number): AccountEntry {
    const floor = accountFloor.createFloor(this.stored.get(account)?.level)
    return { meter: this.createMeter(account, limit), withheld: this.clock.withheld, configVersion, floor, holders: new Map(), isReported: false }
  }

  private describeOpening (account: types.AccountId, { meter }: AccountEntry): AccountOpening {
    return { account, level: meter.level, capacity: accountMeter.computeCapacity(meter.limit), basis: this.stored.has(account) ? 'stored' : 'default' }
  }

  /** The meter of an account of which this owner has heard nothing: nobody has used what became free since its term began. */
  private createMeter (account: types.AccountId, limit: accountMeter.MeterLimit): accountMeter.AccountMeter {
    const { elapsed } = this.clock
    const stored = this.stored.get(account)
    if (stored !== undefined) return accountMeter.refillMeter(accountMeter.createMeter(limit, stored, 0), elapsed)
    const restedMs = this.restedMs + elapsed
    const level = restedMs === Infinity ? Infinity : accountFloor.computeStartLevel(undefined, limit) + limit.requestsPerSecond * restedMs / 1_000
    return accountMeter.createMeter(limit, accountMeter.createState(level), elapsed)
  }
}

/** Requests of a report that are not charged yet. Fewer than none if an answer that granted some was lost. */
function countSent ({ counter, total, earlierSpent }: MeterReport, known: Holder | undefined): accountMeter.RequestCounts {
  if (earlierSpent !== undefined) return earlierSpent
  if (known === undefined) return accountMeter.noRequests
  // Another process of the host: the one before may have sent all that it was allowed to.
  if (counter !== known.counter) return { first: 0, further: known.allowance }
  return accountMeter.subtractCounts(accountMeter.subtractCounts(total, known.total), known.granted)
}

function sumAllowances ({ holders }: AccountEntry): number {
  return [...holders.values()].reduce((sum, { allowance }) => sum + allowance, 0)
}

/** What is left once all that hosts may send is sent. */
function computeLeft (entry: AccountEntry): accountMeter.AccountMeter {
  return accountMeter.spend(entry.meter, { first: 0, further: sumAllowances(entry) })
}

/** Applies the limit of a newer version. Allowances that were given under the former limit are not charged to this one. */
function applyNewLimit (entry: AccountEntry, limit: accountMeter.MeterLimit, configVersion: number): AccountEntry {
  if (configVersion <= entry.configVersion) return entry
  const level = Math.min(entry.meter.level, accountMeter.computeCapacity(limit) + sumAllowances(entry))
  return { ...entry, meter: { ...accountMeter.applyLimit(entry.meter, limit), level }, configVersion }
}

/** Counts the allowances of silent hosts as sent. */
function expireHolders (entry: AccountEntry, now: number, reportTtlMs: number): AccountEntry {
  const expired = [...entry.holders].filter(([, { reportedAt }]) => now - reportedAt > reportTtlMs)
  if (expired.length === 0) return entry
  const holders = new Map(entry.holders)
  let { meter } = entry
  for (const [reporter, { allowance }] of expired) {
    holders.delete(reporter)
    meter = accountMeter.spend(meter, { first: 0, further: allowance })
  }
  return { ...entry, meter, holders }
}

function computeAllowance (wanted: number, left: accountMeter.AccountMeter, floor: number): number {
  const aboveMinimum = left.level - accountMeter.computeCapacity(left.limit) * allowanceMinShare
  const aboveFloor = accountMeter.computeHeadroom(left, 'further', floor) + 1
  const most = Math.floor(allowanceShare * Math.min(aboveMinimum, aboveFloor))
  return Math.max(0, Math.min(Math.ceil(wanted), most))
}
