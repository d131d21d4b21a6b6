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

interface AccountEntry {
  readonly meter: accountMeter.AccountMeter
  /** The term of ownership in which it was counted: what was counted in another one says nothing of what was sent in between. */
  readonly term: number
  /** Version of the configuration that its limit is from. */
  readonly configVersion: number
  /** What the term began with, as if nothing had been sent since. */
  readonly baseline: accountMeter.AccountMeter
}

/** A meter without a report for this long, in ms, is full again or as good as. */
const idleTimeoutMs = 60_000

/** The meters of all accounts that this process counts. */
export class MeterRegistry {
  private readonly accounts = new Map<types.AccountId, AccountEntry>()

  get size (): number {
    return this.accounts.size
  }

  /** Settles one report; term: of this process's ownership of the account; version: of the reporter's configuration; now: monotonic ms. */
  applyReport (report: MeterReport, term: number, configVersion: number, now: number): MeterAnswer {
    const entry = this.getCurrentEntry(report, term, configVersion, now)
    let meter = accountMeter.spend(accountMeter.refillMeter(entry.meter, now), report.spent)
    const granted = { first: 0, further: 0 }
    // Programs under way go first.
    for (const position of ['further', 'first'] as const) {
      while (granted[position] < report.asked[position] && accountMeter.computeHeadroom(meter, position) >= 0) {
        meter = accountMeter.spend(meter, accountMeter.createSingleCount(position))
        granted[position] += 1
      }
    }
    this.accounts.set(report.account, { ...entry, meter })
    const waitMs = { first: accountMeter.computeWaitMs(meter, 'first'), further: accountMeter.computeWaitMs(meter, 'further') }
    return { account: report.account, term, state: accountMeter.toState(meter), granted, waitMs }
  }

  /** Forgets accounts that are quiet. */
  prune (now: number): void {
    for (const [account, { meter }] of this.accounts) {
      if (now - meter.updatedAt > idleTimeoutMs) this.accounts.delete(account)
    }
  }

  private getCurrentEntry (report: MeterReport, term: number, configVersion: number, now: number): AccountEntry {
    const known = this.accounts.get(report.account)
    if (known === undefined || known.term !== term) return createEntry(report, term, configVersion, now)
    const current = configVersion > known.configVersion ? applyNewLimit(known, report.limit, configVersion) : known
    // A belief under another limit can't be compared.
    return configVersion === current.configVersion ? lowerBaseline(current, report, now) : current
  }
}

function applyNewLimit (entry: AccountEntry, limit: accountMeter.MeterLimit, configVersion: number): AccountEntry {
  return { ...entry, meter: accountMeter.applyLimit(entry.meter, limit), baseline: accountMeter.applyLimit(entry.baseline, limit), configVersion }
}

function createEntry ({ limit, believed }: MeterReport, term: number, configVersion: number, now: number): AccountEntry {
  const state = believed?.state ?? accountMeter.createState(accountMeter.computeInitialLevel(limit))
  const baseline = accountMeter.createMeter(limit, state, now)
  return { meter: baseline, baseline, term, configVersion }
}

/**
 * What hosts heard from former owners differs by what was sent meanwhile: the lowest is the nearest to the truth, so what
 * the term began with is lowered whenever a host knows of less.
 */
function lowerBaseline (entry: AccountEntry, { believed }: MeterReport, now: number): AccountEntry {
  if (believed === undefined || believed.term === entry.term) return entry
  const baseline = accountMeter.refillMeter(entry.baseline, now)
  const level = Math.min(baseline.level, believed.state.level)
  const uncommitted = Math.min(baseline.uncommitted, believed.state.uncommitted)
  const { meter } = entry
  return {
    ...entry,
    baseline: { ...baseline, level, uncommitted },
    meter: { ...meter, level: meter.level + level - baseline.level, uncommitted: meter.uncommitted + uncommitted - baseline.uncommitted }
  }
}
