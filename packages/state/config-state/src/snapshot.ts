/** Snapshot of a configuration that one process sends to another. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as z from 'zod'
import * as change from './change.js'
import * as check from './check.js'
import * as config from './config.js'

/** A configuration in force, and the position in the stream up to which it holds. */
export interface ConfigSnapshot {
  readonly version: types.ConfigVersion
  readonly config: config.Config
  /** The configuration reflects every record below this offset. */
  readonly asOf: types.LogOffset
  /** Log time of the oldest record from which a new reader can still start; null if unknown. */
  readonly copiedAt: types.EpochMs | null
}

const nonNegativeInteger = z.number().int().min(0)

const snapshotSchema = z.strictObject({
  format: z.literal(change.configFormat),
  version: nonNegativeInteger,
  asOf: nonNegativeInteger,
  copiedAt: z.number().nullable(),
  document: check.documentSchema
})

/** Converts a snapshot to a JSON document for a peer. */
export function toSnapshotDocument (snapshot: ConfigSnapshot): unknown {
  const { version, asOf, copiedAt } = snapshot
  return { format: change.configFormat, version, asOf, copiedAt, document: config.toDocument(snapshot.config) }
}

/** Parses a snapshot document of a peer. */
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
