/** Stops reading from a connection, whoever else resumes it. */
import type * as net from 'node:net'

/** Why nothing is read: too many open requests, others are read first, or nothing of it will be read. */
export type CloseReason = 'requests' | 'turn' | 'ended'

/** While closed for any reason, nothing is read from the connection. Node.js resumes a connection for each request whose body is read. */
export class ReadGate {
  private readonly reasons = new Set<CloseReason>()
  /** Whether the connection is to be read once the gate opens. */
  private isWanted = true

  constructor (private readonly socket: net.Socket) {}

  get isClosed (): boolean {
    return this.reasons.size > 0
  }

  close (reason: CloseReason): void {
    const wasClosed = this.reasons.size > 0
    this.reasons.add(reason)
    if (wasClosed) return
    const { socket } = this
    this.isWanted = !socket.isPaused()
    socket.pause()
    socket.pause = () => {
      this.isWanted = false
      return socket
    }
    socket.resume = () => {
      this.isWanted = true
      return socket
    }
  }

  /** Opens the gate unless it is closed for another reason. */
  open (reason: CloseReason): void {
    if (!this.reasons.delete(reason) || this.reasons.size > 0) return
    const { socket } = this
    Reflect.deleteProperty(socket, 'pause')
    Reflect.deleteProperty(socket, 'resume')
    if (this.isWanted) socket.resume()
  }
}
