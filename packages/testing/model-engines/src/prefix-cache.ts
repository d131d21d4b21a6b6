/** The prefix cache of a fake engine: least recently used first out, but for what is held or in use. */
import type * as timerService from '@eelgrasswind/timer-service'

interface Entry {
  tokens: number
  inUse: boolean
  heldUntil: number
  usedAt: number
}

/** Told when a prefix is evicted, and how long after its last use; the engine passes it on late, and not always. */
export type EvictionListener = (prefix: string, ageMs: number) => void

export class PrefixCache {
  /** Least recently used first. */
  readonly #entries = new Map<string, Entry>()
  readonly #capacity: number
  readonly #timers: timerService.TimerService
  #used = 0
  onEvict: EvictionListener = () => {}

  constructor (capacity: number, timers: timerService.TimerService) {
    this.#capacity = capacity
    this.#timers = timers
  }

  tokensOf (prefix: string): number {
    return this.#entries.get(prefix)?.tokens ?? 0
  }

  /**
   * Takes memory for a call and returns the tokens that are cached, or undefined when there is no room. With
   * `breakHolds`, room is made even from what is held.
   */
  open (prefix: string, totalTokens: number, importedTokens: number, breakHolds: boolean): number | undefined {
    const known = this.#entries.get(prefix)
    const cached = Math.max(known?.tokens ?? 0, importedTokens)
    const wasInUse = known?.inUse ?? false
    if (known !== undefined) known.inUse = true
    const needed = this.#used - (known?.tokens ?? 0) + totalTokens - this.#capacity
    if (!this.#makeRoom(needed, breakHolds)) {
      if (known !== undefined) known.inUse = wasInUse
      return undefined
    }
    this.drop(prefix)
    this.#entries.set(prefix, { tokens: totalTokens, inUse: true, heldUntil: 0, usedAt: this.#timers.now() })
    this.#used += totalTokens
    return cached
  }

  /** The call has ended; its prefix stays until its memory is needed. */
  close (prefix: string): void {
    const entry = this.#entries.get(prefix)
    if (entry === undefined) return
    entry.inUse = false
    entry.usedAt = this.#timers.now()
    // The map keeps the order of use.
    this.#entries.delete(prefix)
    this.#entries.set(prefix, entry)
  }

  /** Keeps a prefix from being evicted for a time. */
  hold (prefix: string, holdMs: number): void {
    const entry = this.#entries.get(prefix)
    if (entry !== undefined) entry.heldUntil = this.#timers.now() + holdMs
  }

  drop (prefix: string): void {
    this.#used -= this.#entries.get(prefix)?.tokens ?? 0
    this.#entries.delete(prefix)
  }

  clear (): void {
    this.#entries.clear()
    this.#used = 0
  }

  #makeRoom (needed: number, breakHolds: boolean): boolean {
    if (needed <= 0) return true
    const victims = this.#victims(needed, breakHolds)
    if (victims === undefined) return false
    for (const prefix of victims) {
      const usedAt = this.#entries.get(prefix)?.usedAt ?? 0
      this.drop(prefix)
      this.onEvict(prefix, this.#timers.now() - usedAt)
    }
    return true
  }

  #victims (needed: number, breakHolds: boolean): string[] | undefined {
    const now = this.#timers.now()
    const victims: string[] = []
    const held: string[] = []
    let left = needed
    for (const [prefix, entry] of this.#entries) {
      if (left <= 0) return victims
      if (entry.inUse) continue
      if (entry.heldUntil > now) {
        held.push(prefix)
        continue
      }
      victims.push(prefix)
      left -= entry.tokens
    }
    for (const prefix of breakHolds ? held : []) {
      if (left <= 0) return victims
      victims.push(prefix)
      left -= this.tokensOf(prefix)
    }
    return left <= 0 ? victims : undefined
  }
}
