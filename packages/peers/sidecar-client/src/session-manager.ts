/** The HTTP/2 session to one peer, kept open and checked by pings. */
import type * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'

type RequestArguments = Parameters<connectNode.Http2SessionManager['request']>

/**
 * The library takes its listener off a session that it gives up, yet a ping that times out may still end that
 * session with an error; without a listener the error would end this process.
 */
export class SessionManager extends connectNode.Http2SessionManager {
  private readonly guarded = new WeakSet<http2.Http2Session>()

  override async request (...args: RequestArguments): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args)
    if (stream.session !== undefined) this.guard(stream.session)
    return stream
  }

  private guard (session: http2.Http2Session): void {
    if (this.guarded.has(session)) return
    this.guarded.add(session)
    // The requests on the session fail by themselves, and say why.
    session.on('error', () => undefined)
  }
}
