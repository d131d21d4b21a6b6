/** Reads JSON with comments against a schema, with the place of every error. */
import * as errors from '@eelgrasswind/errors'
import * as jsonc from 'jsonc-parser'
import type * as z from 'zod'
import * as fieldErrors from './field-errors.js'
import * as settingsError from './settings-error.js'

interface Place {
  readonly line: number
  readonly column: number
}

type LocateOffset = (offset: number) => Place

/** Finds line and column of offsets of one text. */
function createLocator (text: string): LocateOffset {
  const starts = [0]
  for (const match of text.matchAll(/\r\n|\r|\n/g)) starts.push(match.index + match[0].length)
  return (offset) => {
    let low = 0
    let high = starts.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (starts[middle]! <= offset) low = middle
      else high = middle - 1
    }
    return { line: low + 1, column: offset - starts[low]! + 1 }
  }
}

const syntaxExpected: Readonly<Record<ReturnType<typeof jsonc.printParseErrorCode>, string>> = {
  InvalidSymbol: 'true, false, null, a number, a string, an object or an array',
  InvalidNumberFormat: 'a number',
  PropertyNameExpected: 'a field name in double quotes',
  ValueExpected: 'a value',
  ColonExpected: 'a colon',
  CommaExpected: 'a comma',
  CloseBraceExpected: 'a closing brace',
  CloseBracketExpected: 'a closing bracket',
  EndOfFileExpected: 'the end of the file',
  InvalidCommentToken: 'no comment',
  UnexpectedEndOfComment: 'the end of the comment',
  UnexpectedEndOfString: 'a closing double quote',
  UnexpectedEndOfNumber: 'a whole number',
  InvalidUnicode: 'four hexadecimal digits after \\u',
  InvalidEscapeCharacter: 'a known escape character',
  InvalidCharacter: 'no control character',
  '<unknown ParseErrorCode>': 'JSON with comments'
}

function syntaxErrors (text: string, found: readonly jsonc.ParseError[], file: string, locate: LocateOffset): settingsError.SettingsError[] {
  return found.map((err) => {
    const piece = text.slice(err.offset, err.offset + err.length)
    return {
      kind: 'syntax',
      file,
      ...locate(err.offset),
      field: '',
      expected: syntaxExpected[jsonc.printParseErrorCode(err.error)],
      found: piece === '' ? 'the end of the file' : fieldErrors.formatFoundValue(piece)
    }
  })
}

/** A name that would set the prototype of an object instead of a field. */
const prototypeName = '__proto__'

function nameErrors (node: jsonc.Node, path: settingsError.FieldPath, report: (node: jsonc.Node, err: settingsError.FieldError) => void): void {
  const seen = new Set<string>()
  for (const property of node.children ?? []) {
    const name = property.children![0]!
    const key = name.value as string
    const at = [...path, key]
    if (seen.has(key)) report(name, { kind: 'duplicateField', path: at, expected: 'each field once', found: `the field ${JSON.stringify(key)} again` })
    if (key === prototypeName) report(name, { kind: 'unknownField', path: at, expected: 'another name', found: JSON.stringify(key) })
    seen.add(key)
    const value = property.children![1]
    if (value !== undefined) walk(value, at, report)
  }
}

/** Reports what only the text shows: names that come twice. */
function walk (node: jsonc.Node, path: settingsError.FieldPath, report: (node: jsonc.Node, err: settingsError.FieldError) => void): void {
  if (node.type === 'object') nameErrors(node, path, report)
  if (node.type === 'array') node.children?.forEach((child, index) => walk(child, [...path, index], report))
}

/** The member of an object or array; of a name that comes twice the last, since its value counts. */
function childOf (node: jsonc.Node, step: string | number): jsonc.Node | undefined {
  if (typeof step === 'number') return node.type === 'array' ? node.children?.[step] : undefined
  if (node.type !== 'object') return undefined
  return node.children?.findLast((property) => property.children?.[0]?.value === step)?.children?.[1]
}

/** The node that a message about a path points at: the name of a field with a wrong name, else the value, else what encloses it. */
function nodeOf (root: jsonc.Node, err: settingsError.FieldError): jsonc.Node {
  let node = root
  for (const step of err.path) {
    const child = childOf(node, step)
    if (child === undefined) return node
    node = child
  }
  return err.kind === 'unknownField' ? node.parent?.children?.[0] ?? node : node
}

function placed (err: settingsError.FieldError, node: jsonc.Node, file: string, locate: LocateOffset): settingsError.SettingsError {
  const { path, ...rest } = err
  return { ...rest, file, ...locate(node.offset), field: settingsError.formatPath(path) }
}

function byPlace (a: settingsError.SettingsError, b: settingsError.SettingsError): number {
  return a.line - b.line || a.column - b.column
}

/**
 * Reads a settings file: JSON with comments and trailing commas. Fails with every error at once, in the order of
 * the file: all syntax errors, or where there is none all names that come twice and all errors of the schema.
 */
export function parseSettings<T> (text: string, schema: z.ZodType<T>, fileName: string): errors.Result<T, readonly settingsError.SettingsError[]> {
  const locate = createLocator(text)
  const syntax: jsonc.ParseError[] = []
  const root = jsonc.parseTree(text, syntax, { allowTrailingComma: true })
  if (syntax.length > 0 || root === undefined) return errors.fail(syntaxErrors(text, syntax, fileName, locate))
  const found: settingsError.SettingsError[] = []
  walk(root, [], (node, err) => found.push(placed(err, node, fileName, locate)))
  const value: unknown = jsonc.getNodeValue(root)
  const parsed = schema.safeParse(value)
  if (parsed.success && found.length === 0) return errors.ok(parsed.data)
  const fromSchema = parsed.success ? [] : fieldErrors.fieldErrors(parsed.error, schema, value)
  found.push(...fromSchema.map((err) => placed(err, nodeOf(root, err), fileName, locate)))
  return errors.fail(found.sort(byPlace))
}
