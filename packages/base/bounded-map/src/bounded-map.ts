/** A map with a maximum size: when it is full, the entry that was set longest ago is evicted. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>()

  constructor (private readonly maxSize: number) {}

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

  /** Sets an entry and makes it the newest. Returns the evicted value, if any. */
  set (key: Key, value: Value): Value | undefined {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.maxSize) return undefined
    const oldest = this.entries.entries().next()
    if (oldest.done === true) return undefined
    const [oldestKey, evicted] = oldest.value
    this.entries.delete(oldestKey)
    return evicted
  }
}
