/** Failures that appends and loads end with. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

const retryAfterMs = 1000

export function logUnavailable (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the log did not confirm the record in time', retryAfterMs }
}

export function shuttingDown (verdict: types.Verdict): errors.Failure {
  return { tag: 'shuttingDown', verdict, message: 'the journal is closing', retryAfterMs }
}

/** The program's next place was given to another record, whose fate is still open; once that is known, the place is another one. */
export function placeTaken ({ program, n }: types.JournalRecord): errors.Failure {
  return { tag: 'logUnavailable', verdict: 'notRun', message: `record ${n} of ${program} may be in the log with other content`, retryAfterMs }
}

export function expiredUnread ({ program }: types.JournalRecord): errors.Failure {
  return { tag: 'historyIncomplete', verdict: 'mayHaveRun', message: `records of ${program} expired before they were read` }
}

export function historyIncomplete (program: types.ProgramId): errors.Failure {
  return { tag: 'historyIncomplete', verdict: 'notRun', message: `records of ${program} have expired and no snapshot stands for them` }
}

export function wrongRecord (field: string, message: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `a journal record is wrong: ${message}`, field, expected: 'a record of the journal format' }
}

export function recordTooLarge (bytes: number, limitBytes: number): errors.Failure {
  return { tag: 'bodyTooLarge', verdict: 'notRun', message: `a record of ${bytes} bytes is larger than an append may be`, limitBytes }
}
