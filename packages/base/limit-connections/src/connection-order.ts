/** Decides which connection is closed first when there are too many. */

/** A request of a connection, as far as it matters here. */
export interface ReceivedRequest {
  /** Whether its body has arrived whole. */
  readonly complete: boolean
}

/** The requests of one connection. */
interface Entry {
  inFlightCount: number
  newest: ReceivedRequest | undefined
}

/**
 * The open connections, in the order in which they are closed: those without a request in flight, longest first, then
 * those whose only request has not arrived whole.
 */
export class ConnectionOrder<Connection> {
  private readonly entries = new Map<Connection, Entry>()
  /** Connections without a request in flight, longest first. */
  private readonly idle = new Set<Connection>()
  /** Connections with one request in flight, oldest first; those whose request has arrived whole are removed by `chooseClosed`. */
  private readonly receiving = new Set<Connection>()

  get size (): number {
    return this.entries.size
  }

  add (connection: Connection): void {
    this.entries.set(connection, { inFlightCount: 0, newest: undefined })
    this.idle.add(connection)
  }

  remove (connection: Connection): void {
    this.entries.delete(connection)
    this.idle.delete(connection)
    this.receiving.delete(connection)
  }

  /** The head of a request has arrived, and with it the whole of the request before it. */
  startRequest (connection: Connection, req: ReceivedRequest): void {
    const entry = this.entries.get(connection)
    if (entry === undefined) return
    entry.inFlightCount += 1
    entry.newest = req
    this.idle.delete(connection)
    this.receiving.delete(connection)
    if (entry.inFlightCount === 1) this.receiving.add(connection)
  }

  /** A request has been answered. */
  endRequest (connection: Connection): void {
    const entry = this.entries.get(connection)
    if (entry === undefined) return
    entry.inFlightCount -= 1
    if (entry.inFlightCount === 1) this.receiving.add(connection)
    if (entry.inFlightCount > 0) return
    this.receiving.delete(connection)
    this.idle.add(connection)
  }

  /** The connection to close so that `newest` may stay, or `newest` itself if each of the others has a request that has arrived whole. */
  chooseClosed (newest: Connection): Connection {
    const [longestIdle] = this.idle
    if (longestIdle !== undefined && longestIdle !== newest) return longestIdle
    for (const connection of this.receiving) {
      if (this.entries.get(connection)?.newest?.complete === false) return connection
      this.receiving.delete(connection)
    }
    return newest
  }
}
