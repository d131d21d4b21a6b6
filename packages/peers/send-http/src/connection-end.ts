/** Tells how the peer ended a connection. */
import type * as net from 'node:net'
import type * as messageFraming from '@eelgrasswind/message-framing'

const connectionEnds = new WeakMap<net.Socket, messageFraming.ConnectionEnd>()

/** Starts to watch a connection. Has no effect if it is watched already. */
export function watchConnection (socket: net.Socket): void {
  if (connectionEnds.has(socket)) return
  connectionEnds.set(socket, 'open')
  // Before the listeners of the HTTP client, which end the answer within the same event.
  socket.prependListener('end', () => { connectionEnds.set(socket, isReset(socket) ? 'reset' : 'orderly') })
  socket.prependListener('error', () => { connectionEnds.set(socket, 'reset') })
}

/** How the peer ended a watched connection. */
export function getConnectionEnd (socket: net.Socket): messageFraming.ConnectionEnd {
  return connectionEnds.get(socket) ?? 'open'
}

/**
 * Whether the end of file of a connection stands for a reset: libuv reports one without reading the error if it finds a
 * hangup beside the last bytes. A connection that was reset has no peer any more, one that the peer has closed still has.
 */
function isReset (socket: net.Socket): boolean {
  return socket.remoteAddress === undefined
}
