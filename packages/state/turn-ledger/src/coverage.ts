/**
 * Reservation of a program's budget in advance: stored records count more tokens than are used yet, so that turns can run
 * without a store call each. The next owner counts all of them as handed out, even if this process crashes.
 */

/**
 * Share of its token limit that a turn typically generates; the observed mean is 0.27. Records reserve this share of
 * a program's further turns in advance, so that a typical program can go on during a store outage.
 */
const typicalShare = 0.3

/** Kept turns reserved in advance: when a store outage begins, one is in flight, and its client repeats it once meanwhile. */
const keptTurnsAhead = 2

/** Input of `computeAdvanceTokens`. */
export interface AdvanceInput {
  readonly budgetTokens: number
  /** Tokens that are spent or reserved by open turns. */
  readonly usedTokens: number
  /** Token limit of one turn. */
  readonly maxTokens: number
  /** Whether the content of the program's turns is kept for later turns. */
  readonly keeps: boolean
}

/**
 * Tokens that a record reserves beyond those already used. A crash of the owner costs the program these tokens, so the
 * budget of one more turn at its limit is left free if there is any. Each kept turn writes a record, so no more than
 * `keptTurnsAhead` of them need to be reserved.
 */
export function computeAdvanceTokens ({ budgetTokens, usedTokens, maxTokens, keeps }: AdvanceInput): number {
  const typicalTokens = estimateFurtherTokens(budgetTokens, maxTokens)
  const wantedTokens = keeps ? Math.min(typicalTokens, maxTokens * keptTurnsAhead) : typicalTokens
  return Math.max(0, Math.min(wantedTokens, budgetTokens - usedTokens - maxTokens))
}

/** Tokens that the turns after the first typically use of a budget. */
function estimateFurtherTokens (budgetTokens: number, maxTokens: number): number {
  return Math.floor(Math.max(0, budgetTokens - maxTokens) * typicalShare)
}

/**
 * Tokens that an owner may hand out to a program without any record: one turn at its limit and the typical use of the
 * further turns. A program of three turns needs 1.5 times the limit of one turn, so it completes without a store call,
 * also in an outage.
 */
export function computeAllowanceTokens (budgetTokens: number, maxTokens: number): number {
  return maxTokens + estimateFurtherTokens(budgetTokens, maxTokens)
}

/** Tokens that a turn typically generates. */
export function estimateTurnTokens (maxTokens: number): number {
  return maxTokens * typicalShare
}

/** Tracks the tokens that the stored record of a program covers, and the writes in flight, which may be stored or not. */
export class Coverage {
  private readonly inFlightTokens: number[] = []
  private hasWritten: boolean

  /** `storedTokens`: initially covered by a stored record, or by the allowance of programs without a record. */
  constructor (private storedTokens: number, hasRecord: boolean) { this.hasWritten = hasRecord }

  /** Tokens that may be handed out in total, whichever of the writes in flight are stored. */
  get guaranteedTokens (): number {
    return Math.min(this.storedTokens, ...this.inFlightTokens)
  }

  /** Tokens that may be handed out in total once every write in flight is stored. */
  get expectedTokens (): number {
    return this.inFlightTokens.at(-1) ?? this.storedTokens
  }

  /** Whether the store may hold a record. */
  get hasWrittenRecord (): boolean {
    return this.hasWritten
  }

  /** Notes that a record covering this many tokens is being written. */
  startWrite (tokens: number): void {
    this.hasWritten = true
    this.inFlightTokens.push(tokens)
  }

  /** Notes that the oldest write in flight is stored. */
  acknowledgeWrite (): void {
    this.storedTokens = this.inFlightTokens.shift() ?? this.storedTokens
  }
}
