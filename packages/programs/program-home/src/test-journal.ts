/** In-memory journal of one program for the tests of this package, with scripted outcomes of appends. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/**
 * Outcome of one append: `lost` is stored but not acknowledged; `unread` likewise, but applied only when `readHead` is
 * called; `late` is stored only by `storeRecord`; `refused` is not stored.
 */
export type ScriptedOutcome = 'ok' | 'lost' | 'unread' | 'late' | 'refused'

export const home: types.ProcessRef = { host: 'h' as types.HostId, incarnation: 'h1' as types.Incarnation }
export const client = 'c' as types.ClientId
export const mainBranch = 'main' as types.BranchId

type AppendAnswer = Awaited<ReturnType<appendJournal.Journal['append']>>

/** Follows the contract of `Journal.append`: appending the same record again returns the outcome of its first copy. */
export class TestJournal {
  /** Outcomes of the next appends, in order. */
  outcomes: ScriptedOutcome[] = []
  /** Outcome of all further appends. */
  defaultOutcome: ScriptedOutcome = 'ok'
  readonly appended: types.JournalRecord[] = []
  readonly program: local.LocalProgram
  private readonly view: programState.ProgramView
  private readonly unreadRecords: types.JournalRecord[] = []
  private readonly storedAnswers = new Map<string, AppendAnswer>()
  private position = 10

  constructor (program: types.ProgramId, budget: types.Budget = { tokens: 100_000, calls: 100, microCost: 500_000, wallMs: 600_000 }) {
    const start = { program, client, kind: 'quote' as types.KindId, deadline: 600_000 as types.EpochMs, budget }
    const begin: types.BeginRecord = { type: 'begin', program, n: 1, term: 0 as types.Term, start, home, at: 0 as types.EpochMs }
    this.view = programState.applyRecord(undefined, begin, this.position as types.Term).view!
    this.program = new local.LocalProgram(programState.getCompleteState(this.view)!, limitClient.createRetryBudget(limitClient.processRetrySettings))
  }

  /** The methods of a journal that a home uses. */
  get journal (): appendJournal.Journal {
    const methods: Pick<appendJournal.Journal, 'append' | 'isAvailable' | 'readHead' | 'load' | 'release'> = {
      append: async (record) => this.append(record),
      isAvailable: () => true,
      readHead: async () => {
        for (const record of this.unreadRecords.splice(0)) this.storeRecord(record)
        return errors.ok(this.program.state)
      },
      load: async () => errors.ok(this.program.state),
      release: () => {}
    }
    return methods as appendJournal.Journal
  }

  /** Stores and applies a record whose append was `late`. */
  storeRecord (record: types.JournalRecord): AppendAnswer {
    const text = programState.encodeRecord(record)
    const previousAnswer = this.storedAnswers.get(text)
    if (previousAnswer !== undefined) return previousAnswer
    this.position += 1
    const { effect } = programState.applyRecord(this.view, record, this.position as types.Term)
    const answer: AppendAnswer = errors.ok({ position: this.position as types.Term, applied: effect.type === 'applied', effect })
    this.storedAnswers.set(text, answer)
    return answer
  }

  private append (record: types.JournalRecord): AppendAnswer {
    const outcome = this.outcomes.shift() ?? this.defaultOutcome
    this.appended.push(record)
    switch (outcome) {
      case 'ok': return this.storeRecord(record)
      case 'lost':
        this.storeRecord(record)
        return errors.fail(createLogUnavailableFailure('mayHaveRun'))
      case 'unread':
        this.unreadRecords.push(record)
        return errors.fail(createLogUnavailableFailure('mayHaveRun'))
      case 'late': return errors.fail(createLogUnavailableFailure('mayHaveRun'))
      case 'refused': return errors.fail(createLogUnavailableFailure('notRun'))
      default: return errors.assertNever(outcome)
    }
  }
}

function createLogUnavailableFailure (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the test log is unavailable', retryAfterMs: 10 }
}
