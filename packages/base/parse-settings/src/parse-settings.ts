/** Parses JSON with comments and validates it; every error has its line and column. */
import * as errors from '@eelgrasswind/errors'
import * as jsonc from 'jsonc-parser'
import type * as z from 'zod'
import * as fieldErrors from './field-errors.js'
import * as settingsError from './settings-error.js'

interface TextPosition {
  readonly line: number
  readonly column: number
}

type LocateOffset = (offset: number) => TextPosition

/** Creates a function that converts offsets in a text to line and column, both from 1. */
function createLocator (text: string): LocateOffset {
  const lineStarts = [0]
  for (const match of text.matchAll(/\r\n|\r|\n/g)) lineStarts.push(match.index + match[0].length)
  return (offset) => {
    let low = 0
    let high = lineStarts.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (lineStarts[middle]! <= offset) low = middle
      else high = middle - 1
    }
    return { line: low + 1, column: offset - lineStarts[low]! + 1 }
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
  UnexpectedEndOfNumber: 'a complete number',
  InvalidUnicode: 'four hexadecimal digits after \\u',
  InvalidEscapeCharacter: 'a known escape character',
  InvalidCharacter: 'no control character',
  '<unknown ParseErrorCode>': 'JSON with comments'
}

function toSyntaxErrors (text: string, found: readonly jsonc.ParseError[], file: string, locate: LocateOffset): settingsError.SettingsError[] {
  return found.map((err) => {
    const token = text.slice(err.offset, err.offset + err.length)
    return {
      kind: 'syntax',
      file,
      ...locate(err.offset),
      field: '',
      expected: syntaxExpected[jsonc.printParseErrorCode(err.error)],
      found: token === '' ? 'the end of the file' : fieldErrors.formatFoundValue(token)
    }
  })
}

/** Field name that would set the prototype of an object. */
const prototypeName = '__proto__'

function checkNames (node: jsonc.Node, path: settingsError.FieldPath, report: (node: jsonc.Node, err: settingsError.FieldError) => void): void {
  const seen = new Set<string>()
  for (const property of node.children ?? []) {
    const nameNode = property.children![0]!
    const key = nameNode.value as string
    const fieldPath = [...path, key]
    if (seen.has(key)) report(nameNode, { kind: 'duplicateField', path: fieldPath, expected: 'each field once', found: `the field ${JSON.stringify(key)} again` })
    if (key === prototypeName) report(nameNode, { kind: 'unknownField', path: fieldPath, expected: 'a name other than __proto__', found: JSON.stringify(key) })
    seen.add(key)
    const value = property.children![1]
    if (value !== undefined) checkNode(value, fieldPath, report)
  }
}

/** Reports errors that the parsed value no longer shows: duplicate names and `__proto__`. */
function checkNode (node: jsonc.Node, path: settingsError.FieldPath, report: (node: jsonc.Node, err: settingsError.FieldError) => void): void {
  if (node.type === 'object') checkNames(node, path, report)
  if (node.type === 'array') node.children?.forEach((child, index) => checkNode(child, [...path, index], report))
}

/** Child of an object or array; the last one of a duplicate name, since the parser keeps its value. */
function findChild (node: jsonc.Node, step: string | number): jsonc.Node | undefined {
  if (typeof step === 'number') return node.type === 'array' ? node.children?.[step] : undefined
  if (node.type !== 'object') return undefined
  return node.children?.findLast((property) => property.children?.[0]?.value === step)?.children?.[1]
}

/** Node that an error is reported at: the name of an unknown field, else the value, else the innermost node that encloses it. */
function findNode (root: jsonc.Node, err: settingsError.FieldError): jsonc.Node {
  let node = root
  for (const step of err.path) {
    const child = findChild(node, step)
    if (child === undefined) return node
    node = child
  }
  return err.kind === 'unknownField' ? node.parent?.children?.[0] ?? node : node
}

function toSettingsError (err: settingsError.FieldError, node: jsonc.Node, file: string, locate: LocateOffset): settingsError.SettingsError {
  const { path, ...rest } = err
  return { ...rest, file, ...locate(node.offset), field: settingsError.formatPath(path) }
}

function comparePositions (a: settingsError.SettingsError, b: settingsError.SettingsError): number {
  return a.line - b.line || a.column - b.column
}

/**
 * Parses a settings file: JSON with comments and trailing commas. Fails with all errors, in the order of the file:
 * the syntax errors or, if there are none, the duplicate names and the errors of the schema.
 */
export function parseSettings<T> (text: string, schema: z.ZodType<T>, fileName: string): errors.Result<T, readonly settingsError.SettingsError[]> {
  const locate = createLocator(text)
  const syntaxErrors: jsonc.ParseError[] = []
  const root = jsonc.parseTree(text, syntaxErrors, { allowTrailingComma: true })
  if (syntaxErrors.length > 0 || root === undefined) return errors.fail(toSyntaxErrors(text, syntaxErrors, fileName, locate))
  const found: settingsError.SettingsError[] = []
  checkNode(root, [], (node, err) => found.push(toSettingsError(err, node, fileName, locate)))
  const value: unknown = jsonc.getNodeValue(root)
  const parsed = schema.safeParse(value)
  if (parsed.success && found.length === 0) return errors.ok(parsed.data)
  const schemaErrors = parsed.success ? [] : fieldErrors.collectFieldErrors(parsed.error, schema, value)
  found.push(...schemaErrors.map((err) => toSettingsError(err, findNode(root, err), fileName, locate)))
  return errors.fail(found.sort(comparePositions))
}
