/** Tells when an answer that is still being sent has been sent whole. */
import type * as http from 'node:http'

/**
 * An answer that is not sent yet. Does not refer to its request or response: each request of a connection refers to the
 * answer before it, so that all of them would stay in memory until the connection is closed.
 */
export class PendingAnswer {
  private isSent = false
  private listener: (() => void) | undefined

  constructor (res: http.ServerResponse) {
    // A response whose connection was closed under it finishes, too, though not all of it was sent.
    res.once('finish', () => { if (!res.req.socket.destroyed) this.onSent() })
  }

  /** Sets the listener, which is called once the answer has been sent whole, which may be now; never if the connection is closed before. */
  whenSent (listener: () => void): void {
    if (this.isSent) listener()
    else this.listener = listener
  }

  private onSent (): void {
    const { listener } = this
    this.isSent = true
    this.listener = undefined
    listener?.()
  }
}
