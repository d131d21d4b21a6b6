/** Tallies what this host decided for one account since its last log line. */

/** What the admission of a request was based on. */
export type AdmissionBasis =
  /** The owner granted it. */
  | 'owner'
  /** The allowance that the owner had given to this host. */
  | 'allowance'
  /** This host's share of the limit, used while the owner does not answer. */
  | 'share'

/** Numbers of requests of one account. */
export interface UsageCounts extends Readonly<Record<AdmissionBasis, number>> {
  readonly refused: number
  /** Admitted requests that were taken back because they had not run. */
  readonly refunded: number
}

const noUsage: UsageCounts = { owner: 0, allowance: 0, share: 0, refused: 0, refunded: 0 }

/** Counts by decision. */
export class AccountUsage {
  private counts = noUsage

  count (decision: keyof UsageCounts): void {
    this.counts = { ...this.counts, [decision]: this.counts[decision] + 1 }
  }

  /** Returns the counts and resets them. `undefined` for an account that stayed below its limit with an owner that answers. */
  takeNotable (): UsageCounts | undefined {
    const { counts } = this
    this.counts = noUsage
    const isNotable = counts.refused > 0 || counts.share > 0
    return isNotable ? counts : undefined
  }
}
