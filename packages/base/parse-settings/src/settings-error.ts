/** Errors of a settings document and their text format. */

/** Path from the root of a document to a value: field names and array indexes. */
export type FieldPath = readonly (string | number)[]

/** Kind of a validation error. */
export type FieldErrorKind = 'duplicateField' | 'unknownField' | 'missingField' | 'wrongValue'

/** One validation error of a value, whether it comes from a file or not. */
export interface FieldError {
  readonly kind: FieldErrorKind
  readonly path: FieldPath
  readonly expected: string
  readonly found: string
  /** Known field whose name is nearest to that of an unknown one. */
  readonly suggestion?: string
}

/** One error with its position in a file. */
export interface SettingsError {
  readonly kind: FieldErrorKind | 'syntax'
  readonly file: string
  /** From 1. */
  readonly line: number
  /** From 1, in UTF-16 code units. */
  readonly column: number
  /** Path of the field, such as `hosts.engine-1.upstreams[0].slots`; empty for the whole document. */
  readonly field: string
  readonly expected: string
  readonly found: string
  readonly suggestion?: string
}

const unambiguousName = /^[^.[\]"\s]+$/

/** Formats a path; a name with characters that would be ambiguous is quoted. */
export function formatPath (path: FieldPath): string {
  let text = ''
  for (const step of path) {
    if (typeof step === 'number') text += `[${step}]`
    else if (!unambiguousName.test(step)) text += `[${JSON.stringify(step)}]`
    else text += text === '' ? step : `.${step}`
  }
  return text
}

function formatReason (err: { readonly expected: string, readonly found: string, readonly suggestion?: string }): string {
  const hint = err.suggestion === undefined ? '' : `; did you mean ${JSON.stringify(err.suggestion)}?`
  return `expected ${err.expected}, found ${err.found}${hint}`
}

/** Formats an error that has no position in a file, on one line. */
export function formatFieldError (err: FieldError): string {
  const field = formatPath(err.path)
  return `${field === '' ? 'document' : field}: ${formatReason(err)}`
}

/** Formats errors, one per line: `FILE:LINE:COLUMN: FIELD: expected …, found …`. */
export function formatSettingsErrors (errors: readonly SettingsError[]): string {
  return errors.map(formatSettingsError).join('\n')
}

function formatSettingsError (err: SettingsError): string {
  const field = err.field === '' ? 'document' : err.field
  return `${err.file}:${err.line}:${err.column}: ${field}: ${formatReason(err)}`
}
