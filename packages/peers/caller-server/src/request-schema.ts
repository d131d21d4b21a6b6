/** Schemas of the requests of callers; validation errors name the field. */
import * as errors from '@eelgrasswind/errors'
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

/** Maximum timeout of one call that a caller may set, in milliseconds. */
const maxCallTimeoutMs = 600_000
/** Value of maxTokens where the caller sets none: the limit of the program's kind applies. */
export const unlimitedTokens = 1_000_000

const id = z.string().regex(types.idPattern, 'letters, digits and . _ ~ -, at most 128, beginning with a letter or digit')
const positiveInteger = z.number().int().positive()

/** Body of a request to start a program. */
export const startBody = z.strictObject({
  kind: id,
  /** Milliseconds since the epoch, or an ISO 8601 time. */
  deadline: z.union([positiveInteger, z.iso.datetime({ offset: true })]).optional(),
  budget: z.strictObject({
    tokens: positiveInteger.optional(),
    calls: positiveInteger.optional(),
    microCost: z.number().int().nonnegative().optional(),
    wallMs: positiveInteger.optional()
  }).optional()
})

/** Identity and options of a call in its program; the same members are accepted as headers. */
export const callMetadata = z.strictObject({
  key: id,
  branch: id.default(types.mainBranch),
  seq: positiveInteger,
  idempotent: z.boolean().optional(),
  timeoutMs: positiveInteger.max(maxCallTimeoutMs).optional()
})

const message = z.looseObject({ role: z.string().min(1) })

/** Body of the chat completions API; unknown members are passed to the engine unchanged. */
export const completionBody = z.looseObject({
  model: id,
  messages: z.array(message).min(1),
  stream: z.boolean().default(false),
  max_tokens: positiveInteger.optional(),
  max_completion_tokens: positiveInteger.optional(),
  eelgrasswind: z.record(z.string(), z.unknown()).default({})
})

/** Body of a service call: the JSON body for the service and the call metadata. */
export const serviceBody = z.strictObject({
  body: z.unknown(),
  eelgrasswind: z.record(z.string(), z.unknown()).default({})
})

/** Body of a request to finish a program. */
export const finishBody = z.strictObject({
  result: z.enum(['done', 'cancelled']).default('done')
})

function formatField (path: readonly PropertyKey[], base: string): string {
  const parts = path.map(String)
  return [base, ...parts].filter((part) => part !== '').join('.') || '(body)'
}

function describeExpectation (issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return `no member ${issue.keys.join(', ')}`
  return issue.message
}

/** Validates a value against a schema; the first issue becomes an invalidRequest failure that names the field. */
export function validate<T> (schema: z.ZodType<T>, value: unknown, base = ''): errors.Result<T> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return errors.ok(parsed.data)
  const issue = parsed.error.issues[0]!
  const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : []
  const field = formatField([...issue.path, ...unknownKey], base)
  return errors.fail(createInvalidRequest(field, describeExpectation(issue)))
}

/** Failure for an invalid field; `expected` describes a valid value. */
export function createInvalidRequest (field: string, expected: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `${field}: expected ${expected}`, field, expected }
}
