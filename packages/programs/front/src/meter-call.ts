/** The calls by which hosts report to the process that meters a group of client accounts. */
import type * as meterAccount from '@eelgrasswind/meter-account'

/** A batch of account reports from one host. */
export interface MeterCall {
  readonly type: 'meter'
  /** Index of the account group that the call is for. */
  readonly group: number
  /** Configuration version of the limits. */
  readonly version: number
  /** Name of the reporting host. */
  readonly host: string
  /** The ownership term of the newest owner that has answered the host; -1 if none has. */
  readonly knownTerm: number
  readonly reports: readonly meterAccount.MeterReport[]
}

/** Answer to a batch of reports. */
export type MeterCallAnswer =
  | {
    readonly type: 'metered'
    readonly term: number
    /** Number of hosts that the owner knows. */
    readonly hosts: number
    readonly answers: readonly meterAccount.MeterAnswer[]
  }
  /** The called process does not own the account group, or can't be certain that it still does. */
  | { readonly type: 'notOwner', readonly reason: 'elsewhere' | meterAccount.Tenure }
