/** Records of the configuration stream. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as types from '@eelgrasswind/types'
import * as z from 'zod'
import type * as config from './config.js'
import * as schema from './schema.js'

/**
 * Version of the record format. It must be incremented for every schema change that makes older readers accept or
 * reject other records than newer ones: a field added or removed, a changed bound or default.
 */
export const configFormat = 1

/** Name of the log stream that carries the configuration. */
export const configStream = 'config' as types.StreamName

/** Id of one change, by which its author finds it in the stream. */
export type ChangeId = types.Branded<string, 'ChangeId'>

/** Values to set, by section and id; in `limits`, by name. */
export type ConfigPuts = Partial<Omit<schema.ConfigDocument, 'limits'>> & { limits?: Partial<schema.Limits> }
/** Ids to remove, by section. */
export type ConfigDeletes = { [Name in config.KeyedSection]?: (keyof schema.ConfigDocument[Name])[] }

/** Which configuration a full copy repeats. */
export interface CopyOrigin {
  /** Version of the configuration in the copy's puts. */
  readonly version: types.ConfigVersion
  /** The copy reflects every record below this offset. */
  readonly asOf: types.LogOffset
}

/** One record: a change to the configuration, or a copy of all of it. */
export interface ConfigChange {
  readonly format: typeof configFormat
  readonly id: ChangeId
  /** Version to which the change applies; it is accepted only while this version is in force. */
  readonly basedOn: types.ConfigVersion
  readonly puts: ConfigPuts
  readonly deletes: ConfigDeletes
  /** Author of the change. */
  readonly by: string
  /** When it was made, by the author's clock. */
  readonly at: types.EpochMs
  /** Set on a copy of the whole configuration, which is written before its records expire. */
  readonly republishes?: CopyOrigin
}

/** Why a record can't be parsed as a change. */
export type ChangeFailure =
  /** Invalid for every reader. */
  | { readonly tag: 'malformed', readonly errors: readonly parseSettings.FieldError[] }
  /** Written by newer code: this reader cannot know whether the change was accepted. */
  | { readonly tag: 'unknownFormat', readonly format: number }

const maxTextLength = 128
const nonNegativeInteger = z.number().int().min(0)

function createPatchSchema (shape: typeof schema.limitsSchema.shape): z.ZodType<Partial<schema.Limits>> {
  const fields = Object.entries(shape).map(([name, field]) => [name, z.exactOptional(field.unwrap())])
  return z.strictObject(Object.fromEntries(fields) as z.ZodRawShape) as unknown as z.ZodType<Partial<schema.Limits>>
}

const putsSchema = z.strictObject({
  ...schema.sectionSchemas,
  limits: createPatchSchema(schema.limitsSchema.shape)
}).partial()

const idListSchema = z.array(z.string()).optional()
const deletesSchema = z.strictObject({ hosts: idListSchema, models: idListSchema, services: idListSchema, clients: idListSchema, kinds: idListSchema })

const changeSchema = z.strictObject({
  format: z.literal(configFormat),
  id: z.string().min(1).max(maxTextLength),
  basedOn: nonNegativeInteger,
  puts: putsSchema,
  deletes: deletesSchema,
  by: z.string().min(1).max(maxTextLength),
  at: z.number(),
  republishes: z.strictObject({ version: nonNegativeInteger.min(1), asOf: nonNegativeInteger }).optional()
}).superRefine((change, ctx) => {
  const copy = change.republishes
  if (copy === undefined || copy.asOf >= copy.version) return
  ctx.addIssue({ code: 'custom', path: ['republishes', 'asOf'], message: `at least ${copy.version}, its version`, params: { found: String(copy.asOf) } })
})

function failMalformed (expected: string, found: string): errors.Result<ConfigChange, ChangeFailure> {
  return errors.fail({ tag: 'malformed', errors: [{ kind: 'wrongValue', path: [], expected, found }] })
}

function parseJson (data: string): unknown {
  try {
    return JSON.parse(data) as unknown
  } catch {
    return undefined
  }
}

function readFormat (value: unknown): unknown {
  return typeof value === 'object' && value !== null && 'format' in value ? value.format : undefined
}

/** Parses one record of the stream. */
export function parseChange (data: string): errors.Result<ConfigChange, ChangeFailure> {
  const value = parseJson(data)
  if (value === undefined) return failMalformed('a change in JSON', parseSettings.formatFoundValue(data))
  const format = readFormat(value)
  if (typeof format === 'number' && Number.isInteger(format) && format > configFormat) return errors.fail({ tag: 'unknownFormat', format })
  const parsed = parseSettings.parseValue(value, changeSchema)
  if (!parsed.ok) return errors.fail({ tag: 'malformed', errors: parsed.failure })
  return errors.ok(parsed.value as ConfigChange)
}

/** Encodes a record as JSON. */
export function encodeChange (change: ConfigChange): string {
  return JSON.stringify(change)
}
