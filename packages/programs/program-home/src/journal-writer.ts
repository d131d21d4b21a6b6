/** Writes the records of local programs: each names its place in the program's chain and its term. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as failures from './home-failures.js'
import type * as local from './local-program.js'

/** A record without the members that place it in its program's chain. */
export type UnplacedRecord = types.JournalRecord extends infer R
  ? R extends types.JournalRecord ? Omit<R, 'program' | 'n' | 'term'> : never
  : never

/** Says that the home moved away while the record was on its way. */
function superseded (program: types.ProgramId): errors.Failure {
  return { tag: 'notHome', verdict: 'mayHaveRun', message: `another process became the home of ${program}`, home: null, retryAfterMs: failures.logRetryMs }
}

function refusedContent (record: types.JournalRecord, reason: programState.VoidReason): errors.Failure {
  return { tag: 'internal', verdict: 'mayHaveRun', message: `the ${record.type} record had no effect: ${reason}` }
}

/** Content of a record; a function makes it when the turn of the record comes. */
export type RecordContent = UnplacedRecord | (() => UnplacedRecord)

/** What it takes to find out the fate of a record. */
export interface WriterDeps {
  readonly journal: appendJournal.Journal
  readonly timers: timerService.TimerService
}

/** A record at its place, and what became of its append: the position once it is confirmed and has taken effect. */
export interface Written {
  readonly record: types.JournalRecord
  readonly result: errors.Result<types.Term>
}

/** Appends a record at the next place of the program's chain. */
export async function writePlaced (journal: appendJournal.Journal, program: local.LocalProgram, content: RecordContent): Promise<Written> {
  return await program.inOrder(async () => {
    const { state } = program
    const unplaced = typeof content === 'function' ? content() : content
    const record = { ...unplaced, program: program.id, n: state.n + 1, term: state.term } as types.JournalRecord
    return { record, result: await appendPlaced(journal, record) }
  })
}

/** As writePlaced, for writers that don't ask again; the position of the record. */
export async function writeRecord (journal: appendJournal.Journal, program: local.LocalProgram, content: RecordContent): Promise<errors.Result<types.Term>> {
  return (await writePlaced(journal, program, content)).result
}

/** Writes a record until its fate is known. */
export async function writeUntilKnown (deps: WriterDeps, program: local.LocalProgram, content: RecordContent): Promise<errors.Result<types.Term>> {
  for (;;) {
    const { record, result } = await writePlaced(deps.journal, program, content)
    const known = isUnknown(result) ? await settleRecord(deps, program, record) : result
    if (known.ok || known.failure.tag !== 'logUnavailable') return known
    await timerService.sleep(deps.timers, failures.logRetryMs)
  }
}

/**
 * Finds out the fate of a record that may be in the log. It keeps its place: at the next one it would be another
 * record, and void where the first copy has taken effect.
 */
export async function settleRecord ({ journal, timers }: WriterDeps, program: local.LocalProgram, record: types.JournalRecord): Promise<errors.Result<types.Term>> {
  for (;;) {
    await timerService.sleep(timers, failures.logRetryMs)
    const result = await program.inOrder(() => appendPlaced(journal, record))
    if (!isUnknown(result)) return result
  }
}

async function appendPlaced (journal: appendJournal.Journal, record: types.JournalRecord): Promise<errors.Result<types.Term>> {
  const appended = await journal.append(record)
  return appended.ok ? checkEffect(record, appended.value) : appended
}

function isUnknown (result: errors.Result<unknown>): boolean {
  return !result.ok && result.failure.tag === 'logUnavailable' && result.failure.verdict !== 'notRun'
}

export function checkEffect (record: types.JournalRecord, appended: { readonly position: types.Term, readonly effect: programState.Effect }): errors.Result<types.Term> {
  const { effect, position } = appended
  switch (effect.type) {
    case 'applied': return errors.ok(position)
    case 'incomplete': return errors.fail({ tag: 'historyIncomplete', verdict: 'mayHaveRun', message: `records of ${record.program} have expired` })
    case 'void': return errors.fail(isChainReason(effect.reason) ? superseded(record.program) : refusedContent(record, effect.reason))
    default: return errors.assertNever(effect)
  }
}

/** Reasons that mean that another home has written; the others mean that the content broke a rule. */
function isChainReason (reason: programState.VoidReason): boolean {
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
