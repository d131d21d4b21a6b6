/** The owner's side: the meters of the accounts that one process counts, and its answers to the hosts that send their requests. */
import type * as types from '@eelgrasswind/types'
import * as accountMeter from './account-meter.js'

/** What a host reports of one account, and asks for. */
export interface MeterReport {
  readonly account: types.AccountId
  readonly limit: accountMeter.MeterLimit
  /** Let through since its last report. */
  readonly spent: accountMeter.RequestCounts
  /** Wait at the host for a yes or a no. */
  readonly asked: accountMeter.RequestCounts
  readonly believed?: ConfirmedState | undefined
}

/** What a host was told last, without what it let through since: all that an owner has who did not count before. */
export interface ConfirmedState {
  readonly state: accountMeter.MeterState
  /** The term of ownership in which it was said. */
  readonly term: number
}

/** What the host is told. */
export interface MeterAnswer {
  readonly account: types.AccountId
  readonly term: number
  readonly state: accountMeter.MeterState
  /** So many of those asked for may be sent; they are counted already. */
  readonly granted: accountMeter.RequestCounts
  /** When to come back with the others, in ms. */
  readonly waitMs: accountMeter.RequestCounts
}

interface Entry {
  readonly meter: accountMeter.AccountMeter
  /** The term of ownership in which it was counted: what was counted in another one says nothing of what was sent in between. */
  readonly term: number
  /** Version of the configuration that its limit is from. */
  readonly version: number
  /** What the term began with, as if nothing had been sent since. */
  readonly begun: accountMeter.AccountMeter
}

/** A meter without a report for this long, in ms, is full again or as good as. */
const idleMs = 60_000

/** The meters of all accounts that this process counts. */
export class MeterRegistry {
  private readonly entries = new Map<types.AccountId, Entry>()

  get size (): number {
    return this.entries.size
  }

  /** Settles one report; term: of this process's ownership of the account; version: of the reporter's configuration; now: monotonic ms. */
  applyReport (report: MeterReport, term: number, version: number, now: number): MeterAnswer {
    const entry = this.current(report, term, version, now)
    let meter = accountMeter.spend(accountMeter.refillMeter(entry.meter, now), report.spent)
    const granted = { first: 0, further: 0 }
    // Programs under way go first.
    for (const part of ['further', 'first'] as const) {
      while (granted[part] < report.asked[part] && accountMeter.computeHeadroom(meter, part) >= 0) {
        meter = accountMeter.spend(meter, accountMeter.createSingleCount(part))
        granted[part] += 1
      }
    }
    this.entries.set(report.account, { ...entry, meter })
    const waitMs = { first: accountMeter.computeWaitMs(meter, 'first'), further: accountMeter.computeWaitMs(meter, 'further') }
    return { account: report.account, term, state: accountMeter.stateOf(meter), granted, waitMs }
  }

  /** Forgets accounts that are quiet. */
  prune (now: number): void {
    for (const [account, { meter }] of this.entries) {
      if (now - meter.at > idleMs) this.entries.delete(account)
    }
  }

  private current (report: MeterReport, term: number, version: number, now: number): Entry {
    const known = this.entries.get(report.account)
    if (known === undefined || known.term !== term) return begin(report, term, version, now)
    const current = version > known.version ? limitTo(known, report.limit, version) : known
    // A belief under another limit can't be compared.
    return version === current.version ? correct(current, report, now) : current
  }
}

function limitTo (entry: Entry, limit: accountMeter.MeterLimit, version: number): Entry {
  return { ...entry, meter: accountMeter.applyLimit(entry.meter, limit), begun: accountMeter.applyLimit(entry.begun, limit), version }
}

function begin ({ limit, believed }: MeterReport, term: number, version: number, now: number): Entry {
  const state = believed?.state ?? accountMeter.createState(accountMeter.unknownLevel(limit))
  const begun = accountMeter.createMeter(limit, state, now)
  return { meter: begun, begun, term, version }
}

/**
 * What hosts heard from former owners differs by what was sent meanwhile: the lowest is the nearest to the truth, so what
 * the term began with is lowered whenever a host knows of less.
 */
function correct (entry: Entry, { believed }: MeterReport, now: number): Entry {
  if (believed === undefined || believed.term === entry.term) return entry
  const begun = accountMeter.refillMeter(entry.begun, now)
  const level = Math.min(begun.level, believed.state.level)
  const uncommitted = Math.min(begun.uncommitted, believed.state.uncommitted)
  const { meter } = entry
  return {
    ...entry,
    begun: { ...begun, level, uncommitted },
    meter: { ...meter, level: meter.level + level - begun.level, uncommitted: meter.uncommitted + uncommitted - begun.uncommitted }
  }
}
