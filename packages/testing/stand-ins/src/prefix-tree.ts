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
  readonly depth: number
  children: number
  /** Running requests that need it. */
  uses: number
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
  /** Nodes of a session, parents after their children. */
  ofSession: (session: string) => Node[]
  /** The leaf of a session that was used last. */
  lastLeaf: (session: string) => Node | undefined
  sessions: () => Iterable<string>
  usedTokens: () => number
}

export function createPrefixTree (capacity: number, changed: (change: CacheChange) => void): PrefixTree {
  /** The least recently used first. */
  const nodes = new Map<string, Node>()
  const bySession = new Map<string, Set<Node>>()
  const pinned = new Set<string>()
  let used = 0

  function index (node: Node): void {
    const own = bySession.get(node.session) ?? new Set()
    bySession.set(node.session, own.add(node))
  }

  function unindex (node: Node): void {
    const own = bySession.get(node.session)
    own?.delete(node)
    if (own?.size === 0) bySession.delete(node.session)
  }

  function add (session: string, parent: Node | undefined, link: ChainLink): Node {
    const node = { ...link, session, parent, depth: (parent?.depth ?? 0) + 1, children: 0, uses: 0 }
    nodes.set(link.digest, node)
    index(node)
    if (parent !== undefined) parent.children += 1
    used += link.tokens
    changed({ type: 'stored', session, tokens: link.tokens })
    return node
  }

  function remove (node: Node): void {
    nodes.delete(node.digest)
    unindex(node)
    if (node.parent !== undefined) node.parent.children -= 1
    used -= node.tokens
    changed({ type: 'evicted', session: node.session, tokens: node.tokens })
  }

  function oldestFree (): Node | undefined {
    for (const node of nodes.values()) {
      if (node.children === 0 && node.uses === 0 && !pinned.has(node.session)) return node
    }
    return undefined
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
    nodes.delete(node.digest)
    nodes.set(node.digest, node)
    unindex(node)
    index(node)
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
    ofSession: (session) => [...bySession.get(session) ?? []].sort((a, b) => b.depth - a.depth),
    lastLeaf: (session) => [...bySession.get(session) ?? []].reverse().find((node) => node.children === 0),
    sessions: () => bySession.keys(),
    usedTokens: () => used
  }
}
