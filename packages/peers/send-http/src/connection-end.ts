/** Tells how the peer ended a connection. */
import type * as net from 'node:net'
import type * as messageFraming from '@eelgrasswind/message-framing'

/** When a process read the end of a connection. */
export interface EndTime {
  /** Monotonic ms. */
  readonly at: number
  /** Time for which this process has waited for events so far, in ms. It stands still while the process is busy or stalls. */
  readonly waitedMs: number
}

interface WatchedConnection {
  end: messageFraming.ConnectionEnd
  endTime: EndTime | undefined
}

const watchedConnections = new WeakMap<net.Socket, WatchedConnection>()

/** Starts to watch a connection. Has no effect if it is watched already. */
export function watchConnection (socket: net.Socket): void {
  if (watchedConnections.has(socket)) return
  const watched: WatchedConnection = { end: 'open', endTime: undefined }
  watchedConnections.set(socket, watched)
  const note = (end: messageFraming.ConnectionEnd): void => {
    watched.end = end
    watched.endTime ??= getTime()
  }
  // Before the listeners of the HTTP client, which end the answer within the same event.
  socket.prependListener('end', () => { note(isReset(socket) ? 'reset' : 'orderly') })
  socket.prependListener('error', () => { note('reset') })
}

/** How the peer ended a watched connection. */
export function getConnectionEnd (socket: net.Socket): messageFraming.ConnectionEnd {
  return watchedConnections.get(socket)?.end ?? 'open'
}

/** When the end of a watched connection by the peer was read; `undefined` while it is open or if this side closed it. */
export function getEndTime (socket: net.Socket): EndTime | undefined {
  return watchedConnections.get(socket)?.endTime
}

/** The current time, as for the end of a connection. */
export function getTime (): EndTime {
  return { at: performance.now(), waitedMs: performance.eventLoopUtilization().idle }
}

/**
 * Whether the end of file of a connection stands for a reset: libuv reports one without reading the error if it finds a
 * hangup beside the last bytes. A connection that was reset has no peer any more, one that the peer has closed still has.
 */
function isReset (socket: net.Socket): boolean {
  return socket.remoteAddress === undefined
}
