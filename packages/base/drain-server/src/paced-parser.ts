/**
 * Passes what arrives on a connection to the parser of Node.js a message at a time. By itself the parser takes a read as a
 * whole: it may bring thousands of requests, which stay in memory until all connections of a round of the event loop have
 * been read, even if their connection is closed.
 */
import type * as net from 'node:net'
import * as chunkedBody from './chunked-body.js'
import * as collectGarbage from './collect-garbage.js'
import * as messageEnd from './message-end.js'

/** Largest read of a connection, in bytes. */
const maxReadBytes = 65_536

/** What becomes of the next bytes: they are parsed, held until reading goes on, or dropped. */
export type NextBytes =
  | { readonly type: 'parsed', readonly from: MessagePart }
  | { readonly type: 'held' }
  | { readonly type: 'dropped' }

/** What they belong to: a head, which may be that of a new request; a body of which `missingBytes` are still to come; or one in chunks. */
export type MessagePart =
  | { readonly type: 'head' }
  | { readonly type: 'body', readonly missingBytes: number }
  | { readonly type: 'chunks' }

/** The connection whose bytes are paced. */
export interface PacedConnection {
  /** Asked before bytes are parsed. The connection pauses the socket if a request is to be held. */
  readonly next: () => NextBytes
  /** Told how many bytes may be in memory until reading goes on; 0 once it does. */
  readonly onHeldBytes: (bytes: number) => void
}

/** Takes the connection from the server's parser and passes its bytes on. Reading stops between two messages while the socket is paused. Call it as the connection is accepted. */
export function paceParser (socket: net.Socket, connection: PacedConnection): void {
  const parsers = socket.listeners('data') as Array<(bytes: Buffer) => void>
  for (const parse of parsers) socket.removeListener('data', parse)
  const ends = new PartEnds()
  const parse = (bytes: Buffer): void => { for (const parser of parsers) parser(bytes) }
  socket.on('data', (chunk: Buffer) => {
    collectGarbage.countChunk(chunk.length)
    connection.onHeldBytes(0)
    let rest = chunk
    while (rest.length > 0 && !socket.destroyed) {
      const next = connection.next()
      if (next.type === 'dropped') return
      if (next.type === 'held' || socket.isPaused()) {
        hold(socket, connection, rest)
        return
      }
      const end = ends.find(next.from, rest)
      parse(rest.subarray(0, end))
      rest = rest.subarray(end)
    }
  })
}

/** Finds the ends of the messages of a connection. */
class PartEnds {
  private readonly head = new messageEnd.BlankLineFinder()
  private readonly chunks = new chunkedBody.ChunkedBody()
  /** Of the last part. */
  private type: MessagePart['type'] = 'head'

  /** Number of bytes that hold the end of at most one message. */
  find (part: MessagePart, bytes: Buffer): number {
    if (part.type !== this.type) this.begin(part.type)
    switch (part.type) {
      case 'head': return this.head.find(bytes)
      case 'body': return Math.min(part.missingBytes, bytes.length)
      case 'chunks': return this.chunks.findEnd(bytes)
    }
  }

  /** Between two bodies there is a head. */
  private begin (type: MessagePart['type']): void {
    this.type = type
    if (type === 'head') this.head.reset('none')
    if (type === 'chunks') this.chunks.reset()
  }
}

/** The socket is paused, and emits the bytes again once it is not. */
function hold (socket: net.Socket, connection: PacedConnection, rest: Buffer): void {
  // A copy: the rest may be a small part of a large read.
  socket.unshift(Buffer.from(rest))
  // One more read may be under way.
  connection.onHeldBytes(rest.length + maxReadBytes)
}
