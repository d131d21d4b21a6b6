/** Counts the bytes that a connection receives, and closes one that receives bytes while no request uses it. */
import type * as net from 'node:net'

/** Receives the number of bytes of each read. */
type Receiver = (bytes: number) => void

const receivers = new WeakMap<net.Socket, Receiver | undefined>()

/** Passes the bytes of a connection to the exchange that uses it from now on. */
export function startReceiving (socket: net.Socket, receiver: Receiver): void {
  if (!receivers.has(socket)) socket.on('data', (bytes: Buffer) => { passOn(socket, bytes.length) })
  receivers.set(socket, receiver)
}

/** Ends the use of the connection by its exchange. */
export function stopReceiving (socket: net.Socket): void {
  receivers.set(socket, undefined)
}

function passOn (socket: net.Socket, bytes: number): void {
  const receiver = receivers.get(socket)
  if (receiver !== undefined) receiver(bytes)
  else socket.destroy()
}
