/**
 * Whether a process may count the requests of an account group as its owner. Not every count is appended to the store,
 * so no fenced append stops a former owner at once: it has to find out by itself that another process may have taken over.
 */

import * as hostShare from './host-share.js'

/** What a process knows about its ownership of a group. */
export interface TenureFacts {
  /** Its ownership term. */
  readonly term: number
  /** The highest term that a reporting host has heard of. */
  readonly newestTerm: number
  /** Time since the process asked for its lease in the last call that the store answered, in ms. */
  readonly leaseAgeMs: number
  /** Time after which the store may give the lease to another process, in ms. */
  readonly leaseMs: number
  /** Hosts that reported to this process recently, including its own. */
  readonly reporterCount: number
  readonly hostCount: number
}

/** The decision, with its reason. */
export type Tenure =
  /** The lease has not expired. An eviction may have moved the shard already; two owners then overlap for a lease at most. */
  | 'leased'
  /** The store does not answer, but most hosts report to this process, so they know no other owner. */
  | 'reportedTo'
  /** A host has heard of a later owner. */
  | 'superseded'
  /** Another process may have taken over. */
  | 'unconfirmed'

/** Decides from the facts. */
export function decideTenure ({ term, newestTerm, leaseAgeMs, leaseMs, reporterCount, hostCount }: TenureFacts): Tenure {
  if (newestTerm > term) return 'superseded'
  if (leaseAgeMs < leaseMs) return 'leased'
  return reporterCount > hostCount / 2 ? 'reportedTo' : 'unconfirmed'
}

/**
 * Part of each limit that an owner may grant. It leaves to the hosts that do not report to it what they may use by
 * themselves. Without a lease, one of those may be an owner as well, who leaves as much to the hosts that report here.
 */
export function computeOwnerShare (tenure: Tenure, reporterCount: number, hostCount: number): number {
  const reporting = Math.min(1, reporterCount / Math.max(1, hostCount))
  switch (tenure) {
    case 'leased': return 1 - hostShare.ownerlessShare * (1 - reporting)
    case 'reportedTo': return reporting === 1 ? 1 : hostShare.ownerlessShare * reporting
    case 'superseded':
    case 'unconfirmed': return 0
  }
}

/** Whether the owner may count and grant requests. */
export function isOwner (tenure: Tenure): boolean {
  switch (tenure) {
    case 'leased':
    case 'reportedTo': return true
    case 'superseded':
    case 'unconfirmed': return false
  }
}
