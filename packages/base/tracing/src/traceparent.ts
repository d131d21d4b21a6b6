/** The `traceparent` header of W3C Trace Context. */
import * as crypto from 'node:crypto'

/** Content of a `traceparent` header. */
export interface TraceContext {
  /** 32 digits of lower-case hex. */
  readonly traceId: string
  /** 16 digits of lower-case hex. */
  readonly spanId: string
  readonly sampled: boolean
}

const traceparentPattern = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/
const invalidTraceId = '0'.repeat(32)
const invalidSpanId = '0'.repeat(16)
const sampledFlag = 1

/** Parses a header; undefined if it is missing or invalid. */
export function parseTraceparent (header: string | undefined): TraceContext | undefined {
  const match = header === undefined ? null : traceparentPattern.exec(header)
  if (match === null) return undefined
  const [, version, traceId, spanId, flags, extraFields] = match
  if (version === 'ff' || (version === '00' && extraFields !== undefined)) return undefined
  if (traceId === invalidTraceId || spanId === invalidSpanId) return undefined
  return { traceId: traceId!, spanId: spanId!, sampled: (parseInt(flags!, 16) & sampledFlag) !== 0 }
}

/** Formats a context as a header of version 00. */
export function formatTraceparent (context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.sampled ? '01' : '00'}`
}

const randomPoolBytes = 4096
const randomPool = Buffer.alloc(randomPoolBytes)
let usedBytes = randomPoolBytes

/** Returns `bytes` random bytes as hex, never all zero. Random bytes are generated for many ids at once. */
function createRandomHex (bytes: number): string {
  if (usedBytes + bytes > randomPoolBytes) {
    crypto.randomFillSync(randomPool)
    usedBytes = 0
  }
  const hex = randomPool.toString('hex', usedBytes, usedBytes + bytes)
  usedBytes += bytes
  return hex.startsWith('0') && /^0+$/.test(hex) ? createRandomHex(bytes) : hex
}

/** Creates a random trace id, 32 digits of hex. */
export function createTraceId (): string {
  return createRandomHex(16)
}

/** Creates a random span id, 16 digits of hex. */
export function createSpanId (): string {
  return createRandomHex(8)
}
