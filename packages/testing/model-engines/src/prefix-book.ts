/** Where a home believes that prefixes are cached: own calls at once, evictions late and with gaps. */
import type * as types from '@eelgrasswind/types'

interface Belief {
  readonly tokens: number
  readonly at: number
}

export class PrefixBook {
  readonly #beliefs = new Map<string, Map<types.UpstreamId, Belief>>()
  readonly #last = new Map<string, types.UpstreamId>()

  stored (prefix: string, upstream: types.UpstreamId, tokens: number, at: number): void {
    const known = this.#beliefs.get(prefix) ?? new Map<types.UpstreamId, Belief>()
    this.#beliefs.set(prefix, known)
    known.set(upstream, { tokens, at })
    this.#last.set(prefix, upstream)
  }

  /** An engine evicted a prefix at a time that may be older than what is known. */
  evicted (prefix: string, upstream: types.UpstreamId, at: number): void {
    const known = this.#beliefs.get(prefix)
    if ((known?.get(upstream)?.at ?? Infinity) < at) known?.delete(upstream)
  }

  cachedTokens (prefix: string, upstream: types.UpstreamId): number {
    return this.#beliefs.get(prefix)?.get(upstream)?.tokens ?? 0
  }

  lastUpstream (prefix: string): types.UpstreamId | undefined {
    return this.#last.get(prefix)
  }

  forget (prefix: string): void {
    this.#beliefs.delete(prefix)
    this.#last.delete(prefix)
  }
}
