/** Writes the records of local programs: each names its place in the program's chain and its term. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'

/** A record without the members that place it in its program's chain. */
export type UnplacedRecord = types.JournalRecord extends infer R
  ? R extends types.JournalRecord ? Omit<R, 'program' | 'n' | 'term'> : never
  : never

const logRetryMs = 1_000

/** Says that the home moved away while the record was on its way. */
function superseded (program: types.ProgramId): errors.Failure {
  return { tag: 'notHome', verdict: 'mayHaveRun', message: `another process became the home of ${program}`, home: null, retryAfterMs: logRetryMs }
}

function refusedContent (record: types.JournalRecord, reason: programState.VoidReason): errors.Failure {
  return { tag: 'internal', verdict: 'mayHaveRun', message: `the ${record.type} record had no effect: ${reason}` }
}

/** Ok once the record is confirmed and has taken effect; its position. A function makes its content when its turn comes. */
export async function writeRecord (journal: appendJournal.Journal, program: local.LocalProgram, content: UnplacedRecord | (() => UnplacedRecord)): Promise<errors.Result<types.Term>> {
  return await program.inOrder(async () => {
    const { state } = program
    const unplaced = typeof content === 'function' ? content() : content
    const record = { ...unplaced, program: program.id, n: state.n + 1, term: state.term } as types.JournalRecord
    const appended = await journal.append(record)
    if (!appended.ok) return appended
    return checkEffect(record, appended.value)
  })
}

export function checkEffect (record: types.JournalRecord, appended: { readonly position: types.Term, readonly effect: programState.Effect }): errors.Result<types.Term> {
  const { effect, position } = appended
  switch (effect.type) {
    case 'applied': return errors.ok(position)
    case 'incomplete': return errors.fail({ tag: 'historyIncomplete', verdict: 'mayHaveRun', message: `records of ${record.program} have expired` })
    case 'void': return errors.fail(isChainReason(effect.reason) ? superseded(record.program) : refusedContent(record, effect.reason))
    default: return errors.unreachable(effect)
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
    default: return errors.unreachable(reason)
  }
}
