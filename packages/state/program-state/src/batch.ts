/** Encodes and parses journal batches as JSON text. */
import type * as zod from 'zod'
import type * as types from '@eelgrasswind/types'
import * as errors from '@eelgrasswind/errors'
import * as schemas from './record-schema.js'

/** Why a batch can't be parsed. */
export interface BatchError {
  /**
   * notABatch: the text is not JSON with a format number, so no version of this package wrote it.
   * unknownFormat: the batch has the format of another version. brokenBatch: the batch has the format of this
   * version, but a record is not valid.
   */
  readonly tag: 'notABatch' | 'unknownFormat' | 'brokenBatch'
  /** Path of the invalid member, such as `records.3.turn.seq`; empty for the whole text. */
  readonly field: string
  readonly message: string
}

/** Encodes records as the text of a batch. */
export function encodeBatch (records: readonly types.JournalRecord[]): string {
  return joinRecords(records.map(encodeRecord))
}

/** Encodes one record, for `joinRecords`. */
export function encodeRecord (record: types.JournalRecord): string {
  return JSON.stringify(record)
}

/** Joins encoded records into the text of a batch. */
export function joinRecords (records: readonly string[]): string {
  return `{"format":${schemas.journalFormat},"records":[${records.join(',')}]}`
}

/** Parses a batch and validates its format and every record. Chat messages keep members that the schema does not know. */
export function parseBatch (text: string): errors.Result<types.JournalBatch, BatchError> {
  const json = parseJson(text)
  if (!json.ok) return json
  const format = schemas.formatOnly.safeParse(json.value)
  if (!format.success) return errors.fail(createBatchError('notABatch', format.error))
  if (format.data.format !== schemas.journalFormat) return errors.fail(createUnknownFormatError(format.data.format))
  const batch = schemas.batch.safeParse(json.value)
  if (!batch.success) return errors.fail(createBatchError('brokenBatch', batch.error))
  // Returns the parsed JSON, not zod's output, to keep unknown members and to avoid another copy.
  return errors.ok(json.value as types.JournalBatch)
}

/** Validates one record before it is written, because a record that readers reject blocks its whole stream. */
export function checkRecord (record: unknown): errors.Result<types.JournalRecord, BatchError> {
  const parsed = schemas.record.safeParse(record)
  return parsed.success ? errors.ok(parsed.data) : errors.fail(createBatchError('brokenBatch', parsed.error))
}

function parseJson (text: string): errors.Result<unknown, BatchError> {
  try {
    return errors.ok(JSON.parse(text))
  } catch (err) {
    return errors.fail({ tag: 'notABatch', field: '', message: err instanceof Error ? err.message : String(err) })
  }
}

function createUnknownFormatError (format: number): BatchError {
  return { tag: 'unknownFormat', field: 'format', message: `unknown journal format ${format}; this process reads format ${schemas.journalFormat}` }
}

function createBatchError (tag: BatchError['tag'], err: zod.ZodError): BatchError {
  const issue = err.issues[0]
  const field = issue?.path.join('.') ?? ''
  return { tag, field, message: `${field}: ${issue?.message ?? 'invalid'}` }
}
