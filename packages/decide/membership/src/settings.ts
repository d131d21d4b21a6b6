/** Settings of the membership and their defaults. */

export interface MembershipSettings {
  /** Changes of the view come into force in batches, once in this many milliseconds. */
  readonly batchMs: number
  /** Failures in a row, with no answer between, that make a host suspect. */
  readonly failuresToSuspect: number
  /** A host that the list no longer names is gone after this many milliseconds. */
  readonly missingMs: number
  /** Share of the hosts that a list may lose at once before it is doubted, between 0 and 1. */
  readonly massLossFraction: number
  /** A host that a doubted list no longer names, and that has not failed, is gone after this many milliseconds. */
  readonly massLossMs: number
  /** A list of a lower version is taken only if no other was taken for this many milliseconds. */
  readonly staleListMs: number
  /** And only if this many lists in a row were of a lower version, as readers of the platform lag differently. */
  readonly staleListReads: number
  /** Window of the bound on returns of one host, in milliseconds; a gone host is remembered as long. */
  readonly flapWindowMs: number
  /** Times that one host may become live again within the window. */
  readonly maxRecoveries: number
  /** Word of leaving is forgotten after this many milliseconds without another. */
  readonly leavingMs: number
  /** First pause between probes of a suspect host in milliseconds; it doubles up to `maxProbeMs`. */
  readonly probeMs: number
  readonly maxProbeMs: number
  /** Probes that one process sends in a batch interval, however many hosts are suspect. */
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
