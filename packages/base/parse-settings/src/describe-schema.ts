/** Lists the fields of a schema for a page of reference. */
import type * as z from 'zod'
import * as jsonSchema from './json-schema.js'

export interface SettingRow {
  /** Path of the field: `<id>` stands for any id, `[]` for each item of an array. */
  readonly field: string
  readonly type: string
  /** Unit of the value; empty where it has none. */
  readonly unit: string
  /** Default as JSON; empty where the field must be given, `optional` where it may be left out without a default. */
  readonly default: string
  readonly meaning: string
}

function defaultText (schema: jsonSchema.JsonSchema, required: boolean): string {
  if (schema.default !== undefined) return JSON.stringify(schema.default)
  return required ? '' : 'optional'
}

/** Text that tells the options of a union apart: the constant member of an option. */
function optionName (option: jsonSchema.JsonSchema): string {
  const constants = Object.entries(option.properties ?? {}).filter(([, member]) => member.const !== undefined)
  return constants.map(([name, member]) => `(${name} ${JSON.stringify(member.const)})`).join('')
}

function rowsBelow (schema: jsonSchema.JsonSchema, path: string): SettingRow[] {
  const options = jsonSchema.optionsOf(schema)
  if (options.length > 1) return options.flatMap((option) => rowsBelow(option, path + optionName(option)))
  const [only] = options
  if (only?.items !== undefined) return rowsBelow(only.items, `${path}[]`)
  if (typeof only?.additionalProperties === 'object') return rowsBelow(only.additionalProperties, `${path}.<id>`)
  return Object.entries(only?.properties ?? {}).flatMap(([name, member]) => {
    const field = path === '' ? name : `${path}.${name}`
    return [rowOf(member, field, only?.required?.includes(name) ?? false), ...rowsBelow(member, field)]
  })
}

function rowOf (schema: jsonSchema.JsonSchema, field: string, required: boolean): SettingRow {
  return {
    field,
    type: jsonSchema.typeText(schema),
    unit: schema.unit ?? '',
    default: defaultText(schema, required),
    meaning: schema.description ?? ''
  }
}

/**
 * The fields of a schema in its own order. The meaning comes from `.describe(text)` or `.meta({ description, unit })`,
 * the unit from `.meta` alone.
 */
export function describeSchema (schema: z.ZodType): SettingRow[] {
  return rowsBelow(jsonSchema.jsonSchemaOf(schema), '')
}

const headings = ['Field', 'Type', 'Unit', 'Default', 'Meaning']

function cell (text: string): string {
  return text.replaceAll('|', '\\|')
}

function code (text: string): string {
  return text === '' ? '' : `\`${cell(text)}\``
}

/** The rows as a table in Markdown. */
export function formatSettingRows (rows: readonly SettingRow[]): string {
  const lines = rows.map((row) => [code(row.field), cell(row.type), cell(row.unit), code(row.default), cell(row.meaning)])
  return [headings, headings.map(() => '---'), ...lines].map((line) => `| ${line.join(' | ')} |`).join('\n') + '\n'
}
