/** HTTP/1.1 server that ends its connections during a graceful shutdown without cutting off a request. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as collectGarbage from './collect-garbage.js'
import * as heldBytes from './held-bytes.js'
import * as limitReading from './limit-reading.js'
import * as pacedParser from './paced-parser.js'
import * as readGate from './read-gate.js'
import * as readTurns from './read-turns.js'
import * as unreadAnswers from './unread-answers.js'
import * as waitingRequests from './waiting-requests.js'

/** A server that can be drained. */
export interface DrainServer {
  readonly server: http.Server
  /** Number of requests whose head has arrived and whose answer has not ended. */
  readonly openRequestCount: number
  /** Applies the limit of unread answers, which has become lower. */
  readonly limitUnread: () => void
  /** Sets the idle timeout of connections, in ms. It has no effect while draining. */
  readonly setKeepAliveTimeout: (timeoutMs: number) => void
  /**
   * From now on each answer announces the end of its connection, and connections that become idle are closed. New
   * connections are still accepted until `server` is closed; idle ones then end after `drainKeepAliveMs`.
   */
  readonly startDraining: () => void
}

/** Idle timeout of connections while draining, in ms: several network round trips, so that a client that sends its next request at once gets an answer. */
export const drainKeepAliveMs = 250

/** How long a connection that has ended is read on, in ms: several network round trips. */
const lingerMs = 250

/** Bytes that are read meanwhile; more are left to the reset that follows. */
const maxLingerBytes = 262_144

const continueHead = 'HTTP/1.1 100 Continue\r\n\r\n'

/** Open requests of one connection beyond which the bytes of further ones are held. */
const maxServedRequests = 16

/** Interval at which the timeouts of heads and requests are checked, in ms. */
const timeoutCheckMs = 1_000

/** Pieces of a body after which others are read first. A body of the usual size and chunks has fewer. */
const piecesPerTurn = 1_024
/** Connections that may wait for their turn: a read in chunks of one byte takes tens of milliseconds. */
const maxWaitingConnections = 8

/** What a socket of Node.js tells of its writes, without a public name. */
interface WritingSocket {
  /** `bytesWritten` counts those that wait in `writeQueueSize`, too. */
  readonly _handle?: { readonly bytesWritten: number, readonly writeQueueSize: number } | null
}

/** Options of a server. */
export interface DrainServerOptions extends http.ServerOptions {
  /** Without it nothing limits answers that clients do not read. */
  readonly unread?: unreadAnswers.UnreadLimits
}

/** The requests of one connection. */
class Connection implements readTurns.Waiter, limitReading.PieceCounter, pacedParser.PacedConnection, heldBytes.HoldingConnection, unreadAnswers.AnsweringConnection, waitingRequests.RoomWaiter {
  /** Responses that have not ended, oldest first; they are sent in this order. */
  private readonly openResponses = new Set<http.ServerResponse>()
  private newestResponse: http.ServerResponse | undefined
  /** Also one that is not answered. */
  newestRequest: limitReading.CountedRequest | undefined
  heldBytes = 0
  /** Reading goes on in the next round of the event loop. */
  private isScheduled = false
  private readonly gate: readGate.ReadGate
  private pieceCount = 0
  /** An answer has announced the end of the connection, or its bytes can't be read further: no request after that is answered. */
  isEnding = false
  /** Its bytes can't be parsed further. */
  isUnreadable = false

  constructor (private readonly socket: net.Socket, private readonly turns: readTurns.ReadTurns, private readonly allHeld: heldBytes.HeldBytes, private readonly waiting: waitingRequests.WaitingRequests) {
    this.gate = new readGate.ReadGate(socket)
    socket.once('close', () => {
      turns.delete(this)
      waiting.stopWaiting(this)
      this.onHeldBytes(0)
    })
  }

  add (res: http.ServerResponse, onClose: () => void): void {
    if (this.newestResponse === undefined) this.socket.once('close', () => { this.closeResponses() })
    this.newestResponse = res
    const waitingBytes = this.isIdle ? 0 : waitingRequests.estimateBytes(res.req)
    this.waiting.add(waitingBytes)
    this.openResponses.add(res)
    this.pieceCount = 0
    res.once('close', () => {
      this.openResponses.delete(res)
      this.waiting.remove(waitingBytes)
      onClose()
      this.readOnInTurn()
    })
  }

  /** Node.js emits 'close' only for the response that is being sent, before this, and not for those of pipelined requests behind it. */
  private closeResponses (): void {
    for (const res of this.openResponses) res.emit('close')
  }

  onRoom (): void {
    this.readOn()
  }

  /** The event loop serves other connections before the bytes that are held. */
  private readOnInTurn (): void {
    if (this.heldBytes === 0) this.readOn()
    if (this.heldBytes === 0 || this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => {
      this.isScheduled = false
      this.readOn()
    })
  }

  private readOn (): void {
    if (!this.isEnding && this.openResponses.size < maxServedRequests) this.gate.open('requests')
  }

  next (): pacedParser.NextBytes {
    if (this.isUnreadable) return { type: 'dropped' }
    if (this.newestRequest?.complete === false) return { type: 'parsed', from: getBodyPart(this.newestRequest) }
    if (this.isEnding) return { type: 'dropped' }
    const isRoomMissing = !this.isIdle && this.waiting.isFull
    if (!isRoomMissing && this.openResponses.size < maxServedRequests) return { type: 'parsed', from: { type: 'head' } }
    if (isRoomMissing) this.waiting.wait(this)
    this.gate.close('requests')
    return { type: 'held' }
  }

  recount (): void {
    this.onHeldBytes(this.socket.readableLength)
  }

  onHeldBytes (bytes: number): void {
    const added = bytes - this.heldBytes
    this.heldBytes = bytes
    if (added !== 0) this.allHeld.add(this, added)
  }

  /** Closes the connection. */
  giveUp (): void {
    this.isEnding = true
    this.onHeldBytes(0)
    this.socket.destroy()
  }

  get unsentBytes (): number {
    let bytes = 0
    for (const { writableLength } of this.openResponses) bytes += writableLength
    return bytes
  }

  get takenBytes (): number {
    const { _handle: handle } = this.socket as WritingSocket
    return handle === undefined || handle === null ? 0 : handle.bytesWritten - handle.writeQueueSize
  }

  /** Resets the connection: an end could be taken for that of an answer, and the kernel would keep what it holds. */
  breakOff (): void {
    this.isEnding = true
    this.onHeldBytes(0)
    this.socket.resetAndDestroy()
  }

  /** One read may bring thousands, and Node.js goes on to read while more has arrived. */
  countPiece (req: limitReading.CountedRequest): void {
    this.pieceCount += 1
    if (this.pieceCount < piecesPerTurn) return
    this.pieceCount = 0
    this.gate.close('turn')
    this.turns.add(this)
    if (this.turns.count > maxWaitingConnections) req.onCrowded?.()
  }

  onTurn (): void {
    this.gate.open('turn')
  }

  /** Reads nothing more. */
  stopReading (): void {
    this.gate.close('ended')
  }

  /** The last answer was sent. */
  end (): void {
    this.isEnding = true
    this.gate.open('requests')
    this.turns.delete(this)
    this.gate.open('turn')
    setImmediate(() => { this.discardRest() })
  }

  /** What is still read is no request: it is not parsed, so that it costs little in whatever chunks it comes. */
  private discardRest (): void {
    const { socket } = this
    let discardedBytes = 0
    socket.removeAllListeners('data')
    // Takes the connection from the parser, too.
    socket.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length
      if (discardedBytes > maxLingerBytes) this.stopReading()
    })
  }

  /** Whether all answers have been sent. */
  get isIdle (): boolean {
    return this.openResponses.size === 0
  }

  /** Calls the listener once all requests that have arrived whole are answered, which may be now. */
  whenAnswered (listener: () => void): void {
    const newest = [...this.openResponses].filter(({ req }) => req.complete).at(-1)
    if (newest === undefined) listener()
    else newest.once('close', listener)
  }

  /** Whether bytes of the client may wait unread until requests before them are answered. */
  get isReadLate (): boolean {
    return this.gate.isClosed
  }

  /** Whether a part of an answer was sent. */
  get isAnswering (): boolean {
    return [...this.openResponses].some(({ headersSent }) => headersSent)
  }

  /** Whether no further request has arrived since, so that the connection may end with this answer. */
  isNewest (res: http.ServerResponse): boolean {
    return this.newestResponse === res
  }
}

function getBodyPart ({ missingBodyBytes }: limitReading.CountedRequest): pacedParser.MessagePart {
  return missingBodyBytes === undefined ? { type: 'chunks' } : { type: 'body', missingBytes: missingBodyBytes }
}

/** Whether more of a body is still to come than is read behind an answer. */
function isLargeBodyMissing (req: limitReading.CountedRequest | undefined): boolean {
  return req?.missingBodyBytes !== undefined && req.missingBodyBytes > maxLingerBytes
}

/** HTTP/1.1 requires the header. */
function lacksHost (req: http.IncomingMessage): boolean {
  return req.httpVersion === '1.1' && req.headers.host === undefined
}

/** Answers as Node.js would, whose own answer this server does not know: the requests behind it would run, though its connection ends. */
function refuseWithoutHost (req: http.IncomingMessage, res: http.ServerResponse): void {
  req.resume()
  res.writeHead(400, { Connection: 'close' }).end()
}

/** Whether headers, as an object or as alternating names and values, announce the end of the connection. */
function hasCloseHeader (headers: unknown): boolean {
  if (typeof headers !== 'object' || headers === null) return false
  const texts = (Array.isArray(headers) ? headers : Object.entries(headers).flat()).map((text) => String(text).toLowerCase())
  return texts.some((text, index) => index % 2 === 0 && text === 'connection' && texts[index + 1] === 'close')
}

/** The answer to a request that can't be read. */
function formatRefusal ({ code }: NodeJS.ErrnoException): string {
  const status = refusalStatuses.get(code ?? '') ?? 400
  return `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`
}

const refusalStatuses: ReadonlyMap<string, number> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['HPE_HEADER_OVERFLOW', 431]
])

/** Ends a connection and reads on for a while: closing it with unread bytes resets it, and its client loses what it has not read yet. */
function closeLingering (socket: net.Socket): void {
  socket.end()
  const timer = setTimeout(() => { socket.destroy() }, lingerMs).unref()
  socket.once('close', () => { clearTimeout(timer) })
}

function refuseUnread (socket: net.Socket, err: Error, connection: Connection): void {
  if (socket.writable && !connection.isAnswering) socket.write(formatRefusal(err))
  socket.destroySoon()
}

/** Ends a connection whose bytes can't be read further, behind the answers to the requests that have arrived whole. */
function endUnread (socket: net.Socket, connection: Connection, err: Error): void {
  connection.isUnreadable = true
  if (connection.isEnding) return
  connection.isEnding = true
  connection.whenAnswered(() => { refuseUnread(socket, err, connection) })
}

/** Creates a server, which does not listen yet. Requests that arrive after the last answer of their connection are not passed to the listener. */
export function createDrainServer ({ unread, ...options }: DrainServerOptions, onRequest: http.RequestListener<typeof limitReading.CountedRequest>): DrainServer {
  const turns = new readTurns.ReadTurns()
  const connections = new WeakMap<net.Socket, Connection>()
  const openSockets = new Set<net.Socket>()
  const allHeld = new heldBytes.HeldBytes()
  const allUnread = new unreadAnswers.UnreadAnswers(unread ?? { getMaxBytes: () => Infinity, timeoutMs: Infinity })
  const waiting = new waitingRequests.WaitingRequests()
  let isDraining = false
  let openRequestCount = 0

  /** Decides when the head of an answer is sent, not when its request arrives, whether the connection ends with it. */
  class DrainResponse<Request extends http.IncomingMessage> extends http.ServerResponse<Request> {
    override writeHead (...args: unknown[]): this {
      const connection = connections.get(this.req.socket)
      const mayEnd = connection?.isNewest(this) === true
      if (mayEnd && (isDraining || isLargeBodyMissing(connection.newestRequest))) this.shouldKeepAlive = false
      super.writeHead(...args as Parameters<http.ServerResponse['writeHead']>)
      if (mayEnd && (!this.shouldKeepAlive || hasCloseHeader(args.at(-1)))) connection.isEnding = true
      return this
    }

    /** Sends it before the answer, which may have been written already by the time of its turn: Node.js would put its head first. */
    override writeContinue (onSent?: () => void): void {
      if (this.socket !== null) {
        super.writeContinue(onSent)
        return
      }
      // Without it the connection would end with the answer.
      Object.assign(this, { _sent100: true })
      this.once('socket', (socket: net.Socket) => { socket.write(continueHead, onSent) })
    }

    override end (...args: unknown[]): this {
      super.end(...args as Parameters<http.ServerResponse['end']>)
      // The kernel takes most answers at once.
      const connection = this.writableLength > 0 ? connections.get(this.req.socket) : undefined
      if (connection !== undefined) allUnread.note(connection)
      return this
    }
  }

  function getConnection (socket: net.Socket): Connection {
    const connection = connections.get(socket) ?? new Connection(socket, turns, allHeld, waiting)
    connections.set(socket, connection)
    return connection
  }

  const server = http.createServer({ connectionsCheckingInterval: timeoutCheckMs, ...options, requireHostHeader: false, ServerResponse: DrainResponse, IncomingMessage: limitReading.CountedRequest }, (req, res) => {
    collectGarbage.countRequestEvent()
    const connection = getConnection(req.socket)
    req.counter = connection
    connection.newestRequest = req
    if (connection.isEnding) {
      req.resume()
      return
    }
    openRequestCount += 1
    connection.add(res, () => {
      openRequestCount -= 1
      collectGarbage.countRequestEvent()
    })
    // Ends the idle timeout that closeIdleConnections may have set.
    req.socket.setTimeout(server.timeout)
    if (lacksHost(req)) refuseWithoutHost(req, res)
    else onRequest(req, res)
  })

  limitReading.limitReading(server, (socket) => {
    const connection = getConnection(socket)
    connection.stopReading()
    endUnread(socket, connection, new Error('too many bytes that are no request'))
  })

  // Without a listener Node.js ends the connection at once, also under the requests before the one that can't be read.
  server.on('clientError', (err, stream) => {
    const socket = stream as net.Socket
    const connection = getConnection(socket)
    // The client may have sent the rest in time.
    if ((err as NodeJS.ErrnoException).code === 'ERR_HTTP_REQUEST_TIMEOUT' && connection.isReadLate) return
    if (socket.readableEnded || !socket.writable) socket.destroy(err)
    else endUnread(socket, connection, err)
  })

  server.on('connection', (socket) => {
    // Called after the last answer of a connection.
    socket.destroySoon = () => {
      getConnection(socket).end()
      closeLingering(socket)
    }
    const connection = getConnection(socket)
    pacedParser.paceParser(socket, connection)
    openSockets.add(socket)
    allUnread.add(connection)
    socket.once('close', () => {
      openSockets.delete(socket)
      allUnread.delete(connection)
    })
  })

  function isIdle (socket: net.Socket): boolean {
    const connection = getConnection(socket)
    return connection.newestRequest === undefined ? socket.bytesRead === 0 : connection.isIdle
  }

  // Called by `server.close`. The original closes idle connections at once, whatever is on its way on them, takes a
  // connection for idle while the end of its answer waits to be sent, and keeps those on which nothing was received.
  server.closeIdleConnections = () => {
    for (const socket of openSockets) {
      if (isIdle(socket)) socket.setTimeout(drainKeepAliveMs)
    }
  }

  return {
    server,
    get openRequestCount () { return openRequestCount },
    limitUnread () { allUnread.keepLimit() },
    setKeepAliveTimeout (timeoutMs) {
      if (!isDraining) server.keepAliveTimeout = timeoutMs
    },
    startDraining () {
      isDraining = true
      server.keepAliveTimeout = drainKeepAliveMs
    }
  }
}
