/**
 * The ledger of one shard: which turns were answered whole, what their chains hold, and what each program may
 * still spend. Pure: times are passed in, and every change returns the keyed records that make it durable.
 */
import type * as types from '@eelgrasswind/types'
import * as coverage from './coverage.js'
import * as records from './records.js'

/** A keyed record to append; without a value the key is dropped. */
export interface LedgerWrite {
  readonly key: string
  readonly value: Uint8Array | undefined
  /** The program whose budget the record counts; `noteStored` wants to hear when it is stored. */
  readonly counts?: types.ProgramId
}

/** A turn with its id, as it is copied between shards. */
export interface StoredTurn {
  readonly turn: records.TurnId
  readonly record: records.TurnRecord
}

/** A turn that asks to run. */
export interface TurnRequest {
  readonly turn: records.TurnId
  readonly program: types.ProgramId
  /** The client account that asks; `undefined`: none was named. */
  readonly account: types.AccountId | undefined
  readonly previous: records.TurnId | undefined
  /** The most tokens that the turn may make. */
  readonly maxTokens: number
  /** Tokens that all turns of the program may make together; `undefined` where none was named. */
  readonly budgetTokens: number | undefined
  /** Whether what was said is kept for later turns; the program's budget is remembered either way. */
  readonly keeps: boolean
  readonly retainMs: number
}

/** What a turn that asks to run is told. */
export type Admission =
  /** No such turn of this account is kept here. */
  | { readonly type: 'unknownPrevious' }
  | { readonly type: 'overBudget', readonly spentTokens: number, readonly openTokens: number }
  /**
   * Chain: the parts of the prompt before the new input, oldest first. Covered: the stored records count the turn's
   * tokens already, so that they may be handed out; otherwise only once the writes are stored.
   */
  | { readonly type: 'admitted', readonly chain: readonly Uint8Array[], readonly writes: readonly LedgerWrite[], readonly isCovered: boolean }

/** What a settled end needs. */
export type EndOutcome =
  /** The writes make it durable, in the order in which they must be stored. */
  | { readonly type: 'settled', readonly writes: readonly LedgerWrite[] }
  /** The turn is kept already: its end was stored before. */
  | { readonly type: 'alreadyKept' }
  /** No tokens are reserved for such a turn here. */
  | { readonly type: 'unknown' }

/** How a turn ended, for its budget. */
export type TurnEnd =
  /** Answered whole: kept, and its tokens are known. */
  | { readonly type: 'whole', readonly input: Uint8Array, readonly output: Uint8Array, readonly tokens: number }
  /** Nothing of it is kept; so many tokens were handed out, whether it was whole or broke off. */
  | { readonly type: 'counted', readonly tokens: number }
  /** Broke off: counts at its most. */
  | { readonly type: 'broken' }
  /** Nothing of it was handed out: counts nothing. */
  | { readonly type: 'notRun' }

interface ProgramState {
  spentTokens: number
  readonly open: Map<records.TurnId, number>
  keepUntil: types.EpochMs
  readonly coverage: coverage.Coverage
  /** No record of it was written since it changed. */
  unwritten: boolean
}

interface TurnState extends records.TurnRecord {
  keepUntil: types.EpochMs
}

/** Clocks of two owners may differ by some seconds; records are kept that much longer than promised. */
const clockSlackMs = 10_000

/** State of one shard in memory, always rebuilt from its records by the next owner. */
export class TurnLedger {
  private readonly programs = new Map<types.ProgramId, ProgramState>()
  private readonly turns = new Map<records.TurnId, TurnState>()
  private allowance: records.AllowanceRecord = { inForce: false, takenOverAt: 0 as types.EpochMs }

  /**
   * Takes over a stored record. Turns that a former owner had open stay open, so that it can still settle them here;
   * what it never settles counts at its most.
   */
  loadRecord (key: string, value: Uint8Array): void {
    const parsed = records.parseKey(key)
    switch (parsed.type) {
      case 'turn':
        this.turns.set(parsed.turn, { ...records.decodeTurn(value) })
        return
      case 'program': {
        this.programs.set(parsed.program, takeOver(records.decodeProgram(value)))
        return
      }
      case 'allowance':
        this.allowance = records.decodeAllowance(value)
    }
  }

  /**
   * Puts the allowance of programs without a record in force; the writes must be stored before a turn is admitted. Where
   * it was in force under a former owner, that one ended without a handover: what it handed out is not known.
   */
  activateAllowance (now: types.EpochMs): readonly LedgerWrite[] {
    const takenOverAt = this.allowance.inForce ? now : this.allowance.takenOverAt
    this.allowance = { inForce: true, takenOverAt }
    return [this.allowanceWrite()]
  }

  /** Ends the ownership in good order: records of all that has none yet, and the allowance is out of force. */
  prepareHandover (): readonly LedgerWrite[] {
    const unwritten = [...this.programs].filter(([, program]) => program.unwritten)
    this.allowance = { ...this.allowance, inForce: false }
    return [...unwritten.map(([id, program]) => this.recordWrite(id, program, used(program))), this.allowanceWrite()]
  }

  /** Writes are stored, in the order in which they were made. */
  acknowledgeWrites (writes: readonly LedgerWrite[]): void {
    for (const { counts } of writes) {
      if (counts !== undefined) this.programs.get(counts)?.coverage.acknowledge()
    }
  }

  /** Whether a turn may run; if so, its tokens are reserved. */
  admitTurn (request: TurnRequest, now: types.EpochMs): Admission {
    const chain = this.chainOf(request.previous, request.account)
    if (chain === undefined) return { type: 'unknownPrevious' }
    const program = this.programs.get(request.program) ?? this.createProgram(request, now)
    const usedTokens = used(program)
    if (request.budgetTokens !== undefined && usedTokens + request.maxTokens > request.budgetTokens) {
      return { type: 'overBudget', spentTokens: program.spentTokens, openTokens: usedTokens - program.spentTokens }
    }
    program.open.set(request.turn, request.maxTokens)
    program.keepUntil = later(program.keepUntil, now, request.retainMs)
    program.unwritten = true
    this.programs.set(request.program, program)
    const covered = request.budgetTokens !== undefined && used(program) <= program.coverage.tokens
    const writes = this.mustWrite(request, program, covered) ? [this.programWrite(program, request)] : []
    return { type: 'admitted', chain, writes, isCovered: covered }
  }

  /** Whether nothing of the program has run yet, as far as is known here. */
  isNewProgram (id: types.ProgramId): boolean {
    const program = this.programs.get(id)
    return program === undefined || (program.spentTokens === 0 && program.open.size === 0)
  }

  /**
   * A kept turn whose tokens are counted by what is stored needs no record before its end: that saves a call to the store
   * for most turns that continue from another, and if its owner ends first, the next one adopts it. Others are written
   * when the usual next turn would not be covered.
   */
  private mustWrite (request: TurnRequest, program: ProgramState, covered: boolean): boolean {
    if (request.keeps) return !covered
    return request.budgetTokens !== undefined && program.coverage.expected - used(program) < coverage.usualTokens(request.maxTokens)
  }

  /** Settles a turn whose tokens are reserved here. */
  settleTurn (request: TurnRequest, end: TurnEnd, now: types.EpochMs): EndOutcome {
    if (this.turns.has(request.turn)) return { type: 'alreadyKept' }
    const program = this.programs.get(request.program)
    if (program === undefined || !program.open.delete(request.turn)) return { type: 'unknown' }
    program.unwritten = true
    switch (end.type) {
      case 'notRun': break
      case 'broken':
        program.spentTokens += request.maxTokens
        break
      case 'counted':
      case 'whole':
        program.spentTokens += end.tokens
    }
    // Without a record of its end a turn counts at its most, which the records cover.
    if (!request.keeps || end.type !== 'whole') return { type: 'settled', writes: [] }
    return { type: 'settled', writes: [this.keepTurn(request, end, now), this.programWrite(program, request)] }
  }

  /**
   * Keeps a turn that a former owner ran whole, and whose reservation it could not store: its tokens were covered then,
   * and were handed out. `unknown` where the chain that it continues is not here.
   */
  adoptTurn (request: TurnRequest, end: Extract<TurnEnd, { type: 'whole' }>, now: types.EpochMs): EndOutcome {
    if (this.turns.has(request.turn)) return { type: 'alreadyKept' }
    if (this.chainOf(request.previous, request.account) === undefined) return { type: 'unknown' }
    const program = this.programs.get(request.program) ?? this.createProgram(request, now)
    this.programs.set(request.program, program)
    program.keepUntil = later(program.keepUntil, now, request.retainMs)
    program.open.set(request.turn, request.maxTokens)
    return this.settleTurn(request, end, now)
  }

  /** Drops what is past its retention; the writes remove it from the store. */
  removeExpired (now: types.EpochMs): readonly LedgerWrite[] {
    const writes: LedgerWrite[] = []
    for (const [turn, state] of this.turns) {
      if (state.keepUntil >= now) continue
      this.turns.delete(turn)
      writes.push({ key: records.turnKey(turn), value: undefined })
    }
    for (const [id, program] of this.programs) {
      // A turn that is still open now was left behind by a former owner: retention outlasts every turn.
      if (program.keepUntil >= now) continue
      this.programs.delete(id)
      if (program.coverage.isWritten) writes.push({ key: records.programKey(id), value: undefined })
    }
    return writes
  }

  private keepTurn (request: TurnRequest, end: Extract<TurnEnd, { type: 'whole' }>, now: types.EpochMs): LedgerWrite {
    const keepUntil = later(now, now, request.retainMs)
    const state: TurnState = { program: request.program, account: request.account, previous: request.previous, input: end.input, output: end.output, keepUntil }
    this.turns.set(request.turn, state)
    this.extendChain(request.previous, keepUntil)
    return { key: records.turnKey(request.turn), value: records.encodeTurn(state) }
  }

  /** Extends the retention of a turn and of all before it to that of a turn that continues from it. */
  private extendChain (turn: records.TurnId | undefined, keepUntil: types.EpochMs): void {
    let next = turn
    while (next !== undefined) {
      const state = this.turns.get(next)
      if (state === undefined) return
      if (state.keepUntil < keepUntil) state.keepUntil = keepUntil
      next = state.previous
    }
  }

  /** Stored retention times are those of each turn's own end: derives the chains' once all records are loaded. */
  extendLoadedChains (): void {
    for (const state of [...this.turns.values()]) this.extendChain(state.previous, state.keepUntil)
  }

  /** A turn of an account with all before it, newest first, for a program of another shard; `undefined` where it is not kept here. */
  exportChain (turn: records.TurnId, account: types.AccountId | undefined): StoredTurn[] | undefined {
    if (!this.mayContinue(turn, account)) return undefined
    const chain: StoredTurn[] = []
    let next: records.TurnId | undefined = turn
    while (next !== undefined) {
      const record = this.turns.get(next)
      if (record === undefined) return undefined
      chain.push({ turn: next, record })
      next = record.previous
    }
    return chain
  }

  /** Takes a copy of another shard's chain in; the writes make it durable here. */
  importChain (chain: readonly StoredTurn[]): LedgerWrite[] {
    return chain.filter(({ turn }) => !this.turns.has(turn)).map(({ turn, record }) => {
      this.turns.set(turn, { ...record })
      return { key: records.turnKey(turn), value: records.encodeTurn(record) }
    })
  }

  /** A turn is continued by its own account only, and so are all before it. */
  private mayContinue (turn: records.TurnId, account: types.AccountId | undefined): boolean {
    const state = this.turns.get(turn)
    return state !== undefined && state.account === account
  }

  /** The parts of an account's chain, oldest first; `undefined` where a turn is missing or is another account's. */
  private chainOf (turn: records.TurnId | undefined, account: types.AccountId | undefined): Uint8Array[] | undefined {
    if (turn !== undefined && !this.mayContinue(turn, account)) return undefined
    const parts: Uint8Array[] = []
    let next = turn
    while (next !== undefined) {
      const state = this.turns.get(next)
      if (state === undefined) return undefined
      parts.push(state.output, state.input)
      next = state.previous
    }
    return parts.reverse()
  }

  /**
   * A program that this owner hears of for the first time. One without a record may have used its allowance under a
   * former owner that ended without a handover. Its budget may be passed by one turn: that much of it is not counted,
   * which spares new programs of one turn a refusal; in return it gets nothing further without a record. Programs whose
   * turns are kept have records from their first turn on.
   */
  private createProgram (request: TurnRequest, now: types.EpochMs): ProgramState {
    const { takenOverAt, inForce } = this.allowance
    const allowance = request.keeps || request.budgetTokens === undefined ? 0 : coverage.allowanceTokens(request.budgetTokens, request.maxTokens)
    const mayHaveRun = now < later(takenOverAt, takenOverAt, request.retainMs)
    const spentTokens = mayHaveRun ? Math.max(0, allowance - request.maxTokens) : 0
    const covered = inForce && !mayHaveRun ? allowance : 0
    return { spentTokens, open: new Map(), keepUntil: now, coverage: new coverage.Coverage(covered, false), unwritten: true }
  }

  /** The record counts tokens ahead of those that are used, as far as the budget goes. */
  private programWrite (program: ProgramState, request: TurnRequest): LedgerWrite {
    const usedTokens = used(program)
    const { budgetTokens = usedTokens, maxTokens, keeps } = request
    const ahead = coverage.aheadTokens({ budgetTokens, usedTokens, maxTokens, keeps })
    return this.recordWrite(request.program, program, usedTokens + ahead)
  }

  private recordWrite (id: types.ProgramId, program: ProgramState, coveredTokens: number): LedgerWrite {
    program.coverage.write(coveredTokens)
    program.unwritten = false
    return { key: records.programKey(id), value: records.encodeProgram({ ...program, coveredTokens }), counts: id }
  }

  private allowanceWrite (): LedgerWrite {
    return { key: records.allowanceKey, value: records.encodeAllowance(this.allowance) }
  }
}

/** Whatever the record covers may have been handed out; turns that it names can still be settled. */
function takeOver (record: records.ProgramRecord): ProgramState {
  const open = new Map(record.open)
  const spentTokens = Math.max(record.spentTokens, record.coveredTokens - sum(open.values()))
  return { spentTokens, open, keepUntil: record.keepUntil, coverage: new coverage.Coverage(record.coveredTokens, true), unwritten: false }
}

/** Tokens that a program has spent or may still spend in its open turns. */
function used (program: ProgramState): number {
  return program.spentTokens + sum(program.open.values())
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}

function later (current: types.EpochMs, now: types.EpochMs, retainMs: number): types.EpochMs {
  return Math.max(current, now + retainMs + clockSlackMs) as types.EpochMs
}
