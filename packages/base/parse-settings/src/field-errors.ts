/** Converts the issues of a zod schema to errors that say what was expected and what was found. */
import * as errors from '@eelgrasswind/errors'
import type * as z from 'zod'
import * as jsonSchema from './json-schema.js'
import * as nearest from './nearest-name.js'
import type * as settingsError from './settings-error.js'

type Issue = z.core.$ZodIssue

const maxFoundLength = 60

/** Formats a value for an error message; a long one is truncated. */
export function formatFoundValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value) ?? String(value)
  return text.length <= maxFoundLength ? text : `${text.slice(0, maxFoundLength)}…`
}

const typeDescriptions: Readonly<Record<string, string>> = {
  int: 'an integer',
  number: 'a number',
  string: 'a string',
  boolean: 'true or false',
  object: 'an object',
  record: 'an object',
  array: 'an array',
  null: 'null'
}

function describeValues (values: readonly unknown[]): string {
  const shown = values.map((value) => JSON.stringify(value))
  return shown.length === 1 ? shown[0]! : `one of ${shown.join(', ')}`
}

/** Formats the unit of a size limit. */
function formatSizeUnit (origin: string, size: number | bigint): string {
  const plural = Number(size) === 1 ? '' : 's'
  switch (origin) {
    case 'string': return ` character${plural}`
    case 'array': return ` item${plural}`
    default: return ''
  }
}

function describeBound (issue: Extract<Issue, { code: 'too_big' | 'too_small' }>): string {
  const size = issue.code === 'too_big' ? issue.maximum : issue.minimum
  const unit = formatSizeUnit(issue.origin, size)
  if (issue.code === 'too_big') return `${issue.inclusive === false ? 'less than' : 'at most'} ${size}${unit}`
  return `${issue.inclusive === false ? 'more than' : 'at least'} ${size}${unit}`
}

/** Describes a format by the schema's own message, or by its pattern if it has none. */
function describeFormat (issue: Extract<Issue, { code: 'invalid_format' }>): string {
  if (!issue.message.startsWith('Invalid ')) return issue.message
  return issue.pattern === undefined ? `a string of the format ${issue.format}` : `a string that matches ${issue.pattern}`
}

function describeUnion (issue: Extract<Issue, { code: 'invalid_union' }>): string {
  if ('options' in issue && issue.options !== undefined) return describeValues(issue.options)
  const expected = issue.errors.flatMap((option) => option.slice(0, 1).map(describeExpected))
  return expected.length === 0 ? 'another type' : [...new Set(expected)].join(' or ')
}

function describeExpected (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return typeDescriptions[issue.expected] ?? issue.expected
    case 'too_big':
    case 'too_small': return describeBound(issue)
    case 'invalid_format': return describeFormat(issue)
    case 'not_multiple_of': return `a multiple of ${issue.divisor}`
    case 'unrecognized_keys': return 'a known field'
    case 'invalid_union': return describeUnion(issue)
    case 'invalid_key':
    case 'invalid_element': return issue.issues.map(describeExpected).join(' and ')
    case 'invalid_value': return describeValues(issue.values)
    case 'custom': return issue.message
    default: return errors.assertNever(issue)
  }
}

function describeFound (issue: Issue, value: unknown): string {
  if (issue.code === 'custom' && typeof issue.params?.['found'] === 'string') return issue.params['found']
  if (issue.code === 'invalid_key') return `the name ${formatFoundValue(issue.path.at(-1))}`
  if ((issue.code === 'too_big' || issue.code === 'too_small') && Array.isArray(value)) return `${value.length}${formatSizeUnit('array', value.length)}`
  return formatFoundValue(value)
}

function toUnknownFieldErrors (issue: Extract<Issue, { code: 'unrecognized_keys' }>, path: settingsError.FieldPath, schema: jsonSchema.JsonSchema, input: unknown): settingsError.FieldError[] {
  const known = jsonSchema.listKnownFields(schema, input, path)
  return issue.keys.map((key) => {
    const suggestion = nearest.findNearestName(key, known)
    const found = `the unknown field ${JSON.stringify(key)}`
    const expected = known.length === 0 ? 'no field' : `one of the fields ${known.join(', ')}`
    return { kind: 'unknownField', path: [...path, key], expected, found, ...(suggestion === undefined ? {} : { suggestion }) }
  })
}

function toFieldErrors (issue: Issue, schema: jsonSchema.JsonSchema, input: unknown): settingsError.FieldError[] {
  const path = issue.path.map((step) => typeof step === 'symbol' ? String(step) : step)
  if (issue.code === 'unrecognized_keys') return toUnknownFieldErrors(issue, path, schema, input)
  const value = jsonSchema.getValueAt(input, path)
  if (value === undefined && issue.code !== 'custom') {
    const expected = jsonSchema.describeTypeAt(schema, input, path) ?? describeExpected(issue)
    return [{ kind: 'missingField', path, expected, found: describeFound(issue, value) }]
  }
  return [{ kind: 'wrongValue', path, expected: describeExpected(issue), found: describeFound(issue, value) }]
}

/** Converts every issue that a schema reported for a value. */
export function collectFieldErrors (error: z.ZodError, schema: z.ZodType, input: unknown): settingsError.FieldError[] {
  const convertedSchema = jsonSchema.toJsonSchema(schema)
  return error.issues.flatMap((issue) => toFieldErrors(issue, convertedSchema, input))
}

/** Validates a value that does not come from a file, such as one from the network. */
export function parseValue<T> (input: unknown, schema: z.ZodType<T>): errors.Result<T, readonly settingsError.FieldError[]> {
  const parsed = schema.safeParse(input)
  return parsed.success ? errors.ok(parsed.data) : errors.fail(collectFieldErrors(parsed.error, schema, input))
}
