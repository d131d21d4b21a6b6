/** Appends the records of local programs. Each record carries its position `n` in the program's chain and the term. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as failures from './home-failures.js'
import type * as local from './local-program.js'

/** A record without the fields that position it in its program's chain. */
export type UnsequencedRecord = types.JournalRecord extends infer R
  ? R extends types.JournalRecord ? Omit<R, 'program' | 'n' | 'term'> : never
  : never

/** Failure for a record that took no effect, as another process became the home before it was stored. */
function createSupersededFailure (program: types.ProgramId): errors.Failure {
  return { tag: 'notHome', verdict: 'mayHaveRun', message: `another process became the home of ${program}`, home: null, retryAfterMs: failures.logRetryAfterMs }
}

function createVoidRecordFailure (record: types.JournalRecord, reason: programState.VoidReason): errors.Failure {
  return { tag: 'internal', verdict: 'mayHaveRun', message: `the ${record.type} record had no effect: ${reason}` }
}

/** A record to append. A function is called once all earlier appends of the program are done, and sees their effect. */
export type RecordSource = UnsequencedRecord | (() => UnsequencedRecord)

/** Dependencies of appends that are retried. */
export interface WriterDeps {
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
}

/** An appended record and its result: the log position once the record is confirmed and has taken effect. */
export interface AppendOutcome {
  readonly record: types.JournalRecord
  readonly result: errors.Result<types.Term>
}

/** Appends a record at the next position of the program's chain, once. */
export async function appendNext (journal: appendJournal.Journal, program: local.LocalProgram, content: RecordSource): Promise<AppendOutcome> {
  return await program.runInOrder(async () => {
    const { state } = program
    const unsequenced = typeof content === 'function' ? content() : content
    const record = { ...unsequenced, program: program.id, n: state.n + 1, term: state.term } as types.JournalRecord
    return { record, result: await appendAndCheck(journal, record) }
  })
}

/** Like `appendNext`, but returns only the log position. */
export async function appendRecord (journal: appendJournal.Journal, program: local.LocalProgram, content: RecordSource): Promise<errors.Result<types.Term>> {
  return (await appendNext(journal, program, content)).result
}

/** Appends a record, and retries while the log is unavailable, until it is known whether the record took effect. */
export async function appendUntilResolved (deps: WriterDeps, program: local.LocalProgram, content: RecordSource): Promise<errors.Result<types.Term>> {
  for (;;) {
    const { record, result } = await appendNext(deps.journal, program, content)
    const resolved = isOutcomeUnknown(result) ? await resolveRecord(deps, program, record) : result
    if (resolved.ok || resolved.failure.tag !== 'logUnavailable') return resolved
    await timerService.sleep(deps.timers, failures.logRetryAfterMs)
  }
}

/**
 * Appends a record that may already be in the log again, until its outcome is known. It keeps its chain position: at the
 * next position it would be a different record, and void if the first copy took effect.
 */
export async function resolveRecord ({ journal, timers }: WriterDeps, program: local.LocalProgram, record: types.JournalRecord): Promise<errors.Result<types.Term>> {
  for (;;) {
    await timerService.sleep(timers, failures.logRetryAfterMs)
    const result = await program.runInOrder(() => appendAndCheck(journal, record))
    if (!isOutcomeUnknown(result)) return result
  }
}

async function appendAndCheck (journal: appendJournal.Journal, record: types.JournalRecord): Promise<errors.Result<types.Term>> {
  const appended = await journal.append(record)
  return appended.ok ? checkEffect(record, appended.value) : appended
}

function isOutcomeUnknown (result: errors.Result<unknown>): boolean {
  return !result.ok && result.failure.tag === 'logUnavailable' && result.failure.verdict !== 'notRun'
}

/** Turns the effect of an appended record into its log position, or into a failure if it took no effect. */
export function checkEffect (record: types.JournalRecord, appended: { readonly position: types.Term, readonly effect: programState.Effect }): errors.Result<types.Term> {
  const { effect, position } = appended
  switch (effect.type) {
    case 'applied': return errors.ok(position)
    case 'incomplete': return errors.fail({ tag: 'historyIncomplete', verdict: 'mayHaveRun', message: `records of ${record.program} have expired` })
    case 'void': return errors.fail(isSupersededReason(effect.reason) ? createSupersededFailure(record.program) : createVoidRecordFailure(record, effect.reason))
    default: return errors.assertNever(effect)
  }
}

/** Whether a record was void because another home has written to the chain. The other reasons mean invalid content. */
function isSupersededReason (reason: programState.VoidReason): boolean {
  switch (reason) {
    case 'duplicate':
    case 'olderTerm':
    case 'lostRace':
    case 'outOfOrder':
    case 'unknownTerm':
    case 'unknownProgram':
    case 'staleBegin':
    case 'finished': return true
    case 'wrongSeq':
    case 'keyUsed':
    case 'intentOpen':
    case 'noIntent':
    case 'intentMismatch': return false
    default: return errors.assertNever(reason)
  }
}
