/** What a journal has done since it was made. */
export interface JournalCounters {
  /** Appends sent to the log, copies included. */
  appends: number
  /** Appends that failed, whether refused or of unknown fate. */
  failedAppends: number
  /** Records in the batches that were sent, copies not counted again. */
  records: number
  bytesWritten: number
  /** Reads sent to the log. */
  reads: number
  failedReads: number
  bytesRead: number
  /** Records applied to the index, own ones included. */
  recordsFolded: number
  /** Texts in a stream that no version of this software writes; readers skip them. */
  foreignTexts: number
}

export function createCounters (): JournalCounters {
  return { appends: 0, failedAppends: 0, records: 0, bytesWritten: 0, reads: 0, failedReads: 0, bytesRead: 0, recordsFolded: 0, foreignTexts: 0 }
}

/** What a journal holds now. */
export interface JournalSizes {
  /** Programs whose place in the journal is known. */
  readonly heads: number
  /** Programs whose whole state is kept. */
  readonly localPrograms: number
}
