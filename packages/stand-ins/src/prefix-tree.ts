/** Tree of cached messages in limited memory; the least recently used leaves go first. */

export interface CacheChange {
  readonly type: 'stored' | 'evicted'
  readonly session: string
  readonly tokens: number
}

/** A message of a prefix, named by the digest of all up to it. */
export interface ChainLink {
  readonly digest: string
  readonly tokens: number
}

export interface Node extends ChainLink {
  readonly session: string
  readonly parent: Node | undefined
  children: number
  /** Running requests that need it. */
  uses: number
  lastUsed: number
}

export interface PrefixTree {
  /** The part of a chain that is cached. */
  find: (chain: readonly ChainLink[]) => Node[]
  has: (digest: string) => boolean
  add: (session: string, parent: Node | undefined, link: ChainLink) => Node
  remove: (node: Node) => void
  /** Marks a node as needed by one more request. */
  use: (node: Node) => void
  /** Adds what is missing of a chain, in use; gives all its nodes. */
  extend: (session: string, found: readonly Node[], chain: readonly ChainLink[]) => Node[]
  /** Evicts until so many tokens fit; false where they do not. */
  makeRoom: (tokens: number) => boolean
  /** Counts memory that is not in the tree. */
  reserve: (tokens: number) => void
  pin: (session: string) => void
  unpin: (session: string) => void
  isPinned: (session: string) => boolean
  /** Nodes of a session, parents first. */
  ofSession: (session: string) => Node[]
  all: () => Iterable<Node>
  usedTokens: () => number
}

export function createPrefixTree (capacity: number, changed: (change: CacheChange) => void): PrefixTree {
  const nodes = new Map<string, Node>()
  const pinned = new Set<string>()
  let used = 0
  let clock = 0

  function add (session: string, parent: Node | undefined, link: ChainLink): Node {
    const node = { ...link, session, parent, children: 0, uses: 0, lastUsed: clock++ }
    nodes.set(link.digest, node)
    if (parent !== undefined) parent.children += 1
    used += link.tokens
    changed({ type: 'stored', session, tokens: link.tokens })
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

  function find (chain: readonly ChainLink[]): Node[] {
    const found: Node[] = []
    for (const link of chain) {
      const node = nodes.get(link.digest)
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
    for (const link of chain.slice(found.length)) {
      const node = add(session, all.at(-1), link)
      node.uses = 1
      all.push(node)
    }
    return all
  }

  return {
    find,
    has: (digest) => nodes.has(digest),
    add,
    remove,
    use,
    extend,
    makeRoom,
    reserve: (tokens) => { used += tokens },
    pin: (session) => { pinned.add(session) },
    unpin: (session) => { pinned.delete(session) },
    isPinned: (session) => pinned.has(session),
    ofSession: (session) => [...nodes.values()].filter((node) => node.session === session),
    all: () => nodes.values(),
    usedTokens: () => used
  }
}
