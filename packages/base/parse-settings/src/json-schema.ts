/** The JSON Schema of a zod schema, as far as messages and reference pages need it. */
import * as z from 'zod'
import type * as settingsError from './settings-error.js'

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

const converted = new WeakMap<z.ZodType, JsonSchema>()

/** The JSON Schema of a zod schema; converted once. */
export function jsonSchemaOf (schema: z.ZodType): JsonSchema {
  const known = converted.get(schema)
  if (known !== undefined) return known
  const found = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any', reused: 'inline' }) as JsonSchema
  converted.set(schema, found)
  return found
}

/** The forms that a value may have: the options of a union, or the schema alone. */
export function optionsOf (schema: JsonSchema): readonly JsonSchema[] {
  const options = schema.oneOf ?? schema.anyOf
  return options === undefined ? [schema] : options.flatMap(optionsOf)
}

function memberOf (value: unknown, step: string | number): unknown {
  if (typeof value !== 'object' || value === null) return undefined
  return Object.hasOwn(value, step) ? (value as Record<string | number, unknown>)[step] : undefined
}

/** The value at a path, or undefined. */
export function valueAt (value: unknown, path: settingsError.FieldPath): unknown {
  return path.reduce(memberOf, value)
}

/** Options whose constant members agree with the value; all of them where none does. */
function matchingOptions (schema: JsonSchema, value: unknown): readonly JsonSchema[] {
  const options = optionsOf(schema)
  const matching = options.filter((option) => Object.entries(option.properties ?? {})
    .every(([name, member]) => member.const === undefined || member.const === memberOf(value, name)))
  return matching.length === 0 ? options : matching
}

function childrenOf (schema: JsonSchema, step: string | number): JsonSchema[] {
  if (typeof step === 'number') return schema.items === undefined ? [] : [schema.items]
  const property = schema.properties !== undefined && Object.hasOwn(schema.properties, step) ? schema.properties[step] : undefined
  if (property !== undefined) return [property]
  return typeof schema.additionalProperties === 'object' ? [schema.additionalProperties] : []
}

/** What the value at a path may be, seen from the values on the way there. */
function schemasAt (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): readonly JsonSchema[] {
  let schemas = matchingOptions(schema, value)
  let current = value
  for (const step of path) {
    const child = memberOf(current, step)
    schemas = schemas.flatMap((parent) => childrenOf(parent, step)).flatMap((found) => matchingOptions(found, child))
    current = child
  }
  return schemas
}

/** Names of the fields that the object at a path may have. */
export function knownFields (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): string[] {
  return [...new Set(schemasAt(schema, value, path).flatMap((found) => Object.keys(found.properties ?? {})))]
}

/** The types that the value at a path may have, or undefined where the schema does not say. */
export function typeAt (schema: JsonSchema, value: unknown, path: settingsError.FieldPath): string | undefined {
  const names = [...new Set(schemasAt(schema, value, path).map(typeText))]
  return names.length === 0 ? undefined : names.join(' or ')
}

function boundText (schema: JsonSchema): string {
  const parts: string[] = []
  if (schema.minimum !== undefined) parts.push(`from ${schema.minimum}`)
  if (schema.exclusiveMinimum !== undefined) parts.push(`above ${schema.exclusiveMinimum}`)
  if (schema.maximum !== undefined && schema.maximum < Number.MAX_SAFE_INTEGER) parts.push(`to ${schema.maximum}`)
  if (schema.exclusiveMaximum !== undefined) parts.push(`below ${schema.exclusiveMaximum}`)
  return parts.length === 0 ? '' : ` ${parts.join(' ')}`
}

/** The type of a value as text, with its bounds. */
export function typeText (schema: JsonSchema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const)
  if (schema.enum !== undefined) return schema.enum.map((value) => JSON.stringify(value)).join(' or ')
  const options = optionsOf(schema)
  if (options.length > 1) return [...new Set(options.map(typeText))].join(' or ')
  switch (schema.type) {
    case 'array': return `array of ${schema.items === undefined ? 'values' : typeText(schema.items)}`
    case 'object': return typeof schema.additionalProperties === 'object' ? 'object by id' : 'object'
    case 'integer':
    case 'number': return schema.type + boundText(schema)
    default: return typeof schema.type === 'object' ? schema.type.join(' or ') : schema.type ?? 'value'
  }
}
