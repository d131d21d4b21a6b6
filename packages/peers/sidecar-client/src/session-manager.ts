/** Manages the HTTP/2 session to one peer, which is kept open and checked by pings. */
import * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'

type LibraryManager = connectNode.Http2SessionManager
type Options = ConstructorParameters<typeof connectNode.Http2SessionManager>[1]
type RequestArguments = Parameters<LibraryManager['request']>

/**
 * Wraps Http2SessionManager, which has two faults. It removes its error listener from a session that it abandons, yet a
 * ping that times out may still emit an error on that session, and an unhandled error event would end this process.
 * Also, its ping check of an idle session never completes if the peer closes the session gracefully meanwhile: the
 * requests that wait for the check, and all later ones, would hang.
 */
export class SessionManager {
  private manager: LibraryManager
  private readonly guardedSessions = new WeakSet<http2.Http2Session>()
  /** For each request that waits for a stream, a function that ends the wait. */
  private readonly pendingWaits = new Set<() => void>()

  constructor (url: string, private readonly options: Options) {
    this.manager = new connectNode.Http2SessionManager(url, options)
  }

  get authority (): string {
    return this.manager.authority
  }

  /** Opens a stream, on a new session if needed. */
  async request (...args: RequestArguments): Promise<http2.ClientHttp2Stream> {
    for (;;) {
      const stream = await this.requestFrom(this.manager, args)
      if (stream !== undefined) return stream
    }
  }

  notifyResponseByteRead (stream: http2.ClientHttp2Stream): void {
    this.manager.notifyResponseByteRead(stream)
  }

  /** Closes the session; its streams fail. */
  abort (): void {
    this.manager.abort()
  }

  /** Undefined if the manager was replaced while the request waited; nothing was sent in that case. */
  private async requestFrom (manager: LibraryManager, args: RequestArguments): Promise<http2.ClientHttp2Stream | undefined> {
    let stopWaiting: () => void = () => {}
    const replaced = new Promise<undefined>((resolve) => { stopWaiting = () => { resolve(undefined) } })
    const requested = manager.request(...args)
    this.pendingWaits.add(stopWaiting)
    try {
      const stream = await Promise.race([requested, replaced])
      if (stream === undefined) requested.then((lateStream) => { lateStream.close(http2.constants.NGHTTP2_CANCEL) }, () => {})
      else if (stream.session !== undefined) this.guardSession(stream.session, manager)
      return stream
    } finally {
      this.pendingWaits.delete(stopWaiting)
    }
  }

  private guardSession (session: http2.Http2Session, manager: LibraryManager): void {
    if (this.guardedSessions.has(session)) return
    this.guardedSessions.add(session)
    // The requests on the session fail with their own error.
    session.on('error', () => undefined)
    session.on('close', () => { this.onSessionClosed(manager) })
  }

  /**
   * Replaces the manager if requests still wait although it has no session: they wait for a ping check that never
   * completes.
   */
  private onSessionClosed (manager: LibraryManager): void {
    if (manager !== this.manager || this.pendingWaits.size === 0 || manager.state() !== 'closed') return
    this.manager = new connectNode.Http2SessionManager(manager.authority, this.options)
    for (const stopWaiting of [...this.pendingWaits]) stopWaiting()
  }
}
