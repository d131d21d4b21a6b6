/** A binary heap with lazy deletion: entries are marked as dropped without a search. */

/** One entry; dropped entries are skipped when they reach the top. */
export interface HeapEntry<T> {
  readonly key: number
  /** Order of arrival, which breaks ties. */
  readonly order: number
  readonly item: T
  isDropped: boolean
}

/** A min-heap by key; ties are broken by order of arrival. */
export class Heap<T> {
  readonly #entries: HeapEntry<T>[] = []

  push (entry: HeapEntry<T>): void {
    let index = this.#entries.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  /** The first entry that has not been dropped. */
  peek (): HeapEntry<T> | undefined {
    while (this.#entries[0]?.isDropped === true) this.#removeTop()
    return this.#entries[0]
  }

  /** Removes dropped entries, which otherwise accumulate behind an entry that never reaches the top. */
  compact (): void {
    const kept = this.#entries.filter((entry) => !entry.isDropped)
    this.#entries.length = 0
    for (const entry of kept) this.push(entry)
  }

  /** Number of entries, dropped ones included. */
  get length (): number {
    return this.#entries.length
  }

  #removeTop (): void {
    const last = this.#entries.pop()
    if (last === undefined || this.#entries.length === 0) return
    this.#entries[0] = last
    this.#siftDown()
  }

  #siftDown (): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      if (left >= this.#entries.length) return
      const right = left + 1
      const child = right < this.#entries.length && this.#isBefore(right, left) ? right : left
      if (!this.#isBefore(child, index)) return
      this.#swap(index, child)
      index = child
    }
  }

  #isBefore (a: number, b: number): boolean {
    const first = this.#entries[a]!
    const second = this.#entries[b]!
    return first.key < second.key || (first.key === second.key && first.order < second.order)
  }

  #swap (a: number, b: number): void {
    const swapped = this.#entries[a]!
    this.#entries[a] = this.#entries[b]!
    this.#entries[b] = swapped
  }
}
