/** Errors of a settings document and how they are printed. */

/** Steps from the root of a document to one of its values. */
export type FieldPath = readonly (string | number)[]

export type FieldErrorKind = 'duplicateField' | 'unknownField' | 'missingField' | 'wrongValue'

/** One error of a value, wherever the value came from. */
export interface FieldError {
  readonly kind: FieldErrorKind
  readonly path: FieldPath
  readonly expected: string
  readonly found: string
  /** Known field whose name is nearest to an unknown one. */
  readonly suggestion?: string
}

/** One error at its place in a file. */
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

const plainName = /^[^.[\]"\s]+$/

/** A path as text; a name with characters that would be ambiguous is quoted. */
export function formatPath (path: FieldPath): string {
  let text = ''
  for (const step of path) {
    if (typeof step === 'number') text += `[${step}]`
    else if (!plainName.test(step)) text += `[${JSON.stringify(step)}]`
    else text += text === '' ? step : `.${step}`
  }
  return text
}

function formatReason (err: { readonly expected: string, readonly found: string, readonly suggestion?: string }): string {
  const hint = err.suggestion === undefined ? '' : `; did you mean ${JSON.stringify(err.suggestion)}?`
  return `expected ${err.expected}, found ${err.found}${hint}`
}

/** One line for an error that has no place in a file. */
export function formatFieldError (err: FieldError): string {
  const field = formatPath(err.path)
  return `${field === '' ? 'document' : field}: ${formatReason(err)}`
}

/** One line an error: `FILE:LINE:COLUMN: FIELD: expected …, found …`. */
export function formatSettingsErrors (errors: readonly SettingsError[]): string {
  return errors.map(formatSettingsError).join('\n')
}

function formatSettingsError (err: SettingsError): string {
  const field = err.field === '' ? 'document' : err.field
  return `${err.file}:${err.line}:${err.column}: ${field}: ${formatReason(err)}`
}
