/** Closes connections on which bytes arrive that are neither the head of an answer nor its body. */
import type * as net from 'node:net'

/**
 * Limits of the bytes between the head of an answer and the next one that are not its body: a fixed number, for heads,
 * interim answers and what was read but not delivered yet, plus as much as the body has. undici covers headers and trailers, but not the status line, blank lines, or the size and extension of a chunk.
 */
const maxFramingBytes = 262_144

/** Bytes of one connection since the last head of an answer. */
interface Reading {
  receivedBytes: number
  bodyBytes: number
}

/** The connection whose bytes are being parsed: undici parses each read, and calls back, before it reads again. */
let current: Reading | undefined

/** Watches a connection of undici, which must have its own listeners already. */
export function limitReading (socket: net.Socket): void {
  const reading: Reading = { receivedBytes: 0, bodyBytes: 0 }
  socket.on('data', (bytes: Buffer) => {
    current = reading
    reading.receivedBytes += bytes.length
    if (reading.receivedBytes > maxFramingBytes + 2 * reading.bodyBytes) socket.destroy(new Error('too many bytes around the body of an answer'))
  })
}

/** The head of an answer was parsed. */
export function noteHead (): void {
  if (current === undefined) return
  current.receivedBytes = 0
  current.bodyBytes = 0
}

/** Bytes of a body were parsed. */
export function noteBody (bytes: number): void {
  if (current !== undefined) current.bodyBytes += bytes
}
