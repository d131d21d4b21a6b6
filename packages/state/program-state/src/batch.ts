/** The text form of a journal batch. */
import type * as zod from 'zod'
import type * as types from '@eelgrasswind/types'
import * as errors from '@eelgrasswind/errors'
import * as schemas from './record-schema.js'

/** A batch that this code can't read. */
export interface BatchError {
  /**
   * notABatch: no version of this package writes such a text. unknownFormat: another version wrote it.
   * brokenBatch: it says that this version wrote it, but a record has another shape.
   */
  readonly tag: 'notABatch' | 'unknownFormat' | 'brokenBatch'
  /** The member that is wrong, as `records.3.turn.seq`; empty for the text as a whole. */
  readonly field: string
  readonly message: string
}

export function encodeBatch (records: readonly types.JournalRecord[]): string {
  return joinRecords(records.map(encodeRecord))
}

/** One record of a batch as text. */
export function encodeRecord (record: types.JournalRecord): string {
  return JSON.stringify(record)
}

/** A batch of records that are already text. */
export function joinRecords (records: readonly string[]): string {
  return `{"format":${schemas.journalFormat},"records":[${records.join(',')}]}`
}

/** Reads a batch; checks its format and the shape of every record. Messages keep members that are unknown here. */
export function parseBatch (text: string): errors.Result<types.JournalBatch, BatchError> {
  const json = parseJson(text)
  if (!json.ok) return json
  const format = schemas.formatOnly.safeParse(json.value)
  if (!format.success) return errors.fail(batchError('notABatch', format.error))
  if (format.data.format !== schemas.journalFormat) return errors.fail(unknownFormat(format.data.format))
  const batch = schemas.batch.safeParse(json.value)
  if (!batch.success) return errors.fail(batchError('brokenBatch', batch.error))
  // The value as it came, not zod's copy: members are kept and nothing is copied twice.
  return errors.ok(json.value as types.JournalBatch)
}

/** Checks one record before it is written; a record that readers would refuse blocks its whole stream. */
export function checkRecord (record: unknown): errors.Result<types.JournalRecord, BatchError> {
  const parsed = schemas.record.safeParse(record)
  return parsed.success ? errors.ok(parsed.data) : errors.fail(batchError('brokenBatch', parsed.error))
}

function parseJson (text: string): errors.Result<unknown, BatchError> {
  try {
    return errors.ok(JSON.parse(text))
  } catch (err) {
    return errors.fail({ tag: 'notABatch', field: '', message: err instanceof Error ? err.message : String(err) })
  }
}

function unknownFormat (format: number): BatchError {
  return { tag: 'unknownFormat', field: 'format', message: `format ${format} is unknown; this process reads format ${schemas.journalFormat}` }
}

function batchError (tag: BatchError['tag'], err: zod.ZodError): BatchError {
  const issue = err.issues[0]
  const field = issue?.path.join('.') ?? ''
  return { tag, field, message: `${field}: ${issue?.message ?? 'wrong'}` }
}
