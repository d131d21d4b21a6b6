/**
 * Bounds the memory of requests that were read while others of their connection were open, of all connections of a server
 * together. The first open request of a connection is not counted, so that each connection is always served.
 */
import type * as http from 'node:http'

/** A connection that is read on once there is room. */
export interface RoomWaiter {
  readonly onRoom: () => void
}

/** Memory of waiting requests beyond which further ones are held, in bytes: a small part of the smallest heap. */
const maxWaitingBytes = 8_388_608
/** Memory of an open request and its response without their headers, in bytes. */
const requestBytes = 2_600
/** Memory of a header besides its text, in bytes. */
const headerBytes = 100

/** Estimate of the memory that an open request takes, in bytes. */
export function estimateBytes ({ url, rawHeaders }: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>): number {
  let bytes = requestBytes + (url?.length ?? 0) + rawHeaders.length / 2 * headerBytes
  for (const text of rawHeaders) bytes += text.length
  return bytes
}

/** The waiting requests of a server. */
export class WaitingRequests {
  private bytes = 0
  /** In order of arrival. */
  private readonly waiters = new Set<RoomWaiter>()
  private isScheduled = false

  get isFull (): boolean {
    return this.bytes >= maxWaitingBytes
  }

  add (bytes: number): void {
    this.bytes += bytes
  }

  remove (bytes: number): void {
    this.bytes -= bytes
    this.scheduleTurn()
  }

  /** Calls the waiter once, when there is room. It keeps its place if it waits already. */
  wait (waiter: RoomWaiter): void {
    this.waiters.add(waiter)
  }

  stopWaiting (waiter: RoomWaiter): void {
    this.waiters.delete(waiter)
  }

  /** One in each round of the event loop: what it reads may fill the room again. */
  private scheduleTurn (): void {
    if (this.isScheduled || this.isFull || this.waiters.size === 0) return
    this.isScheduled = true
    setImmediate(() => {
      this.isScheduled = false
      if (!this.isFull) this.giveTurn()
      this.scheduleTurn()
    })
  }

  private giveTurn (): void {
    const [next] = this.waiters
    if (next === undefined) return
    this.waiters.delete(next)
    next.onRoom()
  }
}
