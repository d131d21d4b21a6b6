/** A whole configuration as one process hands it to another. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as z from 'zod'
import * as change from './change.js'
import * as check from './check.js'
import * as config from './config.js'

/** A configuration that was in force, and how far the stream had been read. */
export interface ConfigSnapshot {
  readonly version: types.ConfigVersion
  readonly config: config.Config
  /** Every record below this offset has been taken into account. */
  readonly asOf: types.LogOffset
  /** Log time of the oldest record from which a new reader can still start; null where unknown. */
  readonly copiedAt: types.EpochMs | null
}

const wholeNumber = z.number().int().min(0)

const snapshotSchema = z.strictObject({
  format: z.literal(change.configFormat),
  version: wholeNumber,
  asOf: wholeNumber,
  copiedAt: z.number().nullable(),
  document: check.documentSchema
})

/** A snapshot as a JSON document, for a peer that asks. */
export function toSnapshotDocument (snapshot: ConfigSnapshot): unknown {
  const { version, asOf, copiedAt } = snapshot
  return { format: change.configFormat, version, asOf, copiedAt, document: config.toDocument(snapshot.config) }
}

/** Reads the document that a peer sent. */
export function parseSnapshot (document: unknown): errors.Result<ConfigSnapshot, readonly parseSettings.FieldError[]> {
  const parsed = parseSettings.parseValue(document, snapshotSchema)
  if (!parsed.ok) return parsed
  const { value } = parsed
  return errors.ok({
    version: value.version as types.ConfigVersion,
    asOf: value.asOf as types.LogOffset,
    copiedAt: value.copiedAt as types.EpochMs | null,
    config: config.fromDocument(value.document)
  })
}
