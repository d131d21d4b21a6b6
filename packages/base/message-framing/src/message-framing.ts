/** How the end of an HTTP answer's body is marked, and how its connection ended. Follows RFC 9112, section 6.3. */

/** What marks the end of the body: the head itself if there is no body, a length, the last chunk, or only the end of the connection. */
export type BodyFraming = 'none' | 'length' | 'chunked' | 'connection'

/** How the peer ended a connection: `open` if it has not, `orderly` after its last byte, or `reset`, which may discard bytes. */
export type ConnectionEnd = 'open' | 'orderly' | 'reset'

/** The parts of an answer's head that determine its framing. */
export interface FramingFields {
  /** Method of the request, in upper case. */
  readonly method: string
  readonly status: number
  readonly transferEncoding: string | undefined
  readonly contentLength: string | undefined
}

/** How an answer arrived, as far as it did. */
export interface AnswerEnd {
  readonly framing: BodyFraming
  readonly connection: ConnectionEnd
  readonly bodyBytes: number
}

/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

/** Determines what marks the end of an answer's body. */
export function getBodyFraming ({ method, status, transferEncoding, contentLength }: FramingFields): BodyFraming {
  if (method === 'HEAD' || bodilessStatuses.has(status)) return 'none'
  if (transferEncoding !== undefined) return isChunked(transferEncoding) ? 'chunked' : 'connection'
  return contentLength === undefined ? 'connection' : 'length'
}

/** Only `chunked` as the last coding marks the end of a body. */
function isChunked (transferEncoding: string): boolean {
  const lastCoding = transferEncoding.split(',').at(-1)!
  return lastCoding.trim().toLowerCase() === 'chunked'
}

/** Whether a body that has ended is whole. Without a length or chunks only an orderly end of the connection shows that no byte is missing. */
export function isWhole ({ framing, connection }: Pick<AnswerEnd, 'framing' | 'connection'>): boolean {
  return framing !== 'connection' || connection === 'orderly'
}

/** Whether a JSON text shows its own end, because no part of it is JSON as well. A number and an empty text do not, and what is no JSON does not. */
export function isSelfDelimitingJson (text: string): boolean {
  try {
    return typeof JSON.parse(text) !== 'number'
  } catch {
    return false
  }
}
