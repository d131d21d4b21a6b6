/** The records of the configuration stream. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as z from 'zod'
import type * as config from './config.js'
import * as schema from './schema.js'

/**
 * Version of the record format. It grows with every change of the schema that an older reader would judge
 * differently: a new or dropped field, another bound, another default.
 */
export const configFormat = 1

/** The stream of the platform's log that carries the configuration. */
export const configStream = 'config' as types.StreamName

/** Names one change, so that its author finds it again in the stream. */
export type ChangeId = types.Branded<string, 'ChangeId'>

/** Values to set, by section and id; of limits by name. */
export type ConfigPuts = Partial<Omit<schema.ConfigDocument, 'limits'>> & { limits?: Partial<schema.Limits> }
/** Ids to remove, by section. */
export type ConfigDeletes = { [Name in config.KeyedSection]?: (keyof schema.ConfigDocument[Name])[] }

/** What a copy of the whole configuration stands for. */
export interface CopyOf {
  /** Version that the copy carries in its puts. */
  readonly version: types.ConfigVersion
  /** Every record below this offset has been taken into account. */
  readonly asOf: types.LogOffset
}

export interface ConfigChange {
  readonly format: typeof configFormat
  readonly id: ChangeId
  /** Version that the change was made for; it has an effect only while that one is in force. */
  readonly basedOn: types.ConfigVersion
  readonly puts: ConfigPuts
  readonly deletes: ConfigDeletes
  /** Who made it. */
  readonly by: string
  /** When, by the clock of its author. */
  readonly at: types.EpochMs
  /** Set on a copy of the whole configuration, written before its records expire. */
  readonly republishes?: CopyOf
}

/** Why a record is not a change that this code can judge. */
export type ChangeFailure =
  /** No reader can read it. */
  | { readonly tag: 'malformed', readonly errors: readonly parseSettings.FieldError[] }
  /** Written by newer code: this reader cannot know whether it was accepted. */
  | { readonly tag: 'unknownFormat', readonly format: number }

const maxText = 128
const wholeNumber = z.number().int().min(0)

function patchOf (shape: typeof schema.limitsSchema.shape): z.ZodType<Partial<schema.Limits>> {
  const fields = Object.entries(shape).map(([name, field]) => [name, z.exactOptional(field.unwrap())])
  return z.strictObject(Object.fromEntries(fields) as z.ZodRawShape) as unknown as z.ZodType<Partial<schema.Limits>>
}

const putsSchema = z.strictObject({
  ...schema.sectionSchemas,
  limits: patchOf(schema.limitsSchema.shape)
}).partial()

const idList = z.array(z.string()).optional()
const deletesSchema = z.strictObject({ hosts: idList, models: idList, services: idList, clients: idList, kinds: idList })

const changeSchema = z.strictObject({
  format: z.literal(configFormat),
  id: z.string().min(1).max(maxText),
  basedOn: wholeNumber,
  puts: putsSchema,
  deletes: deletesSchema,
  by: z.string().min(1).max(maxText),
  at: z.number(),
  republishes: z.strictObject({ version: wholeNumber.min(1), asOf: wholeNumber }).optional()
}).superRefine((change, ctx) => {
  const copy = change.republishes
  if (copy === undefined || copy.asOf >= copy.version) return
  ctx.addIssue({ code: 'custom', path: ['republishes', 'asOf'], message: `at least ${copy.version}, its version`, params: { found: String(copy.asOf) } })
})

function malformed (expected: string, found: string): errors.Result<ConfigChange, ChangeFailure> {
  return errors.fail({ tag: 'malformed', errors: [{ kind: 'wrongValue', path: [], expected, found }] })
}

function parseJson (data: string): unknown {
  try {
    return JSON.parse(data) as unknown
  } catch {
    return undefined
  }
}

function formatOf (value: unknown): unknown {
  return typeof value === 'object' && value !== null && 'format' in value ? value.format : undefined
}

/** Reads one record of the stream. */
export function parseChange (data: string): errors.Result<ConfigChange, ChangeFailure> {
  const value = parseJson(data)
  if (value === undefined) return malformed('a change in JSON', parseSettings.formatFound(data))
  const format = formatOf(value)
  if (typeof format === 'number' && Number.isInteger(format) && format > configFormat) return errors.fail({ tag: 'unknownFormat', format })
  const parsed = parseSettings.parseValue(value, changeSchema)
  if (!parsed.ok) return errors.fail({ tag: 'malformed', errors: parsed.failure })
  return errors.ok(parsed.value as ConfigChange)
}

/** The text of a record. */
export function encodeChange (change: ConfigChange): string {
  return JSON.stringify(change)
}
