/** Bounds the bytes of answers that wait in memory for clients to read them, and ends connections whose client reads nothing. */

/** A connection on which answers are sent. */
export interface AnsweringConnection {
  /** Bytes of its answers that are in memory. */
  readonly unsentBytes: number
  /** Bytes that the kernel has taken since the connection was opened. */
  readonly takenBytes: number
  /** Closes the connection so that no answer on it can be taken for complete. */
  readonly breakOff: () => void
}

/** A connection that was ended. `waitedMs`: since its client has last read. */
export interface UnreadEnd {
  readonly reason: 'bytes' | 'timeout'
  readonly unsentBytes: number
  readonly waitedMs: number
  /** Of all connections, with this one. */
  readonly usedBytes: number
}

/** Limits of one server. */
export interface UnreadLimits {
  /** Limit of the bytes of all connections together; it may change at any time. */
  readonly getMaxBytes: () => number
  /** Time without progress after which a connection is ended, in ms. */
  readonly timeoutMs?: number
  readonly onEnd?: (end: UnreadEnd) => void
}

/** The kernel takes more only once a good part of what it holds was read, which takes a minute on the thinnest links. */
const defaultTimeoutMs = 120_000
/** Interval at which progress is checked, in ms. */
const checkIntervalMs = 1_000
/** Time without progress after which a client counts as one that does not read if memory is short, in ms. */
const slowMs = 2_000

interface Wait {
  unsentBytes: number
  takenBytes: number
  /** In ms of `performance.now`. */
  progressAt: number
}

/** The unread answers of a server. */
export class UnreadAnswers {
  private readonly connections = new Set<AnsweringConnection>()
  private readonly waits = new Map<AnsweringConnection, Wait>()
  private usedBytes = 0
  private checks: NodeJS.Timeout | undefined

  constructor (private readonly limits: UnreadLimits) {}

  add (connection: AnsweringConnection): void {
    this.connections.add(connection)
    this.checks ??= setInterval(() => { this.check() }, checkIntervalMs).unref()
  }

  /** The connection is closed. */
  delete (connection: AnsweringConnection): void {
    this.connections.delete(connection)
    this.forget(connection)
    if (this.connections.size > 0) return
    clearInterval(this.checks)
    this.checks = undefined
  }

  /** An answer has ended, and a part of it is in memory. */
  note (connection: AnsweringConnection): void {
    this.measure(connection, performance.now())
    this.keepLimit()
  }

  /** Ends connections until the others are within the limit. */
  keepLimit (): void {
    if (this.usedBytes > this.limits.getMaxBytes()) this.makeRoom()
  }

  private check (): void {
    const now = performance.now()
    const timeoutMs = this.limits.timeoutMs ?? defaultTimeoutMs
    for (const connection of this.connections) {
      this.measure(connection, now)
      const wait = this.waits.get(connection)
      if (wait !== undefined && now - wait.progressAt >= timeoutMs) this.end(connection, wait, 'timeout', now)
    }
    this.keepLimit()
  }

  private measure (connection: AnsweringConnection, now: number): void {
    const { unsentBytes, takenBytes } = connection
    if (unsentBytes === 0) {
      this.forget(connection)
      return
    }
    const wait = this.waits.get(connection)
    this.usedBytes += unsentBytes - (wait?.unsentBytes ?? 0)
    if (wait === undefined) {
      this.waits.set(connection, { unsentBytes, takenBytes, progressAt: now })
      return
    }
    wait.unsentBytes = unsentBytes
    if (takenBytes > wait.takenBytes) wait.progressAt = now
    wait.takenBytes = takenBytes
  }

  private forget (connection: AnsweringConnection): void {
    this.usedBytes -= this.waits.get(connection)?.unsentBytes ?? 0
    this.waits.delete(connection)
  }

  private makeRoom (): void {
    const now = performance.now()
    for (const connection of this.waits.keys()) this.measure(connection, now)
    while (this.usedBytes > this.limits.getMaxBytes()) {
      const found = this.findLargest(now - slowMs) ?? this.findLargest(now)
      if (found === undefined) return
      this.end(...found, 'bytes', now)
    }
  }

  /** The connection with the most bytes, of those without progress since `at`. */
  private findLargest (at: number): [AnsweringConnection, Wait] | undefined {
    let largest: [AnsweringConnection, Wait] | undefined
    for (const entry of this.waits) {
      if (entry[1].progressAt <= at && entry[1].unsentBytes > (largest?.[1].unsentBytes ?? 0)) largest = entry
    }
    return largest
  }

  private end (connection: AnsweringConnection, { unsentBytes, progressAt }: Wait, reason: UnreadEnd['reason'], now: number): void {
    const { usedBytes } = this
    this.forget(connection)
    this.connections.delete(connection)
    connection.breakOff()
    this.limits.onEnd?.({ reason, unsentBytes, waitedMs: Math.round(now - progressAt), usedBytes })
  }
}
