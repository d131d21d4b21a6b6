/** Parses and validates the log's answers. */
import type * as types from '@eelgrasswind/types'
import type * as logClient from './log-client.js'

type JsonObject = Readonly<Record<string, unknown>>

function parseObject (body: Buffer): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'))
    return typeof value === 'object' && value !== null ? value as JsonObject : undefined
  } catch {
    return undefined
  }
}

function isOffset (value: unknown): value is types.LogOffset {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isTimestamp (value: unknown): value is types.EpochMs {
  return typeof value === 'number' && Number.isFinite(value)
}

function isRecord (value: unknown, offset: number): value is logClient.LogRecord {
  if (typeof value !== 'object' || value === null) return false
  const record = value as JsonObject
  return record['offset'] === offset && isTimestamp(record['at']) && typeof record['data'] === 'string'
}

/** Parses the answer to an append; undefined if it is invalid. */
export function parseAppended (body: Buffer): logClient.AppendResult | undefined {
  const answer = parseObject(body)
  if (answer === undefined) return undefined
  const { offset, at } = answer
  return isOffset(offset) && isTimestamp(at) ? { offset, at } : undefined
}

/** Parses a page. Undefined if it is invalid or its offsets are not contiguous from `from`, or from the oldest stored record if that is later. */
export function parsePage (body: Buffer, from: types.LogOffset): logClient.LogPage | undefined {
  const answer = parseObject(body)
  if (answer === undefined) return undefined
  const { first, next, records } = answer
  if (!isOffset(first) || !isOffset(next) || !Array.isArray(records)) return undefined
  const startOffset = Math.max(from, first)
  const isWithinEnd = records.length === 0 || startOffset + records.length <= next
  const isContiguous = records.every((record, index) => isRecord(record, startOffset + index))
  return isWithinEnd && isContiguous ? { first, next, records: records as logClient.LogRecord[] } : undefined
}
