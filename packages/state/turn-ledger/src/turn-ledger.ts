/**
 * Ledger of one shard: the completed turns with their chains, and what each program may still spend. Does no I/O: times are
 * passed in, and every change returns the keyed records that make it durable.
 */
import type * as types from '@eelgrasswind/types'
import * as coverage from './coverage.js'
import * as records from './records.js'
import * as turnChains from './turn-chains.js'

/** A keyed record to append; without a value it removes the key. */
export interface LedgerWrite {
  readonly key: string
  readonly value: Uint8Array | undefined
  /** Program whose budget the record covers; `acknowledgeWrites` uses it. */
  readonly counts?: types.ProgramId
}

/** A request to run a turn. */
export interface TurnRequest {
  readonly turn: records.TurnId
  readonly program: types.ProgramId
  /** Client account of the request; `undefined` if it named none. */
  readonly account: types.AccountId | undefined
  /** The turn to continue from; `undefined` at the start of a chain. */
  readonly previous: records.TurnId | undefined
  /** Maximum number of tokens that the turn may generate. */
  readonly maxTokens: number
  /** Maximum number of tokens that all turns of the program may generate together; `undefined` if the request names none. */
  readonly budgetTokens: number | undefined
  /** Whether the turn's content is kept for later turns; its tokens count against the program's budget either way. */
  readonly keeps: boolean
  /** How long the turn and its program are kept, in ms. */
  readonly retainMs: number
}

/** Result of a request to run a turn. */
export type Admission =
  /** The turn to continue from is not in this ledger, or belongs to another account. */
  | { readonly type: 'unknownPrevious' }
  /** The turn's token limit exceeds what is left of the program's budget. */
  | { readonly type: 'overBudget', readonly spentTokens: number, readonly openTokens: number }
  /**
   * The turn may run. `chain`: the parts of the prompt before the new input, oldest first. `isCovered`: stored records
   * already cover the turn's tokens, so they may be handed out at once; otherwise only after the writes are stored.
   */
  | { readonly type: 'admitted', readonly chain: readonly Uint8Array[], readonly writes: readonly LedgerWrite[], readonly isCovered: boolean }

/** Result of settling a turn. */
export type SettleOutcome =
  /** The writes make it durable; they must be stored in this order. */
  | { readonly type: 'settled', readonly writes: readonly LedgerWrite[] }
  /** A duplicate: the completed turn is already in the ledger. */
  | { readonly type: 'alreadyKept' }
  /** This ledger has no reservation for the turn. */
  | { readonly type: 'unknown' }
  /** The chain that the turn continues lacks a turn, so it could not be continued. Its tokens are counted. */
  | { readonly type: 'chainIncomplete' }
  /** The turn, for which no tokens were reserved, exceeds what is left of the program's budget. */
  | { readonly type: 'overBudget' }

/** What the former owner of a turn had and the new one may lack. */
export interface AdoptOptions {
  /** The chain that the turn continues from, newest first, from the shard that has it. */
  readonly copies?: readonly turnChains.StoredTurn[]
  /** Whether the turn's tokens were reserved, so that they may have been handed out. */
  readonly isReserved: boolean
}

/** How a turn ended. */
export type TurnEnd =
  /** Completed with a known number of tokens; its content can be kept. */
  | { readonly type: 'whole', readonly input: Uint8Array, readonly output: Uint8Array, readonly tokens: number }
  /** Completed or interrupted without keeping its content; `tokens` were handed out. */
  | { readonly type: 'counted', readonly tokens: number }
  /** Interrupted after an unknown number of tokens: counts with its token limit. */
  | { readonly type: 'broken' }
  /** No token was handed out: counts nothing. */
  | { readonly type: 'notRun' }

/** Budget of one program in memory. */
interface ProgramState {
  spentTokens: number
  /** Turns in flight, each with its token limit. */
  readonly openTurns: Map<records.TurnId, number>
  keepUntil: types.EpochMs
  readonly coverage: coverage.Coverage
  /** The program changed since its last record was written. */
  hasUnwrittenChange: boolean
}

/** Assumed bound on the clock skew between two owners, in ms; records are kept this much longer than promised. */
const maxClockSkewMs = 10_000

/** In-memory state of one shard; each new owner rebuilds it from the stored records. */
export class TurnLedger {
  private readonly programs = new Map<types.ProgramId, ProgramState>()
  private readonly chains = new turnChains.TurnChains()
  /** Turns that this owner has admitted and that have not ended: neither their programs nor their chains expire meanwhile. */
  private readonly turnsInFlight = new Map<records.TurnId, Pick<TurnRequest, 'program' | 'previous'>>()
  private allowance: records.AllowanceRecord = { isActive: false, takenOverAt: 0 as types.EpochMs }

  /**
   * Loads a stored record. Turns that were open at a former owner stay open, so that it can still settle them here; those
   * that it never settles count with their token limit.
   */
  loadRecord (key: string, value: Uint8Array): void {
    const parsed = records.parseKey(key)
    switch (parsed.type) {
      case 'turn':
        this.chains.load(parsed.turn, records.decodeTurn(value))
        return
      case 'program': {
        this.programs.set(parsed.program, restoreProgram(records.decodeProgram(value)))
        return
      }
      case 'allowance':
        this.allowance = records.decodeAllowance(value)
    }
  }

  /**
   * Activates the allowance of programs without a record; the writes must be stored before a turn is admitted. If the
   * allowance is still active from a former owner, that owner ended without a handover and what it handed out is unknown.
   */
  activateAllowance (now: types.EpochMs): readonly LedgerWrite[] {
    const takenOverAt = this.allowance.isActive ? now : this.allowance.takenOverAt
    this.allowance = { isActive: true, takenOverAt }
    return [this.createAllowanceWrite()]
  }

  /** Prepares a handover: writes a record of every program with an unwritten change and deactivates the allowance. */
  prepareHandover (): readonly LedgerWrite[] {
    const unwrittenPrograms = [...this.programs].filter(([, program]) => program.hasUnwrittenChange)
    this.allowance = { ...this.allowance, isActive: false }
    return [...unwrittenPrograms.map(([id, program]) => this.createProgramWrite(id, program, sumUsedTokens(program))), this.createAllowanceWrite()]
  }

  /** Notes that writes are stored; must be called in the order in which they were returned. */
  acknowledgeWrites (writes: readonly LedgerWrite[]): void {
    for (const { counts } of writes) {
      if (counts !== undefined) this.programs.get(counts)?.coverage.acknowledgeWrite()
    }
  }

  /**
   * Checks whether a turn may run and, if so, reserves its tokens. `copies`: the chain that it continues from, newest
   * first, from the shard that has it; they are added only if the turn is admitted, as a refusal stores nothing.
   */
  admitTurn (request: TurnRequest, now: types.EpochMs, copies: readonly turnChains.StoredTurn[] = []): Admission {
    const chain = this.chains.read(request.previous, request.account, copies)
    if (chain === undefined) return { type: 'unknownPrevious' }
    const program = this.programs.get(request.program) ?? this.createProgram(request, now)
    const usedTokens = sumUsedTokens(program)
    if (request.budgetTokens !== undefined && usedTokens + request.maxTokens > request.budgetTokens) {
      return { type: 'overBudget', spentTokens: program.spentTokens, openTokens: usedTokens - program.spentTokens }
    }
    const copyWrites = this.chains.addCopies(copies)
    this.turnsInFlight.set(request.turn, request)
    program.openTurns.set(request.turn, request.maxTokens)
    program.keepUntil = extendKeepUntil(program.keepUntil, now, request.retainMs)
    program.hasUnwrittenChange = true
    this.programs.set(request.program, program)
    const isCovered = request.budgetTokens !== undefined && sumUsedTokens(program) <= program.coverage.guaranteedTokens
    const advanceWrites = this.needsRecord(request, program, isCovered) ? [this.createAdvanceWrite(program, request)] : []
    return { type: 'admitted', chain, writes: [...copyWrites, ...advanceWrites], isCovered }
  }

  /** Whether `admitTurn` would admit the turn with its tokens covered already, so that it needs no answer of the store. */
  covers (request: TurnRequest, now: types.EpochMs): boolean {
    const program = this.programs.get(request.program) ?? this.createProgram(request, now)
    const usedTokens = sumUsedTokens(program) + request.maxTokens
    return request.budgetTokens !== undefined && usedTokens <= request.budgetTokens && usedTokens <= program.coverage.guaranteedTokens
  }

  /** Whether no turn of the program has run yet, as far as this ledger knows. */
  isNewProgram (id: types.ProgramId): boolean {
    const program = this.programs.get(id)
    return program === undefined || (program.spentTokens === 0 && program.openTurns.size === 0)
  }

  /**
   * Whether the program needs a record before the turn runs. A kept turn covered by stored records needs none before its
   * end: that saves a store call for most turns that continue from another, and if the owner fails first, the next one
   * adopts the turn. Programs whose turns are not kept get a record when a typical next turn would not be covered.
   */
  private needsRecord (request: TurnRequest, program: ProgramState, isCovered: boolean): boolean {
    if (request.keeps) return !isCovered
    return request.budgetTokens !== undefined && program.coverage.expectedTokens - sumUsedTokens(program) < coverage.estimateTurnTokens(request.maxTokens)
  }

  /** Settles a turn that has a reservation in this ledger. */
  settleTurn (request: TurnRequest, end: TurnEnd, now: types.EpochMs): SettleOutcome {
    if (this.chains.has(request.turn)) return { type: 'alreadyKept' }
    this.turnsInFlight.delete(request.turn)
    const program = this.programs.get(request.program)
    if (program === undefined || !program.openTurns.delete(request.turn)) return { type: 'unknown' }
    program.hasUnwrittenChange = true
    switch (end.type) {
      case 'notRun': break
      case 'broken':
        program.spentTokens += request.maxTokens
        break
      case 'counted':
      case 'whole':
        program.spentTokens += end.tokens
    }
    // No write is needed: without a record of its end, a turn counts with its token limit, which stored records cover.
    if (!request.keeps || end.type !== 'whole') return { type: 'settled', writes: [] }
    const turnWrite = this.addTurn(request, end, now)
    if (turnWrite === undefined) return { type: 'chainIncomplete' }
    return { type: 'settled', writes: [turnWrite, this.createAdvanceWrite(program, request)] }
  }

  /**
   * Keeps a completed turn of a former owner that could not store the turn's reservation. Returns `unknown` if the chain
   * that the turn continues is neither in this ledger nor among the copies.
   */
  adoptTurn (request: TurnRequest, end: Extract<TurnEnd, { type: 'whole' }>, now: types.EpochMs, { copies = [], isReserved }: AdoptOptions): SettleOutcome {
    if (this.chains.has(request.turn)) return { type: 'alreadyKept' }
    if (this.chains.read(request.previous, request.account, copies) === undefined) return { type: 'unknown' }
    const program = this.programs.get(request.program) ?? this.createProgram(request, now)
    if (!isReserved && request.budgetTokens !== undefined && sumUsedTokens(program) + end.tokens > request.budgetTokens) return { type: 'overBudget' }
    const copyWrites = this.chains.addCopies(copies)
    this.programs.set(request.program, program)
    program.keepUntil = extendKeepUntil(program.keepUntil, now, request.retainMs)
    program.openTurns.set(request.turn, request.maxTokens)
    const outcome = this.settleTurn(request, end, now)
    return outcome.type === 'settled' ? { type: 'settled', writes: [...copyWrites, ...outcome.writes] } : outcome
  }

  /** Drops turns and programs past their retention; the writes remove them from the store. */
  removeExpired (now: types.EpochMs): readonly LedgerWrite[] {
    const inFlight = [...this.turnsInFlight.values()]
    const writes: LedgerWrite[] = this.chains.removeExpired(now, inFlight.flatMap(({ previous }) => previous ?? []))
    const programsInFlight = new Set(inFlight.map(({ program }) => program))
    for (const [id, program] of this.programs) {
      // Turns that are open without being in flight here were left unsettled by a former owner.
      if (program.keepUntil >= now || programsInFlight.has(id)) continue
      this.programs.delete(id)
      if (program.coverage.hasWrittenRecord) writes.push({ key: records.programKey(id), value: undefined })
    }
    return writes
  }

  private addTurn (request: TurnRequest, end: Extract<TurnEnd, { type: 'whole' }>, now: types.EpochMs): LedgerWrite | undefined {
    const { program, account, previous } = request
    return this.chains.add(request.turn, { program, account, previous, input: end.input, output: end.output, keepUntil: extendKeepUntil(now, now, request.retainMs) })
  }

  /** Memory of the kept turns, in bytes. */
  get keptBytes (): number {
    return this.chains.keptBytes
  }

  /** Must be called once after all records are loaded. Returns the turns that can't be continued, as their chain is incomplete. */
  extendLoadedChains (): records.TurnId[] {
    return this.chains.extendLoaded()
  }

  /** Returns a turn of an account with its predecessors, newest first, for a program of another shard; `undefined` if not all are in this ledger. */
  exportChain (turn: records.TurnId, account: types.AccountId | undefined): turnChains.StoredTurn[] | undefined {
    return this.chains.export(turn, account)
  }

  /**
   * Creates the state of a program that this owner has not seen. After a takeover without a handover, a program without a
   * record may have used its allowance under the former owner; all of it but one turn is then counted as spent. So such a
   * program may exceed its budget by one turn, but new programs of a single turn are not refused; in return it gets no
   * further tokens without a record. Programs whose turns are kept have records from their first turn on.
   */
  private createProgram (request: TurnRequest, now: types.EpochMs): ProgramState {
    const { takenOverAt, isActive } = this.allowance
    const allowanceTokens = request.keeps || request.budgetTokens === undefined ? 0 : coverage.computeAllowanceTokens(request.budgetTokens, request.maxTokens)
    const mayHaveRun = now < extendKeepUntil(takenOverAt, takenOverAt, request.retainMs)
    const spentTokens = mayHaveRun ? Math.max(0, allowanceTokens - request.maxTokens) : 0
    const coveredTokens = isActive && !mayHaveRun ? allowanceTokens : 0
    return { spentTokens, openTurns: new Map(), keepUntil: now, coverage: new coverage.Coverage(coveredTokens, false), hasUnwrittenChange: true }
  }

  /** Writes a program record that reserves tokens in advance, as far as the budget allows. */
  private createAdvanceWrite (program: ProgramState, request: TurnRequest): LedgerWrite {
    const usedTokens = sumUsedTokens(program)
    const { budgetTokens = usedTokens, maxTokens, keeps } = request
    const advanceTokens = coverage.computeAdvanceTokens({ budgetTokens, usedTokens, maxTokens, keeps })
    return this.createProgramWrite(request.program, program, usedTokens + advanceTokens)
  }

  private createProgramWrite (id: types.ProgramId, program: ProgramState, coveredTokens: number): LedgerWrite {
    program.coverage.startWrite(coveredTokens)
    program.hasUnwrittenChange = false
    return { key: records.programKey(id), value: records.encodeProgram({ ...program, coveredTokens }), counts: id }
  }

  private createAllowanceWrite (): LedgerWrite {
    return { key: records.allowanceKey, value: records.encodeAllowance(this.allowance) }
  }
}

/** Restores a program from its record: all covered tokens may have been handed out, and open turns can still be settled. */
function restoreProgram (record: records.ProgramRecord): ProgramState {
  const openTurns = new Map(record.openTurns)
  const spentTokens = Math.max(record.spentTokens, record.coveredTokens - sum(openTurns.values()))
  return { spentTokens, openTurns, keepUntil: record.keepUntil, coverage: new coverage.Coverage(record.coveredTokens, true), hasUnwrittenChange: false }
}

/** Tokens that a program has spent or has reserved for its open turns. */
function sumUsedTokens (program: ProgramState): number {
  return program.spentTokens + sum(program.openTurns.values())
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}

function extendKeepUntil (keepUntil: types.EpochMs, now: types.EpochMs, retainMs: number): types.EpochMs {
  return Math.max(keepUntil, now + retainMs + maxClockSkewMs) as types.EpochMs
}
