/** The owner's side: the meters of the accounts that this process owns, and its answers to the reports of hosts. */
import type * as types from '@eelgrasswind/types'
import * as accountMeter from './account-meter.js'

/** A host's report for one account, with the requests for which it needs permission. */
export interface MeterReport {
  readonly account: types.AccountId
  readonly limit: accountMeter.MeterLimit
  /** Requests admitted since its last report. */
  readonly spent: accountMeter.RequestCounts
  /** Requests that wait at the host for the owner's decision. */
  readonly asked: accountMeter.RequestCounts
  /** The state last confirmed to the host, by this or a former owner. */
  readonly believed?: ConfirmedState | undefined
}

/** The state last confirmed to a host, without what it admitted since. A new owner has no other information. */
export interface ConfirmedState {
  readonly state: accountMeter.MeterState
  /** Ownership term of that confirmation. */
  readonly term: number
}

/** The owner's answer to a report. */
export interface MeterAnswer {
  readonly account: types.AccountId
  readonly term: number
  readonly state: accountMeter.MeterState
  /** How many of the requests asked for may be sent; they are already charged. */
  readonly granted: accountMeter.RequestCounts
  /** Retry-after time for the others, in ms. */
  readonly waitMs: accountMeter.RequestCounts
}

interface AccountEntry {
  readonly meter: accountMeter.AccountMeter
  /** Ownership term of the counts. Counts of another term are not used, since requests sent in between are missing. */
  readonly term: number
  /** Version of the configuration that contains the limit. */
  readonly configVersion: number
  /** The meter as at the beginning of the term, refilled but without the requests since. */
  readonly baseline: accountMeter.AccountMeter
}

/** A meter without a report for this long, in ms, is practically full again and is removed. */
const idleTimeoutMs = 60_000

/** The meters of all accounts that this process owns. */
export class MeterRegistry {
  private readonly accounts = new Map<types.AccountId, AccountEntry>()

  get size (): number {
    return this.accounts.size
  }

  /** Applies a report and decides on the requests asked for. `term`: of this process's ownership; `configVersion`: of the reporter; `now`: monotonic ms. */
  applyReport (report: MeterReport, term: number, configVersion: number, now: number): MeterAnswer {
    const entry = this.getCurrentEntry(report, term, configVersion, now)
    let meter = accountMeter.spend(accountMeter.refillMeter(entry.meter, now), report.spent)
    const granted = { first: 0, further: 0 }
    // Requests of running programs have priority over new programs.
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

  /** Removes accounts without recent reports. */
  prune (now: number): void {
    for (const [account, { meter }] of this.accounts) {
      if (now - meter.updatedAt > idleTimeoutMs) this.accounts.delete(account)
    }
  }

  private getCurrentEntry (report: MeterReport, term: number, configVersion: number, now: number): AccountEntry {
    const known = this.accounts.get(report.account)
    if (known === undefined || known.term !== term) return createEntry(report, term, configVersion, now)
    const current = configVersion > known.configVersion ? applyNewLimit(known, report.limit, configVersion) : known
    // A state under another limit can't be compared.
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
 * Lowers the baseline of the term to the confirmed state of a host if that is lower. States that hosts have from former
 * owners differ by the requests sent in between, and the lowest is the most accurate.
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
