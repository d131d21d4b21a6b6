/** Checks the log's answers before anyone believes them. */
import type * as types from '@eelgrasswind/types'
import type * as logClient from './log-client.js'

type Members = Readonly<Record<string, unknown>>

function parseMembers (body: Buffer): Members | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'))
    return typeof value === 'object' && value !== null ? value as Members : undefined
  } catch {
    return undefined
  }
}

function isOffset (value: unknown): value is types.LogOffset {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isTime (value: unknown): value is types.EpochMs {
  return typeof value === 'number' && Number.isFinite(value)
}

function isRecord (value: unknown, offset: number): value is logClient.LogRecord {
  if (typeof value !== 'object' || value === null) return false
  const record = value as Members
  return record['offset'] === offset && isTime(record['at']) && typeof record['data'] === 'string'
}

/** Where an append landed, or undefined where the answer does not say. */
export function parseAppended (body: Buffer): logClient.AppendResult | undefined {
  const members = parseMembers(body)
  if (members === undefined) return undefined
  const { offset, at } = members
  return isOffset(offset) && isTime(at) ? { offset, at } : undefined
}

/** A page whose records follow one another from `from`, or from the oldest one kept; undefined where they do not. */
export function parsePage (body: Buffer, from: types.LogOffset): logClient.LogPage | undefined {
  const members = parseMembers(body)
  if (members === undefined) return undefined
  const { first, next, records } = members
  if (!isOffset(first) || !isOffset(next) || !Array.isArray(records)) return undefined
  const start = Math.max(from, first)
  const fits = records.length === 0 || start + records.length <= next
  const inOrder = records.every((record, index) => isRecord(record, start + index))
  return fits && inOrder ? { first, next, records: records as logClient.LogRecord[] } : undefined
}
