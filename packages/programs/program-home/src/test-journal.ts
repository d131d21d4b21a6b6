/** A journal in memory for the tests of this package: one program, whose appends meet given outcomes. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** What becomes of one append: `lost` lands without an answer, `unread` too, but is read by `head` alone; `late` does not land yet, `refused` never does. */
export type AppendOutcome = 'ok' | 'lost' | 'unread' | 'late' | 'refused'

export const home: types.ProcessRef = { host: 'h' as types.HostId, incarnation: 'h1' as types.Incarnation }
export const client = 'c' as types.ClientId
export const mainBranch = 'main' as types.BranchId

type Answer = Awaited<ReturnType<appendJournal.Journal['append']>>

/** Keeps the contract of `Journal.append`: the same record appended again tells the fate of its first copy. */
export class TestJournal {
  /** Outcomes of the next appends. */
  outcomes: AppendOutcome[] = []
  /** Outcome of the appends after those; ok where it is not set. */
  usual: AppendOutcome = 'ok'
  readonly appended: types.JournalRecord[] = []
  readonly program: local.LocalProgram
  private readonly view: programState.ProgramView
  private readonly unread: types.JournalRecord[] = []
  private readonly landed = new Map<string, Answer>()
  private position = 10

  constructor (program: types.ProgramId, budget: types.Budget = { tokens: 100_000, calls: 100, microCost: 500_000, wallMs: 600_000 }) {
    const start = { program, client, kind: 'quote' as types.KindId, deadline: 600_000 as types.EpochMs, budget }
    const begin: types.BeginRecord = { type: 'begin', program, n: 1, term: 0 as types.Term, start, home, at: 0 as types.EpochMs }
    this.view = programState.applyRecord(undefined, begin, this.position as types.Term).view!
    this.program = new local.LocalProgram(programState.getCompleteState(this.view)!, limitClient.createRetryBudget(limitClient.processRetrySettings))
  }

  /** The part of a journal that a home writes with. */
  get journal (): appendJournal.Journal {
    const used: Pick<appendJournal.Journal, 'append' | 'isAvailable' | 'readHead' | 'load'> = {
      append: async (record) => this.append(record),
      isAvailable: () => true,
      readHead: async () => {
        for (const record of this.unread.splice(0)) this.land(record)
        return errors.ok(this.program.state)
      },
      load: async () => errors.ok(this.program.state)
    }
    return used as appendJournal.Journal
  }

  /** Lands a record whose append was `late`. */
  land (record: types.JournalRecord): Answer {
    const text = programState.encodeRecord(record)
    const known = this.landed.get(text)
    if (known !== undefined) return known
    this.position += 1
    const { effect } = programState.applyRecord(this.view, record, this.position as types.Term)
    const answer: Answer = errors.ok({ position: this.position as types.Term, applied: effect.type === 'applied', effect })
    this.landed.set(text, answer)
    return answer
  }

  private append (record: types.JournalRecord): Answer {
    const outcome = this.outcomes.shift() ?? this.usual
    this.appended.push(record)
    switch (outcome) {
      case 'ok': return this.land(record)
      case 'lost':
        this.land(record)
        return errors.fail(unavailable('mayHaveRun'))
      case 'unread':
        this.unread.push(record)
        return errors.fail(unavailable('mayHaveRun'))
      case 'late': return errors.fail(unavailable('mayHaveRun'))
      case 'refused': return errors.fail(unavailable('notRun'))
      default: return errors.assertNever(outcome)
    }
  }
}

function unavailable (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the test log fails', retryAfterMs: 10 }
}
