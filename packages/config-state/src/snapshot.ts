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

/** The text of a snapshot, for a peer that asks. */
export function encodeSnapshot (snapshot: ConfigSnapshot): string {
  const { version, asOf, copiedAt } = snapshot
  return JSON.stringify({ format: change.configFormat, version, asOf, copiedAt, document: config.toDocument(snapshot.config) })
}

/** Reads a snapshot that a peer sent. */
export function parseSnapshot (text: string): errors.Result<ConfigSnapshot, readonly parseSettings.FieldError[]> {
  const parsed = parseSettings.parseValue(change.parseJson(text), snapshotSchema)
  if (!parsed.ok) return parsed
  const { version, asOf, copiedAt, document } = parsed.value
  return errors.ok({
    version: version as types.ConfigVersion,
    asOf: asOf as types.LogOffset,
    copiedAt: copiedAt as types.EpochMs | null,
    config: config.fromDocument(document)
  })
}
