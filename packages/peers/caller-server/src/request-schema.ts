/** Shapes of the requests of callers, and their errors by field. */
import * as errors from '@eelgrasswind/errors'
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

/** Longest time that a caller may give one call, in milliseconds. */
const maxCallTimeoutMs = 600_000
/** Stands for "as many as the kind allows". */
export const unlimitedTokens = 1_000_000

const id = z.string().regex(types.idPattern, 'letters, digits and . _ ~ -, at most 128, beginning with a letter or digit')
const positive = z.number().int().positive()

export const startBody = z.strictObject({
  kind: id,
  /** Milliseconds since the epoch, or an ISO 8601 time. */
  deadline: z.union([positive, z.iso.datetime({ offset: true })]).optional(),
  budget: z.strictObject({
    tokens: positive.optional(),
    calls: positive.optional(),
    microCost: z.number().int().nonnegative().optional(),
    wallMs: positive.optional()
  }).optional()
})

/** Where a call stands in its program; the same members may come as headers. */
export const callPlace = z.strictObject({
  key: id,
  branch: id.default(types.mainBranch),
  seq: positive,
  idempotent: z.boolean().optional(),
  timeoutMs: positive.max(maxCallTimeoutMs).optional()
})

const message = z.looseObject({ role: z.string().min(1) })

/** The chat-completions form; members that are not named here go to the engine as they are. */
export const completionBody = z.looseObject({
  model: id,
  messages: z.array(message).min(1),
  stream: z.boolean().default(false),
  max_tokens: positive.optional(),
  max_completion_tokens: positive.optional(),
  eelgrasswind: z.record(z.string(), z.unknown()).default({})
})

export const serviceBody = z.strictObject({
  body: z.unknown(),
  eelgrasswind: z.record(z.string(), z.unknown()).default({})
})

export const finishBody = z.strictObject({
  result: z.enum(['done', 'cancelled']).default('done')
})

function fieldOf (path: readonly PropertyKey[], base: string): string {
  const parts = path.map(String)
  return [base, ...parts].filter((part) => part !== '').join('.') || '(body)'
}

function expectationOf (issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return `no member ${issue.keys.join(', ')}`
  return issue.message
}

/** Checks a value; the first thing wrong becomes a failure that names the field. */
export function check<T> (schema: z.ZodType<T>, value: unknown, base = ''): errors.Result<T> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return errors.ok(parsed.data)
  const issue = parsed.error.issues[0]!
  const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : []
  const field = fieldOf([...issue.path, ...unknownKey], base)
  return errors.fail(invalid(field, expectationOf(issue)))
}

export function invalid (field: string, expected: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `${field}: expected ${expected}`, field, expected }
}
