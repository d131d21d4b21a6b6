/** Lets connections whose requests come in very many pieces take turns, so that the event loop comes round for the others. */

/** Something that waits for its turn. */
export interface Waiter {
  readonly onTurn: () => void
}

/** Gives one waiter its turn in each round of the event loop, in the order in which they came. */
export class ReadTurns {
  private readonly waiters = new Set<Waiter>()

  get count (): number {
    return this.waiters.size
  }

  /** Has no effect while it waits. */
  add (waiter: Waiter): void {
    const wasEmpty = this.waiters.size === 0
    this.waiters.add(waiter)
    if (wasEmpty) setImmediate(() => { this.giveTurn() })
  }

  delete (waiter: Waiter): void {
    this.waiters.delete(waiter)
  }

  private giveTurn (): void {
    const [next] = this.waiters
    if (next === undefined) return
    this.waiters.delete(next)
    next.onTurn()
    if (this.waiters.size > 0) setImmediate(() => { this.giveTurn() })
  }
}
