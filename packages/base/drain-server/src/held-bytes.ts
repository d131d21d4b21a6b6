/** Bounds the bytes that were read from connections and wait until the requests before them are answered. */

/** A connection that may hold bytes. */
export interface HoldingConnection {
  readonly heldBytes: number
  /** Counts what it really holds by now, with `add`. */
  readonly recount: () => void
  /** Closes the connection and drops its bytes. */
  readonly giveUp: () => void
}

/** Each read of a connection brings at most 65,536. */
const maxHeldBytes = 8_388_608
/** Interval at which held bytes are counted anew, in ms: more may arrive, or less than was expected. */
const recountIntervalMs = 100

/** The held bytes of a server. Beyond the bound the connection with the most of them is given up. */
export class HeldBytes {
  private total = 0
  private readonly connections = new Set<HoldingConnection>()
  private recounts: NodeJS.Timeout | undefined
  private isRecounting = false

  /** The connection holds more bytes than before, by `bytes`, which may be negative. */
  add (connection: HoldingConnection, bytes: number): void {
    this.total += bytes
    if (connection.heldBytes === 0) this.connections.delete(connection)
    else this.connections.add(connection)
    this.scheduleRecounts()
    if (this.isRecounting || this.total <= maxHeldBytes) return
    // The others may hold less than was expected of them.
    this.recountOthers(connection)
    if (this.total > maxHeldBytes) this.findLargest()?.giveUp()
  }

  private recountOthers (connection: HoldingConnection): void {
    this.isRecounting = true
    for (const other of this.connections) if (other !== connection) other.recount()
    this.isRecounting = false
  }

  private scheduleRecounts (): void {
    if (this.connections.size > 0) {
      this.recounts ??= setInterval(() => { for (const connection of this.connections) connection.recount() }, recountIntervalMs).unref()
      return
    }
    clearInterval(this.recounts)
    this.recounts = undefined
  }

  private findLargest (): HoldingConnection | undefined {
    let largest: HoldingConnection | undefined
    for (const connection of this.connections) {
      if (largest === undefined || connection.heldBytes > largest.heldBytes) largest = connection
    }
    return largest
  }
}
