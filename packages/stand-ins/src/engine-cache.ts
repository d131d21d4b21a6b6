/** Prefix cache of the engine stand-in: a tree of messages for each session, in limited memory. */
import * as engineText from './engine-text.js'

export interface CacheChange {
  readonly type: 'stored' | 'evicted'
  readonly session: string
  readonly tokens: number
}

export interface SessionMemory {
  readonly session: string
  readonly tokens: number
  readonly held: boolean
}

/** Memory of one running request. */
export interface CacheLease {
  /** Prompt tokens that need not be computed. */
  readonly cachedTokens: number
  /** Ends the request; its prompt and its answer stay cached. */
  finish: (answer: engineText.PromptMessage, tokens: number) => void
  /** Ends the request; what it had not had before is dropped. */
  cancel: () => void
}

export interface EngineCache {
  /** Takes memory for a prompt and so many generated tokens; undefined where there is none to be had now. */
  acquire: (session: string, messages: readonly engineText.PromptMessage[], generated: number) => CacheLease | undefined
  /** Pins the prefix of a session; false where the session is unknown. */
  hold: (session: string) => boolean
  /** Unpins a session and drops what no running request uses. */
  release: (session: string) => void
  sessions: () => readonly SessionMemory[]
  usedTokens: () => number
  /** Puts a prefix that another engine exported into memory; false where there is no room. */
  importChain: (session: string, chain: readonly ChainLink[]) => boolean
  /** The longest prefix that is cached for a session. */
  exportChain: (session: string) => readonly ChainLink[]
}

/** A message of a prefix, named by the digest of all up to it. */
export interface ChainLink {
  readonly digest: string
  readonly tokens: number
}

interface Node extends ChainLink {
  readonly session: string
  readonly parent: Node | undefined
  children: number
  uses: number
  lastUsed: number
}

function chainOf (session: string, messages: readonly engineText.PromptMessage[]): ChainLink[] {
  let digest = session
  return messages.map((message) => {
    digest = link(digest, message)
    return { digest, tokens: engineText.messageTokens(message) }
  })
}

function link (before: string, message: engineText.PromptMessage): string {
  return engineText.messageDigest({ role: before, content: engineText.messageDigest(message) })
}

export function createEngineCache (capacity: number, changed: (change: CacheChange) => void): EngineCache {
  const nodes = new Map<string, Node>()
  const pinned = new Set<string>()
  let used = 0
  let clock = 0

  function add (session: string, parent: Node | undefined, one: ChainLink): Node {
    const node = { ...one, session, parent, children: 0, uses: 0, lastUsed: clock++ }
    nodes.set(one.digest, node)
    if (parent !== undefined) parent.children += 1
    used += one.tokens
    changed({ type: 'stored', session, tokens: one.tokens })
    return node
  }

  function remove (node: Node): void {
    nodes.delete(node.digest)
    if (node.parent !== undefined) node.parent.children -= 1
    used -= node.tokens
    changed({ type: 'evicted', session: node.session, tokens: node.tokens })
  }

  function oldestFree (): Node | undefined {
    let oldest: Node | undefined
    for (const node of nodes.values()) {
      if (node.children > 0 || node.uses > 0 || pinned.has(node.session)) continue
      if (oldest === undefined || node.lastUsed < oldest.lastUsed) oldest = node
    }
    return oldest
  }

  function makeRoom (tokens: number): boolean {
    while (used + tokens > capacity) {
      const node = oldestFree()
      if (node === undefined) return false
      remove(node)
    }
    return true
  }

  function cachedPart (chain: readonly ChainLink[]): Node[] {
    const found: Node[] = []
    for (const one of chain) {
      const node = nodes.get(one.digest)
      if (node === undefined) break
      found.push(node)
    }
    return found
  }

  function use (node: Node): void {
    node.uses += 1
    node.lastUsed = clock++
  }

  function extend (session: string, found: readonly Node[], chain: readonly ChainLink[]): Node[] {
    const all = [...found]
    for (const one of chain.slice(found.length)) {
      const node = add(session, all.at(-1), one)
      node.uses = 1
      all.push(node)
    }
    return all
  }

  function acquire (session: string, messages: readonly engineText.PromptMessage[], generated: number): CacheLease | undefined {
    const chain = chainOf(session, messages)
    const found = cachedPart(chain)
    found.forEach(use)
    const missing = chain.slice(found.length).reduce((sum, one) => sum + one.tokens, 0)
    if (!makeRoom(missing + generated)) {
      for (const node of found) node.uses -= 1
      return undefined
    }
    const all = extend(session, found, chain)
    used += generated
    return leaseOf(session, found, all, generated)
  }

  function leaseOf (session: string, found: readonly Node[], all: readonly Node[], generated: number): CacheLease {
    function end (): void {
      used -= generated
      for (const node of all) node.uses -= 1
    }

    function finish (answer: engineText.PromptMessage, tokens: number): void {
      end()
      const last = all.at(-1)
      const digest = link(last?.digest ?? session, answer)
      if (!nodes.has(digest)) add(session, last, { digest, tokens })
    }

    function cancel (): void {
      end()
      for (const node of all.slice(found.length).reverse()) {
        if (node.uses === 0 && node.children === 0) remove(node)
      }
    }

    return { cachedTokens: found.reduce((sum, node) => sum + node.tokens, 0), finish, cancel }
  }

  function hold (session: string): boolean {
    if (!sessions().some((one) => one.session === session)) return false
    pinned.add(session)
    return true
  }

  function release (session: string): void {
    pinned.delete(session)
    const own = [...nodes.values()].filter((node) => node.session === session).reverse()
    for (const node of own) if (node.uses === 0 && node.children === 0) remove(node)
  }

  function sessions (): SessionMemory[] {
    const tokens = new Map<string, number>()
    for (const node of nodes.values()) tokens.set(node.session, (tokens.get(node.session) ?? 0) + node.tokens)
    return [...tokens].map(([session, sum]) => ({ session, tokens: sum, held: pinned.has(session) }))
  }

  function importChain (session: string, chain: readonly ChainLink[]): boolean {
    const found = cachedPart(chain)
    const missing = chain.slice(found.length).reduce((sum, one) => sum + one.tokens, 0)
    found.forEach(use)
    const fits = makeRoom(missing)
    const all = fits ? extend(session, found, chain) : found
    for (const node of all) node.uses -= 1
    return fits
  }

  function exportChain (session: string): ChainLink[] {
    const own = [...nodes.values()].filter((node) => node.session === session && node.children === 0)
    own.sort((a, b) => b.lastUsed - a.lastUsed)
    const chain: ChainLink[] = []
    for (let node = own[0]; node !== undefined; node = node.parent) chain.unshift({ digest: node.digest, tokens: node.tokens })
    return chain
  }

  return { acquire, hold, release, sessions, usedTokens: () => used, importChain, exportChain }
}
