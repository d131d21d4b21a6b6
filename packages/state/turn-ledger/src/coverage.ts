/** How much of a program's budget the stored records count as handed out already, whatever becomes of this process. */

/**
 * The share of its most that a turn makes, as the mean of deployments seen: 0.27. Records count that share of a program's
 * turns ahead, so that an outage of the store leaves the usual program its usual turns.
 */
const usualShare = 0.3

/** An outage of the store finds one kept turn of a program under way, and its client sends that turn once more meanwhile. */
const keptAheadTurns = 2

/** What a record is written for. */
export interface AheadInput {
  readonly budgetTokens: number
  /** Tokens that are spent or may still be spent in open turns. */
  readonly usedTokens: number
  readonly maxTokens: number
  /** Whether the program's turns are kept. */
  readonly keeps: boolean
}

/**
 * Tokens that a record counts ahead of those that are used. They are lost to the program if its owner crashes, so room
 * for one more turn at its most is left wherever there is any. Kept turns each write a record, so that no more than
 * `keptAheadTurns` of them need be covered.
 */
export function aheadTokens ({ budgetTokens, usedTokens, maxTokens, keeps }: AheadInput): number {
  const usual = usualRest(budgetTokens, maxTokens)
  const wanted = keeps ? Math.min(usual, maxTokens * keptAheadTurns) : usual
  return Math.max(0, Math.min(wanted, budgetTokens - usedTokens - maxTokens))
}

/** What the turns after the first one usually make of a budget. */
function usualRest (budgetTokens: number, maxTokens: number): number {
  return Math.floor(Math.max(0, budgetTokens - maxTokens) * usualShare)
}

/**
 * Tokens that an owner may hand out to a program without any record: a turn at its most, and the usual rest. A program
 * of three turns needs 1.5 times the most of one, and so gets through an outage without a call to the store.
 */
export function allowanceTokens (budgetTokens: number, maxTokens: number): number {
  return maxTokens + usualRest(budgetTokens, maxTokens)
}

/** Tokens beyond what is used that let the usual next turn be covered as well. */
export function usualTokens (maxTokens: number): number {
  return maxTokens * usualShare
}

/** What the store holds, and what is on its way there: a write that was not acknowledged may be stored or not. */
export class Coverage {
  private readonly onTheWay: number[] = []
  private written: boolean

  /** Stored: tokens that the store counts at the start, by a record or by the allowance of programs without one. */
  constructor (private stored: number, isWritten: boolean) { this.written = isWritten }

  /** Tokens that may be handed out in all. */
  get tokens (): number {
    return Math.min(this.stored, ...this.onTheWay)
  }

  /** Tokens that may be handed out once everything on its way is stored. */
  get expected (): number {
    return this.onTheWay.at(-1) ?? this.stored
  }

  /** Whether the store may hold a record. */
  get isWritten (): boolean {
    return this.written
  }

  /** A record that counts so many tokens is being written. */
  write (tokens: number): void {
    this.written = true
    this.onTheWay.push(tokens)
  }

  /** The oldest write on its way is stored. */
  acknowledge (): void {
    this.stored = this.onTheWay.shift() ?? this.stored
  }
}
