/** Reads one request from a socket within the published bounds. */
import type * as http from 'node:http'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as inbound from './inbound.js'

/** The refusal for a request whose headers break a bound, if they do. */
export function checkHeaders (req: http.IncomingMessage, bounds: routeRequest.ClientBounds): inbound.Refusal | undefined {
  let bytes = (req.method?.length ?? 0) + (req.url?.length ?? 0)
  for (const text of req.rawHeaders) bytes += text.length + 2
  if (bytes > bounds.maxHeaderBytes) return { type: 'headerTooLarge', limitBytes: bounds.maxHeaderBytes }
  if (Number(req.headers['content-length'] ?? 0) > bounds.maxBodyBytes) return { type: 'bodyTooLarge', limitBytes: bounds.maxBodyBytes }
  return undefined
}

const empty = Buffer.alloc(0)

/** Calls back with the whole body, or `undefined` where it is too large. Not at all where the client breaks off. */
export function readBody (req: http.IncomingMessage, maxBytes: number, done: (body: Buffer | undefined) => void): void {
  if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
    req.resume()
    done(empty)
    return
  }
  const chunks: Buffer[] = []
  let bytes = 0
  let tooLarge = false
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) {
      chunks.push(chunk)
      return
    }
    if (!tooLarge) done(undefined)
    tooLarge = true
  })
  req.on('end', () => {
    if (!tooLarge) done(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
  })
}
