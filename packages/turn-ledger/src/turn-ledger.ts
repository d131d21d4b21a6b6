/**
 * The ledger of one shard: which turns were answered whole, what their chains hold, and what each program may
 * still spend. Pure: times are passed in, and every change returns the keyed records that make it durable.
 */
import type * as types from '@eelgrasswind/types'
import * as records from './records.js'

/** A keyed record to append; without a value the key is dropped. */
export interface LedgerWrite {
  readonly key: string
  readonly value: Uint8Array | undefined
}

/** A turn with its id, as it is copied between shards. */
export interface KeptTurn {
  readonly turn: records.TurnId
  readonly record: records.TurnRecord
}

/** A turn that asks to run. */
export interface TurnRequest {
  readonly turn: records.TurnId
  readonly program: types.ProgramId
  readonly previous: records.TurnId | undefined
  /** The most tokens that the turn may make. */
  readonly maxTokens: number
  /** Tokens that all turns of the program may make together; `undefined` where none was named. */
  readonly budgetTokens: number | undefined
  readonly retainMs: number
}

/** What a turn that asks to run is told. */
export type Admission =
  /** No such turn is kept here. */
  | { readonly type: 'unknownPrevious' }
  | { readonly type: 'overBudget', readonly spentTokens: number, readonly openTokens: number }
  /** Chain: the parts of the prompt before the new input, oldest first. The write reserves the turn's tokens. */
  | { readonly type: 'admitted', readonly chain: readonly Uint8Array[], readonly write: LedgerWrite }

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
  /** Broke off: counts at its most. */
  | { readonly type: 'broken' }
  /** No upstream worked on it: counts nothing. */
  | { readonly type: 'notRun' }

interface ProgramState {
  spentTokens: number
  readonly open: Map<records.TurnId, number>
  keepUntil: types.EpochMs
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

  /**
   * Takes over a stored record. Turns that a former owner had open stay open, so that it can still settle them here;
   * what it never settles counts at its most.
   */
  load (key: string, value: Uint8Array): void {
    const parsed = records.parseKey(key)
    switch (parsed.type) {
      case 'turn':
        this.turns.set(parsed.turn, { ...records.decodeTurn(value) })
        return
      case 'program': {
        const record = records.decodeProgram(value)
        this.programs.set(parsed.program, { spentTokens: record.spentTokens, open: new Map(record.open), keepUntil: record.keepUntil })
      }
    }
  }

  /** Whether a turn may run; if so, its tokens are reserved. */
  admit (request: TurnRequest, now: types.EpochMs): Admission {
    const chain = this.chainOf(request.previous)
    if (chain === undefined) return { type: 'unknownPrevious' }
    const program = this.programs.get(request.program) ?? { spentTokens: 0, open: new Map<records.TurnId, number>(), keepUntil: now }
    const openTokens = sum(program.open.values())
    if (request.budgetTokens !== undefined && program.spentTokens + openTokens + request.maxTokens > request.budgetTokens) {
      return { type: 'overBudget', spentTokens: program.spentTokens, openTokens }
    }
    program.open.set(request.turn, request.maxTokens)
    program.keepUntil = later(program.keepUntil, now, request.retainMs)
    this.programs.set(request.program, program)
    return { type: 'admitted', chain, write: this.programWrite(request.program, program) }
  }

  /** Settles a turn whose tokens are reserved here. */
  end (request: TurnRequest, end: TurnEnd, now: types.EpochMs): EndOutcome {
    if (this.turns.has(request.turn)) return { type: 'alreadyKept' }
    const program = this.programs.get(request.program)
    if (program === undefined || !program.open.delete(request.turn)) return { type: 'unknown' }
    switch (end.type) {
      case 'notRun': break
      case 'broken':
        program.spentTokens += request.maxTokens
        break
      case 'whole':
        program.spentTokens += end.tokens
        return { type: 'settled', writes: [this.keepTurn(request, end, now), this.programWrite(request.program, program)] }
    }
    return { type: 'settled', writes: [this.programWrite(request.program, program)] }
  }

  /** Drops what is past its retention; the writes remove it from the store. */
  expire (now: types.EpochMs): readonly LedgerWrite[] {
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
      writes.push({ key: records.programKey(id), value: undefined })
    }
    return writes
  }

  private keepTurn (request: TurnRequest, end: Extract<TurnEnd, { type: 'whole' }>, now: types.EpochMs): LedgerWrite {
    const keepUntil = later(now, now, request.retainMs)
    const state: TurnState = { program: request.program, previous: request.previous, input: end.input, output: end.output, keepUntil }
    this.turns.set(request.turn, state)
    this.extendChain(request.previous, keepUntil)
    return { key: records.turnKey(request.turn), value: records.encodeTurn(state) }
  }

  /** A turn is kept as long as any turn that continues from it. */
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
  finishLoad (): void {
    for (const state of [...this.turns.values()]) this.extendChain(state.previous, state.keepUntil)
  }

  /** A turn with all before it, newest first, for a program of another shard; `undefined` where it is not kept here. */
  exportChain (turn: records.TurnId): KeptTurn[] | undefined {
    const chain: KeptTurn[] = []
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
  importChain (chain: readonly KeptTurn[]): LedgerWrite[] {
    return chain.filter(({ turn }) => !this.turns.has(turn)).map(({ turn, record }) => {
      this.turns.set(turn, { ...record })
      return { key: records.turnKey(turn), value: records.encodeTurn(record) }
    })
  }

  /** The parts of a chain, oldest first; `undefined` where a turn is missing. */
  private chainOf (turn: records.TurnId | undefined): Uint8Array[] | undefined {
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

  private programWrite (id: types.ProgramId, program: ProgramState): LedgerWrite {
    return { key: records.programKey(id), value: records.encodeProgram(program) }
  }
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}

function later (current: types.EpochMs, now: types.EpochMs, retainMs: number): types.EpochMs {
  return Math.max(current, now + retainMs + clockSlackMs) as types.EpochMs
}
