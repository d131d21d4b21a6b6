/** Keeps track of the established connections to each address, and of those that the other side closes: a process that ends closes all of its connections at one moment. */
import type * as net from 'node:net'
import * as connectionEnd from './connection-end.js'

/** Called when a connection is closed. `byPeer`: the other side closed or reset it. */
export type CloseListener = (byPeer: boolean) => void

interface AddressState {
  readonly sockets: Set<net.Socket>
  readonly listeners: Set<CloseListener>
  /** Times at which the other side closed connections, monotonic ms, the newest last. */
  closedAt: number[]
}

/** Connections that the other side closes within this time, in ms, were closed at one moment. */
const simultaneousMs = 50

/** The established connections of a process, by the address, IP:PORT, at the other end. */
export class OpenConnections {
  private readonly states = new Map<string, AddressState>()

  /** Adds an established connection, until it is closed. Has no effect if it is known already. */
  add (address: string, socket: net.Socket): void {
    const state = this.getState(address)
    if (state.sockets.has(socket)) return
    connectionEnd.watchConnection(socket)
    state.sockets.add(socket)
    socket.once('close', () => { this.remove(address, state, socket) })
  }

  /** The connections that are open now; the list does not change when they are closed. */
  list (address: string): readonly net.Socket[] {
    return [...this.states.get(address)?.sockets ?? []]
  }

  /** Number of connections that the other side has just closed. */
  countClosedByPeer (address: string): number {
    const now = performance.now()
    return this.states.get(address)?.closedAt.filter((at) => now - at < simultaneousMs).length ?? 0
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
    const state: AddressState = { sockets: new Set(), listeners: new Set(), closedAt: [] }
    this.states.set(address, state)
    return state
  }

  private remove (address: string, state: AddressState, socket: net.Socket): void {
    state.sockets.delete(socket)
    const byPeer = connectionEnd.getConnectionEnd(socket) !== 'open'
    if (byPeer) {
      const now = performance.now()
      state.closedAt = [...state.closedAt.filter((at) => now - at < simultaneousMs), now]
    }
    for (const listener of [...state.listeners]) listener(byPeer)
    if (state.sockets.size === 0) setTimeout(() => { this.dropIfUnused(address, state) }, simultaneousMs).unref()
  }

  private dropIfUnused (address: string, state: AddressState): void {
    if (state.sockets.size === 0 && state.listeners.size === 0 && this.states.get(address) === state) this.states.delete(address)
  }
}
