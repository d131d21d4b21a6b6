/** Notices connections on which bytes arrive that are neither a request nor its body. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as collectGarbage from './collect-garbage.js'

/**
 * Limits of the bytes between the head of a request and the next one that are not its body: a fixed number, plus
 * as much as the body has, and the size line of each chunk. The limits of Node.js cover heads and trailers, not
 * blank lines or the digits of a chunk size, and the extension of each chunk for itself.
 */
const maxFramingBytes = 262_144
/** Bytes of the framing of a chunk: up to six digits of its size, and two line ends. Those of the smallest chunk are five. */
const chunkFramingBytes = 10
/** Time between two checks, in ms. */
const checkIntervalMs = 100

/** Counts the pieces of the bodies of a connection. */
export interface PieceCounter {
  readonly countPiece: (req: CountedRequest) => void
}

/** Counts the bytes of its body, and the pieces in which they came: at most one for each chunk and each read. */
export class CountedRequest extends http.IncomingMessage {
  bodyBytes = 0
  pieceCount = 0
  /** Bytes of the body that have arrived, also those that were dropped. */
  private arrivedBytes = 0
  /** Also counts pieces that nobody reads. */
  counter: PieceCounter | undefined
  /** Called when its body comes in very many pieces while too many others do. Without a listener it goes on to wait for its turns. */
  onCrowded: (() => void) | undefined
  private isDropped = false
  private sink: ((chunk: Buffer) => void) | undefined

  override push (chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.sink = undefined
      return super.push(null)
    }
    this.arrivedBytes += chunk.length
    this.counter?.countPiece(this)
    collectGarbage.countChunk(chunk.length)
    if (this.isDropped) return true
    this.bodyBytes += chunk.length
    this.pieceCount += 1
    if (this.sink === undefined) return super.push(chunk, encoding)
    this.sink(chunk)
    return true
  }

  /** Bytes of the body that are still to come; `undefined` if none are, or their number was not announced. */
  get missingBodyBytes (): number | undefined {
    const missing = Number(this.headers['content-length'] ?? 0) - this.arrivedBytes
    return missing > 0 ? missing : undefined
  }

  /** Passes the body to `sink` as it arrives, in place of 'data' events, which cost more than a small chunk. 'end' is emitted. */
  collect (sink: (chunk: Buffer) => void): void {
    if (this.readableLength > 0) {
      this.on('data', sink)
      return
    }
    this.sink = sink
    this.resume()
  }

  /** Called by Node.js for a request that was answered before its body was read; the original leaves out `push`. */
  _dump (): void {
    if (this.isDropped) return
    this.isDropped = true
    this.removeAllListeners('data')
    this.resume()
  }
}

/** The newest request of a connection. */
interface NewestRequest {
  readonly req: CountedRequest
  /** Bytes that the connection had received with its head. */
  readonly receivedBytes: number
}

/** Calls `onExcess` once for each connection that goes beyond the limits. The server must be created with `CountedRequest`, and have its listeners for 'checkContinue'. */
export function limitReading (server: http.Server, onExcess: (socket: net.Socket) => void): void {
  const newestRequests = new Map<net.Socket, NewestRequest | undefined>()
  const check = (): void => {
    for (const [socket, newest] of newestRequests) {
      if (!isBeyondLimits(socket, newest)) continue
      newestRequests.delete(socket)
      onExcess(socket)
    }
  }
  const noteRequest = (req: http.IncomingMessage): void => {
    const { socket } = req
    if (newestRequests.has(socket)) newestRequests.set(socket, { req: req as CountedRequest, receivedBytes: socket.bytesRead })
  }
  let checks: NodeJS.Timeout | undefined
  server.on('connection', (socket) => {
    newestRequests.set(socket, undefined)
    checks ??= setInterval(check, checkIntervalMs).unref()
    socket.once('close', () => {
      newestRequests.delete(socket)
      if (newestRequests.size > 0) return
      clearInterval(checks)
      checks = undefined
    })
  })
  // Before the listeners that serve the request.
  server.prependListener('request', noteRequest)
  // Node.js answers "100 Continue" by itself only while nobody listens.
  if (server.listenerCount('checkContinue') > 0) server.prependListener('checkContinue', noteRequest)
}

function isBeyondLimits (socket: net.Socket, newest: NewestRequest | undefined): boolean {
  const framingBytes = socket.bytesRead - (newest?.receivedBytes ?? 0)
  if (newest === undefined) return framingBytes > maxFramingBytes
  return framingBytes > maxFramingBytes + 2 * newest.req.bodyBytes + chunkFramingBytes * newest.req.pieceCount
}
