/**
 * What a host may send of an account while it reaches no owner: its share of the rate, without a burst. An owner leaves
 * as much to the hosts that do not report to it, so that all together stay within the limit.
 */
import * as hashText from '@eelgrasswind/hash-text'
import type * as types from '@eelgrasswind/types'
import * as accountMeter from './account-meter.js'

/** Part of the limit that all hosts together may use without an owner. */
export const ownerlessShare = 0.5

/** Who shares a limit. */
export interface ShareContext {
  readonly account: types.AccountId
  /** Name of this host, and the number of hosts. */
  readonly host: string
  readonly hostCount: number
}

/**
 * The limit of one host without an owner; `undefined` if it has no share. Each host with a share can save up one request,
 * so of an account with a small limit only some hosts have one.
 */
export function computeShareLimit (limit: accountMeter.MeterLimit, { account, host, hostCount }: ShareContext): accountMeter.MeterLimit | undefined {
  const hosts = Math.max(1, hostCount)
  const burst = accountMeter.computeCapacity(limit) * ownerlessShare
  const sharers = Math.max(1, Math.min(hosts, Math.floor(burst)))
  if (hashText.hashText(`${account} ${host}`) % hosts >= sharers) return undefined
  return { requestsPerSecond: limit.requestsPerSecond * ownerlessShare / sharers, burst: burst / sharers, slack: 0 }
}

/** Creates the meter of a share that begins at `now`; `phase`: uniform in [0, 1), so that not all hosts send their first request at the same time. */
export function createShareMeter (shareLimit: accountMeter.MeterLimit, phase: number, now: number): accountMeter.AccountMeter {
  return accountMeter.createMeter(shareLimit, accountMeter.createState(phase), now)
}
