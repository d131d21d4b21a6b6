/** Lists the fields of a schema for a reference page. */
import type * as z from 'zod'
import * as jsonSchema from './json-schema.js'

/** One field of a schema, as a row of a reference table. */
export interface SettingRow {
  /** Path of the field: `<id>` stands for any id, `[]` for each item of an array. */
  readonly field: string
  readonly type: string
  /** Unit of the value; empty if it has none. */
  readonly unit: string
  /** Default as JSON; empty if the field is required, `optional` if it may be omitted and has no default. */
  readonly default: string
  readonly meaning: string
}

function formatDefault (schema: jsonSchema.JsonSchema, required: boolean): string {
  if (schema.default !== undefined) return JSON.stringify(schema.default)
  return required ? '' : 'optional'
}

/** Text that distinguishes the options of a union: the constant members of the option. */
function formatOptionName (option: jsonSchema.JsonSchema): string {
  const constants = Object.entries(option.properties ?? {}).filter(([, member]) => member.const !== undefined)
  return constants.map(([name, member]) => `(${name} ${JSON.stringify(member.const)})`).join('')
}

function listRows (schema: jsonSchema.JsonSchema, path: string): SettingRow[] {
  const options = jsonSchema.listOptions(schema)
  if (options.length > 1) return options.flatMap((option) => listRows(option, path + formatOptionName(option)))
  const [only] = options
  if (only?.items !== undefined) return listRows(only.items, `${path}[]`)
  if (typeof only?.additionalProperties === 'object') return listRows(only.additionalProperties, `${path}.<id>`)
  return Object.entries(only?.properties ?? {}).flatMap(([name, member]) => {
    const field = path === '' ? name : `${path}.${name}`
    return [createRow(member, field, only?.required?.includes(name) ?? false), ...listRows(member, field)]
  })
}

function createRow (schema: jsonSchema.JsonSchema, field: string, required: boolean): SettingRow {
  return {
    field,
    type: jsonSchema.describeType(schema),
    unit: schema.unit ?? '',
    default: formatDefault(schema, required),
    meaning: schema.description ?? ''
  }
}

/**
 * Lists the fields of a schema in declaration order. The meaning comes from `.describe(text)` or `.meta({ description, unit })`,
 * the unit from `.meta` alone.
 */
export function describeSchema (schema: z.ZodType): SettingRow[] {
  return listRows(jsonSchema.toJsonSchema(schema), '')
}

const headings = ['Field', 'Type', 'Unit', 'Default', 'Meaning']

function escapeCell (text: string): string {
  return text.replaceAll('|', '\\|')
}

function formatCode (text: string): string {
  return text === '' ? '' : `\`${escapeCell(text)}\``
}

/** Formats the rows as a Markdown table. */
export function formatSettingRows (rows: readonly SettingRow[]): string {
  const lines = rows.map((row) => [formatCode(row.field), escapeCell(row.type), escapeCell(row.unit), formatCode(row.default), escapeCell(row.meaning)])
  return [headings, headings.map(() => '---'), ...lines].map((line) => `| ${line.join(' | ')} |`).join('\n') + '\n'
}
