/** The `traceparent` header of W3C Trace Context. */
import * as crypto from 'node:crypto'

export interface TraceContext {
  /** 32 digits of lower-case hex. */
  readonly traceId: string
  /** 16 digits of lower-case hex. */
  readonly spanId: string
  readonly sampled: boolean
}

const pattern = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/
const noTraceId = '0'.repeat(32)
const noSpanId = '0'.repeat(16)
const sampledFlag = 1

/** The context that a header carries; undefined where it is missing or not valid. */
export function parseTraceparent (header: string | undefined): TraceContext | undefined {
  const match = header === undefined ? null : pattern.exec(header)
  if (match === null) return undefined
  const [, version, traceId, spanId, flags, rest] = match
  if (version === 'ff' || (version === '00' && rest !== undefined)) return undefined
  if (traceId === noTraceId || spanId === noSpanId) return undefined
  return { traceId: traceId!, spanId: spanId!, sampled: (parseInt(flags!, 16) & sampledFlag) !== 0 }
}

export function formatTraceparent (context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.sampled ? '01' : '00'}`
}

const poolBytes = 4096
const pool = Buffer.alloc(poolBytes)
let used = poolBytes

/** Random hex of so many bytes; never all zero. Draws randomness for many ids at once. */
function randomHex (bytes: number): string {
  if (used + bytes > poolBytes) {
    crypto.randomFillSync(pool)
    used = 0
  }
  const hex = pool.toString('hex', used, used + bytes)
  used += bytes
  return hex.startsWith('0') && /^0+$/.test(hex) ? randomHex(bytes) : hex
}

export function newTraceId (): string {
  return randomHex(16)
}

export function newSpanId (): string {
  return randomHex(8)
}
