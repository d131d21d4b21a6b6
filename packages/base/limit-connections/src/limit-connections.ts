/** Closes connections of an HTTP server beyond a bound. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as connectionOrder from './connection-order.js'

/** The open connections of one server. */
export interface ConnectionLimit {
  readonly openCount: number
}

/** Keeps at most `maxConnections` open, and calls `onClosed` for each that is closed for it. The server must not listen yet. */
export function limitConnections (server: http.Server, maxConnections: number, onClosed: () => void): ConnectionLimit {
  const order = new connectionOrder.ConnectionOrder<net.Socket>()
  server.on('connection', (socket) => {
    order.add(socket)
    socket.once('close', () => { order.remove(socket) })
    if (order.size <= maxConnections) return
    const closed = order.chooseClosed(socket)
    order.remove(closed)
    closed.destroy()
    onClosed()
  })
  // Before the listener that serves the request, which may answer it at once.
  server.prependListener('request', (req, res) => {
    const { socket } = req
    order.startRequest(socket, req)
    res.once('close', () => { order.endRequest(socket) })
  })
  return { get openCount () { return order.size } }
}
