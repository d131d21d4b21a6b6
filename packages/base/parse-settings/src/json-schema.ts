/** Converts zod schemas to JSON Schema, as far as error messages and reference pages need it. */
import * as z from 'zod'
import type * as settingsError from './settings-error.js'

/** The keywords of JSON Schema that this package reads, and `unit` from `.meta`. */
export interface JsonSchema {
  readonly type?: string | readonly string[]
  readonly description?: string
  readonly unit?: string
  readonly default?: unknown
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly minimum?: number
  readonly maximum?: number
  readonly exclusiveMinimum?: number
  readonly exclusiveMaximum?: number
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly required?: readonly string[]
  readonly additionalProperties?: boolean | JsonSchema
  readonly items?: JsonSchema
  readonly oneOf?: readonly JsonSchema[]
  readonly anyOf?: readonly JsonSchema[]
}

const convertedSchemas = new WeakMap<z.ZodType, JsonSchema>()

/** Returns the JSON Schema of a zod schema; the result is cached. */
export function toJsonSchema (schema: z.ZodType): JsonSchema {
  const cached = convertedSchemas.get(schema)
  if (cached !== undefined) return cached
  const jsonSchema = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any', reused: 'inline' }) as JsonSchema
  convertedSchemas.set(schema, jsonSchema)
  return jsonSchema
}

/** Returns the options of a union, nested ones included, or the schema itself if it is not a union. */
export function listOptions (schema: JsonSchema): readonly JsonSchema[] {
  const options = schema.oneOf ?? schema.anyOf
  return options === undefined ? [schema] : options.flatMap(listOptions)
}

function getMember (value: unknown, step: string | number): unknown {
  if (typeof value !== 'object' || value === null) return undefined
  return Object.hasOwn(value, step) ? (value as Record<string | number, unknown>)[step] : undefined
}

/** Returns the value at a path, or undefined. */
export function getValueAt (value: unknown, path: settingsError.FieldPath): unknown {
  return path.reduce(getMember, value)
}

/** Options of a union whose constant members match the value; all options if none does. */
function findMatchingOptions (schema: JsonSchema, value: unknown): readonly JsonSchema[] {
  const options = listOptions(schema)
  const matching = options.filter((option) => Object.entries(option.properties ?? {})
    .every(([name, member]) => member.const === undefined || member.const === getMember(value, name)))
  return matching.length === 0 ? options : matching
}

function listChildren (schema: JsonSchema, step: string | number): JsonSchema[] {
  if (typeof step === 'number') return schema.items === undefined ? [] : [schema.items]
  const property = schema.properties !== undefined && Object.hasOwn(schema.properties, step) ? schema.properties[step] : undefined
  if (property !== undefined) return [property]
  return typeof schema.additionalProperties === 'object' ? [schema.additionalProperties] : []
}

/** Schemas that apply to the value at a path; the values along the path select the options of unions. */
function findSchemasAt (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): readonly JsonSchema[] {
  let schemas = findMatchingOptions(schema, value)
  let current = value
  for (const step of path) {
    const child = getMember(current, step)
    schemas = schemas.flatMap((parent) => listChildren(parent, step)).flatMap((found) => findMatchingOptions(found, child))
    current = child
  }
  return schemas
}

/** Returns the names of the fields that the object at a path may have. */
export function listKnownFields (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): string[] {
  return [...new Set(findSchemasAt(schema, value, path).flatMap((found) => Object.keys(found.properties ?? {})))]
}

/** Describes the types that the value at a path may have; undefined if the schema has none for it. */
export function describeTypeAt (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): string | undefined {
  const names = [...new Set(findSchemasAt(schema, value, path).map(describeType))]
  return names.length === 0 ? undefined : names.join(' or ')
}

function formatBounds (schema: JsonSchema): string {
  const parts: string[] = []
  if (schema.minimum !== undefined) parts.push(`from ${schema.minimum}`)
  if (schema.exclusiveMinimum !== undefined) parts.push(`above ${schema.exclusiveMinimum}`)
  if (schema.maximum !== undefined && schema.maximum < Number.MAX_SAFE_INTEGER) parts.push(`to ${schema.maximum}`)
  if (schema.exclusiveMaximum !== undefined) parts.push(`below ${schema.exclusiveMaximum}`)
  return parts.length === 0 ? '' : ` ${parts.join(' ')}`
}

/** Describes a type, with its bounds. */
export function describeType (schema: JsonSchema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const)
  if (schema.enum !== undefined) return schema.enum.map((value) => JSON.stringify(value)).join(' or ')
  const options = listOptions(schema)
  if (options.length > 1) return [...new Set(options.map(describeType))].join(' or ')
  switch (schema.type) {
    case 'array': return `array of ${schema.items === undefined ? 'values' : describeType(schema.items)}`
    case 'object': return typeof schema.additionalProperties === 'object' ? 'object by id' : 'object'
    case 'integer':
    case 'number': return schema.type + formatBounds(schema)
    default: return typeof schema.type === 'object' ? schema.type.join(' or ') : schema.type ?? 'value'
  }
}
