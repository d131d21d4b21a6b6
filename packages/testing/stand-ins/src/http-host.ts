/** A small HTTP server on loopback that the stand-ins share. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as zod from 'zod'

/** One request, its body read, and the response to fill. */
export interface Exchange {
  readonly req: http.IncomingMessage
  readonly res: http.ServerResponse
  readonly method: string
  /** Decoded segments of the path. */
  readonly path: readonly string[]
  readonly query: URLSearchParams
  readonly body: string
}

export interface HttpHost {
  /** As `http://127.0.0.1:port`. */
  readonly address: string
  /** Ends as a process that crashes does: all connections are closed and new ones are refused, until the restart. */
  crash: (restartAfterMs: number) => void
  /** Ends every connection at once. */
  close: () => Promise<void>
}

/** A request that the stand-in answers with an error status. */
export class HttpError extends Error {
  override readonly name = 'HttpError'
  constructor (readonly status: number, message: string) {
    super(message)
  }
}

const loopback = '127.0.0.1'
const keepAliveMs = 60_000
const maxBodyBytes = 64 * 1024 * 1024

async function readBody (req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBodyBytes) throw new HttpError(413, 'body too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

async function toExchange (req: http.IncomingMessage, res: http.ServerResponse): Promise<Exchange> {
  const url = new URL(req.url ?? '/', 'http://stand-in')
  return {
    req,
    res,
    method: req.method ?? 'GET',
    path: url.pathname.split('/').filter((part) => part !== '').map(decodeURIComponent),
    query: url.searchParams,
    body: await readBody(req)
  }
}

/** Answers with JSON. */
export function sendJson (res: http.ServerResponse, status: number, value: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  if (res.destroyed || res.headersSent) return
  const text = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  res.end(text)
}

/** Refuses with a time to come back, in whole seconds and, as some services do, in milliseconds. */
export function sendRefusal (res: http.ServerResponse, status: 429 | 503, retryAfterMs: number, headers: http.OutgoingHttpHeaders = {}): void {
  const wait = Math.max(1, Math.ceil(retryAfterMs))
  sendJson(res, status, { error: { message: status === 429 ? 'over the rate' : 'unavailable' } }, {
    'retry-after': String(Math.ceil(wait / 1000)),
    'retry-after-ms': String(wait),
    ...headers
  })
}

/** Ends the connection with a reset and no answer. */
export function resetConnection (res: http.ServerResponse): void {
  res.req.socket.resetAndDestroy()
}

function sendError (res: http.ServerResponse, err: unknown): void {
  const status = err instanceof HttpError ? err.status : 500
  sendJson(res, status, { error: { message: err instanceof Error ? err.message : String(err) } })
}

/** Every protocol of the platform gives the id of a request back with its answer. */
function echoRequestId (req: http.IncomingMessage, res: http.ServerResponse): void {
  const requestId = req.headers['x-request-id']
  if (typeof requestId === 'string') res.setHeader('x-request-id', requestId)
}

/** Serves on loopback; port 0 takes a free one. */
export async function createHttpHost (port: number, handle: (exchange: Exchange) => Promise<void> | void): Promise<HttpHost> {
  const server = http.createServer((req, res) => {
    echoRequestId(req, res)
    toExchange(req, res).then(handle).catch((err: unknown) => sendError(res, err))
  })
  server.keepAliveTimeout = keepAliveMs
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, loopback, resolve)
  })
  const { port: boundPort } = server.address() as net.AddressInfo
  const address = `http://${loopback}:${boundPort}`
  let isClosed = false

  function crash (restartAfterMs: number): void {
    server.close()
    server.closeAllConnections()
    setTimeout(() => { if (!isClosed) server.listen(boundPort, loopback) }, restartAfterMs).unref()
  }

  function close (): Promise<void> {
    isClosed = true
    return new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }

  return { address, crash, close }
}

/** Announces a whole body, sends half of it and ends the connection. */
export function sendTruncated (res: http.ServerResponse, body: string | Buffer, headers: http.OutgoingHttpHeaders = {}): void {
  if (res.destroyed) return
  const bytes = Buffer.from(body)
  res.writeHead(200, { 'content-type': 'application/json', 'content-length': bytes.length, ...headers })
  res.write(bytes.subarray(0, bytes.length >> 1), () => { res.req.socket.destroy() })
}

/** Answers, and sends the same answer again unasked on the connection. */
export function sendTwice (res: http.ServerResponse, text: string, headers: http.OutgoingHttpHeaders = {}): void {
  if (res.destroyed) return
  const { socket } = res.req
  const all = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers }
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('')
  const whole = `HTTP/1.1 200 OK\r\n${lines}\r\n${text}`
  res.writeHead(200, all)
  res.end(text, () => { socket.write(whole) })
}

export const unframedEnd = zod.object({
  /** Bytes of the body to send; all by default. */
  bytes: zod.int().nonnegative().optional(),
  /** Whether the connection is reset behind them; otherwise it is closed in order. */
  reset: zod.boolean()
})
export type UnframedEnd = zod.infer<typeof unframedEnd>

/** Answers with neither a length nor chunks, and ends the connection. */
export function sendUnframed (res: http.ServerResponse, body: string, end: UnframedEnd, headers: http.OutgoingHttpHeaders = {}): void {
  if (res.destroyed) return
  const { socket } = res.req
  // Without either header Node.js ends the body with the connection.
  res.removeHeader('transfer-encoding')
  res.writeHead(200, { 'content-type': 'application/json', ...headers })
  res.flushHeaders()
  const part = Buffer.from(body).subarray(0, end.bytes)
  if (part.length > 0) res.write(part)
  // An empty write is called back after all bytes before it have been sent.
  socket.write('', () => {
    if (end.reset) socket.resetAndDestroy()
    else socket.end()
  })
}
