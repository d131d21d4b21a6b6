/** Prefix cache of the engine stand-in: what running requests and sessions keep in its memory. */
import * as engineText from './engine-text.js'
import * as prefixTree from './prefix-tree.js'

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
  importChain: (session: string, chain: readonly prefixTree.ChainLink[]) => boolean
  /** The longest prefix that is cached for a session. */
  exportChain: (session: string) => readonly prefixTree.ChainLink[]
}

function chainOf (session: string, messages: readonly engineText.PromptMessage[]): prefixTree.ChainLink[] {
  let digest = session
  return messages.map((message) => {
    digest = link(digest, message)
    return { digest, tokens: engineText.messageTokens(message) }
  })
}

function link (before: string, message: engineText.PromptMessage): string {
  return engineText.messageDigest({ role: before, content: engineText.messageDigest(message) })
}

export function createEngineCache (capacity: number, changed: (change: prefixTree.CacheChange) => void): EngineCache {
  const tree = prefixTree.createPrefixTree(capacity, changed)

  function acquire (session: string, messages: readonly engineText.PromptMessage[], generated: number): CacheLease | undefined {
    const chain = chainOf(session, messages)
    const found = tree.find(chain)
    found.forEach(tree.use)
    const missing = chain.slice(found.length).reduce((sum, one) => sum + one.tokens, 0)
    if (!tree.makeRoom(missing + generated)) {
      for (const node of found) node.uses -= 1
      return undefined
    }
    const all = tree.extend(session, found, chain)
    tree.reserve(generated)
    return leaseOf(session, found, all, generated)
  }

  function leaseOf (session: string, found: readonly prefixTree.Node[], all: readonly prefixTree.Node[], generated: number): CacheLease {
    function end (): void {
      tree.reserve(-generated)
      for (const node of all) node.uses -= 1
    }

    function finish (answer: engineText.PromptMessage, tokens: number): void {
      end()
      const last = all.at(-1)
      const digest = link(last?.digest ?? session, answer)
      if (!tree.has(digest)) tree.add(session, last, { digest, tokens })
    }

    function cancel (): void {
      end()
      for (const node of all.slice(found.length).reverse()) {
        if (node.uses === 0 && node.children === 0) tree.remove(node)
      }
    }

    return { cachedTokens: found.reduce((sum, node) => sum + node.tokens, 0), finish, cancel }
  }

  function hold (session: string): boolean {
    if (tree.ofSession(session).length === 0) return false
    tree.pin(session)
    return true
  }

  function release (session: string): void {
    tree.unpin(session)
    const own = tree.ofSession(session)
    for (const node of own) if (node.uses === 0 && node.children === 0) tree.remove(node)
  }

  function sessions (): SessionMemory[] {
    return [...tree.sessions()].map((session) => {
      const tokens = tree.ofSession(session).reduce((sum, node) => sum + node.tokens, 0)
      return { session, tokens, held: tree.isPinned(session) }
    })
  }

  function importChain (session: string, chain: readonly prefixTree.ChainLink[]): boolean {
    const found = tree.find(chain)
    const missing = chain.slice(found.length).reduce((sum, one) => sum + one.tokens, 0)
    found.forEach(tree.use)
    const fits = tree.makeRoom(missing)
    const all = fits ? tree.extend(session, found, chain) : found
    for (const node of all) node.uses -= 1
    return fits
  }

  function exportChain (session: string): prefixTree.ChainLink[] {
    const chain: prefixTree.ChainLink[] = []
    for (let node = tree.lastLeaf(session); node !== undefined; node = node.parent) chain.unshift({ digest: node.digest, tokens: node.tokens })
    return chain
  }

  return { acquire, hold, release, sessions, usedTokens: tree.usedTokens, importChain, exportChain }
}
