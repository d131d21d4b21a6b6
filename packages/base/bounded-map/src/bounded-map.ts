/** A map that holds so many entries at most: the one that was set longest ago goes first. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>()

  constructor (private readonly most: number) {}

  get size (): number {
    return this.entries.size
  }

  get (key: Key): Value | undefined {
    return this.entries.get(key)
  }

  has (key: Key): boolean {
    return this.entries.has(key)
  }

  values (): IterableIterator<Value> {
    return this.entries.values()
  }

  delete (key: Key): void {
    this.entries.delete(key)
  }

  /** The key becomes the newest. Returns the value that had to go, if any. */
  set (key: Key, value: Value): Value | undefined {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.most) return undefined
    const oldest = this.entries.entries().next()
    if (oldest.done === true) return undefined
    const [oldestKey, gone] = oldest.value
    this.entries.delete(oldestKey)
    return gone
  }
}
