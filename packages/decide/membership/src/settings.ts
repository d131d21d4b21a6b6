/** Settings of the membership table and their defaults. */

/** Settings of the membership table. */
export interface MembershipSettings {
  /** Interval of the batches in which changes are applied to the view, in milliseconds. */
  readonly batchMs: number
  /** Consecutive failures without a response that make a host suspect. */
  readonly failuresToSuspect: number
  /** Grace period after which a host missing from the list is gone, in milliseconds. */
  readonly missingMs: number
  /** Share of the hosts that a list may lose at once before the loss is considered implausible, between 0 and 1. */
  readonly massLossFraction: number
  /** Grace period after an implausible loss for hosts that have not failed, in milliseconds. */
  readonly massLossMs: number
  /** A list of a lower version is applied only if no other was applied for this many milliseconds. */
  readonly staleListMs: number
  /** It is also applied only after this many consecutive lists of a lower version, since readers of the platform have different delays. */
  readonly staleListReads: number
  /** Window of the bound on recoveries of a host, in milliseconds; a gone host is kept for the same time. */
  readonly flapWindowMs: number
  /** Number of times that a host may become live again within the window. */
  readonly maxRecoveries: number
  /** A report that a host is leaving expires after this many milliseconds. */
  readonly leavingMs: number
  /** Initial interval between probes of a suspect or leaving host in milliseconds; it doubles up to `maxProbeMs`. */
  readonly probeMs: number
  readonly maxProbeMs: number
  /** Maximum number of probes per batch interval, regardless of the number of such hosts. */
  readonly probesPerBatch: number
}

export const defaultMembershipSettings: MembershipSettings = {
  batchMs: 1_000,
  failuresToSuspect: 1,
  missingMs: 3_000,
  massLossFraction: 0.5,
  massLossMs: 60_000,
  staleListMs: 30_000,
  staleListReads: 3,
  flapWindowMs: 600_000,
  maxRecoveries: 3,
  leavingMs: 900_000,
  probeMs: 1_000,
  maxProbeMs: 15_000,
  probesPerBatch: 4
}
