/** Keeps track of the established connections to each address, and of those that the other side closes: a process that ends closes all of its connections at one moment. */
import type * as net from 'node:net'
import * as connectionEnd from './connection-end.js'

/** Called when a connection is closed. `byPeer`: the other side closed or reset it. */
export type CloseListener = (byPeer: boolean) => void

/** An established connection. */
export interface OpenConnection {
  readonly socket: net.Socket
  /** Monotonic ms. */
  readonly openedAt: number
}

/** A connection that the other side has closed. */
export interface ClosedConnection {
  /** Monotonic ms. */
  readonly openedAt: number
  readonly closed: connectionEnd.EndTime
}

/** The connections to an address at one moment. */
export interface ConnectionSnapshot {
  readonly takenAt: connectionEnd.EndTime
  readonly open: readonly OpenConnection[]
  /** Those that the other side has just closed. */
  readonly closed: readonly ClosedConnection[]
}

interface AddressState {
  readonly sockets: Map<net.Socket, OpenConnection>
  readonly listeners: Set<CloseListener>
  /** Connections that the other side has closed, the newest last. */
  closed: readonly ClosedConnection[]
}

/** How long closed connections are kept, in ms: an examination starts right after the break. */
const recentMs = 50
/** Connections were closed at one moment if this process has waited for less than this between their ends, in ms: a stall does not set them apart. */
const simultaneousMs = 10

/** The established connections of a process, by the address, IP:PORT, at the other end. */
export class OpenConnections {
  private readonly states = new Map<string, AddressState>()

  /** Adds an established connection, until it is closed. Has no effect if it is known already. */
  add (address: string, socket: net.Socket): void {
    const state = this.getState(address)
    if (state.sockets.has(socket)) return
    connectionEnd.watchConnection(socket)
    const connection = { socket, openedAt: performance.now() }
    state.sockets.set(socket, connection)
    socket.once('close', () => { this.remove(address, state, connection) })
  }

  /** The connections that are open now; the list does not change when they are closed. */
  list (address: string): readonly net.Socket[] {
    return [...this.states.get(address)?.sockets.keys() ?? []]
  }

  /** The same with those that the other side has just closed. */
  takeSnapshot (address: string): ConnectionSnapshot {
    const state = this.states.get(address)
    return { takenAt: connectionEnd.getTime(), open: [...state?.sockets.values() ?? []], closed: listRecent(state?.closed ?? []) }
  }

  /** Number of connections that the other side has just closed at one moment. */
  countClosedByPeer (address: string): number {
    return countClosedTogether(this.takeSnapshot(address).closed)
  }

  /** Calls the listener for each connection to the address that is closed, until the returned function is called. */
  onClose (address: string, listener: CloseListener): () => void {
    const state = this.getState(address)
    state.listeners.add(listener)
    return () => {
      state.listeners.delete(listener)
      this.dropIfUnused(address, state)
    }
  }

  private getState (address: string): AddressState {
    const known = this.states.get(address)
    if (known !== undefined) return known
    const state: AddressState = { sockets: new Map(), listeners: new Set(), closed: [] }
    this.states.set(address, state)
    return state
  }

  private remove (address: string, state: AddressState, { socket, openedAt }: OpenConnection): void {
    state.sockets.delete(socket)
    const closed = connectionEnd.getEndTime(socket)
    if (closed !== undefined) state.closed = [...listRecent(state.closed), { openedAt, closed }]
    for (const listener of [...state.listeners]) listener(closed !== undefined)
    this.dropIfUnused(address, state)
  }

  /** Drops the state of an address without connections once no connection is left that was closed just now. */
  private dropIfUnused (address: string, state: AddressState): void {
    if (state.sockets.size > 0 || state.listeners.size > 0 || this.states.get(address) !== state) return
    if (listRecent(state.closed).length === 0) this.states.delete(address)
    else setTimeout(() => { this.dropIfUnused(address, state) }, recentMs).unref()
  }
}

/**
 * The largest number of connections that were closed at one moment. A connection that was opened after another one had been
 * closed does not count with it: the process has gone on in between, and requests broke one after the other.
 */
export function countClosedTogether (connections: readonly ClosedConnection[]): number {
  const counts = connections.map((first) => connections.filter((other) => wereClosedTogether(first, other)).length)
  return Math.max(0, ...counts)
}

/** Whether the other connection was open when the first one was closed, and closed right then. */
function wereClosedTogether (first: ClosedConnection, other: ClosedConnection): boolean {
  if (other.openedAt >= first.closed.at || other.closed.at < first.closed.at) return false
  return other.closed.waitedMs - first.closed.waitedMs < simultaneousMs
}

function listRecent (connections: readonly ClosedConnection[]): readonly ClosedConnection[] {
  const now = performance.now()
  return connections.filter(({ closed }) => now - closed.at < recentMs)
}
