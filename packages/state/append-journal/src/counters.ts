/** Counters of a journal since it was created. The process reports them under these names. */
export interface JournalCounters {
  /** Append requests sent to the log, retries included. */
  appends: number
  /** Append requests that failed, whether the log refused them or the result is unknown. */
  failedAppends: number
  /** Records in the batches that were sent; retries are not counted again. */
  records: number
  bytesWritten: number
  /** Read requests sent to the log. */
  reads: number
  failedReads: number
  bytesRead: number
  /** Records applied to the index, including those that this process appended. */
  recordsFolded: number
  /** Log records that are not journal batches of any version; readers skip them. */
  foreignTexts: number
}

/** Creates counters that start at 0. */
export function createCounters (): JournalCounters {
  return { appends: 0, failedAppends: 0, records: 0, bytesWritten: 0, reads: 0, failedReads: 0, bytesRead: 0, recordsFolded: 0, foreignTexts: 0 }
}

/** Current sizes of a journal. The process reports them under these names. */
export interface JournalSizes {
  /** Programs in the index, known by their head or by unconfirmed candidates only. */
  readonly heads: number
  /** Programs whose whole state is kept in memory. */
  readonly localPrograms: number
}
