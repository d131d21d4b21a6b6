/** The HTTP/2 session to one peer, kept open and checked by pings. */
import * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'

type LibraryManager = connectNode.Http2SessionManager
type Options = ConstructorParameters<typeof connectNode.Http2SessionManager>[1]
type RequestArguments = Parameters<LibraryManager['request']>

/**
 * Wraps the library's manager, which has two gaps. It takes its listener off a session that it gives up, yet a ping
 * that times out may still end that session with an error, which without a listener would end this process. And the
 * check of a silent session never ends where the peer closes it in good order meanwhile: the requests that wait for
 * the check, and all later ones, would hang.
 */
export class SessionManager {
  private manager: LibraryManager
  private readonly guarded = new WeakSet<http2.Http2Session>()
  /** Gives up the wait of each request that has no stream yet. */
  private readonly waiting = new Set<() => void>()

  constructor (url: string, private readonly options: Options) {
    this.manager = new connectNode.Http2SessionManager(url, options)
  }

  get authority (): string {
    return this.manager.authority
  }

  async request (...args: RequestArguments): Promise<http2.ClientHttp2Stream> {
    for (;;) {
      const stream = await this.requestFrom(this.manager, args)
      if (stream !== undefined) return stream
    }
  }

  notifyResponseByteRead (stream: http2.ClientHttp2Stream): void {
    this.manager.notifyResponseByteRead(stream)
  }

  abort (): void {
    this.manager.abort()
  }

  /** Undefined where the manager was replaced while the request waited: nothing was sent. */
  private async requestFrom (manager: LibraryManager, args: RequestArguments): Promise<http2.ClientHttp2Stream | undefined> {
    let giveUp: () => void = () => {}
    const replaced = new Promise<undefined>((resolve) => { giveUp = () => { resolve(undefined) } })
    const requested = manager.request(...args)
    this.waiting.add(giveUp)
    try {
      const stream = await Promise.race([requested, replaced])
      if (stream === undefined) requested.then((late) => { late.close(http2.constants.NGHTTP2_CANCEL) }, () => {})
      else if (stream.session !== undefined) this.guard(stream.session, manager)
      return stream
    } finally {
      this.waiting.delete(giveUp)
    }
  }

  private guard (session: http2.Http2Session, manager: LibraryManager): void {
    if (this.guarded.has(session)) return
    this.guarded.add(session)
    // The requests on the session fail by themselves, and say why.
    session.on('error', () => undefined)
    session.on('close', () => { this.onClosed(manager) })
  }

  /** A request that still waits though the manager has no session any more waits for a check that will not end. */
  private onClosed (manager: LibraryManager): void {
    if (manager !== this.manager || this.waiting.size === 0 || manager.state() !== 'closed') return
    this.manager = new connectNode.Http2SessionManager(manager.authority, this.options)
    for (const giveUp of [...this.waiting]) giveUp()
  }
}
