/** Creates the failures that appends and loads return. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** When callers may retry, in milliseconds. */
const retryAfterMs = 1000

/** The log did not confirm an append before its deadline. */
export function logUnavailable (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the log did not confirm the record in time', retryAfterMs }
}

/** The journal was closed before the record had an outcome. */
export function shuttingDown (verdict: types.Verdict): errors.Failure {
  return { tag: 'shuttingDown', verdict, message: 'the journal is closing', retryAfterMs }
}

/**
 * Another record holds the sequence number, or may hold it. Once the outcome of that record is known, the caller
 * must use the sequence number that is next then.
 */
export function sequenceNumberTaken ({ program, n }: types.JournalRecord): errors.Failure {
  return { tag: 'logUnavailable', verdict: 'notRun', message: `record ${n} of ${program} may be in the log with other content`, retryAfterMs }
}

/** The log appended the record but deleted it before this process could read its outcome. */
export function recordsExpired ({ program }: types.JournalRecord): errors.Failure {
  return { tag: 'historyIncomplete', verdict: 'mayHaveRun', message: `records of ${program} expired before they were read` }
}

/** The state of a program can't be known, because records have expired and no confirmed snapshot replaces them. */
export function historyIncomplete (program: types.ProgramId): errors.Failure {
  return { tag: 'historyIncomplete', verdict: 'notRun', message: `records of ${program} have expired and no snapshot replaces them` }
}

/** The record does not match the journal format. `field` is the path of the invalid member. */
export function invalidRecord (field: string, message: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `invalid journal record: ${message}`, field, expected: 'a record of the journal format' }
}

/** The record does not fit into one append. */
export function recordTooLarge (bytes: number, limitBytes: number): errors.Failure {
  return { tag: 'bodyTooLarge', verdict: 'notRun', message: `record of ${bytes} bytes exceeds the size limit of an append`, limitBytes }
}
