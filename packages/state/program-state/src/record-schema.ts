/** The shape of a journal batch, for checking what comes from the log. */
import * as zod from 'zod'
import * as types from '@eelgrasswind/types'

export const journalFormat = types.journalFormat

const text = zod.string().min(1)
const whole = zod.int().nonnegative()
const amount = zod.number().nonnegative()

/** A schema whose output carries the brand that the compiler knows. */
function branded<T> (schema: zod.ZodType<string> | zod.ZodType<number>): zod.ZodType<T> {
  return schema as unknown as zod.ZodType<T>
}

const program = branded<types.ProgramId>(text)
const key = branded<types.RequestKey>(text)
const branch = branded<types.BranchId>(text)
const upstream = branded<types.UpstreamId>(text)
const term = branded<types.Term>(whole)
const epochMs = branded<types.EpochMs>(zod.number())
const seq = zod.int().positive()
const finishResult = zod.enum(['done', 'cancelled', 'budgetExceeded', 'expired'])

const process = zod.strictObject({
  host: branded<types.HostId>(text),
  incarnation: branded<types.Incarnation>(text)
})

const usage = zod.strictObject({ tokens: amount, calls: amount, microCost: amount })

const start = zod.strictObject({
  program,
  client: branded<types.ClientId>(text),
  kind: branded<types.KindId>(text),
  deadline: epochMs,
  budget: zod.strictObject({ tokens: amount, calls: amount, microCost: amount, wallMs: amount })
})

const message = zod.looseObject({ role: zod.string(), content: zod.unknown() })

const target = zod.discriminatedUnion('type', [
  zod.strictObject({
    type: zod.literal('model'),
    model: branded<types.ModelId>(text),
    messages: zod.array(message),
    maxTokens: amount,
    options: zod.record(zod.string(), zod.unknown())
  }),
  zod.strictObject({
    type: zod.literal('service'),
    service: branded<types.ServiceId>(text),
    path: zod.string(),
    body: zod.unknown()
  })
])

const outcome = zod.discriminatedUnion('type', [
  zod.strictObject({ type: zod.literal('message'), message, finishReason: zod.string() }),
  zod.strictObject({ type: zod.literal('service'), status: zod.number(), body: zod.unknown() }),
  zod.strictObject({
    type: zod.literal('failed'),
    verdict: zod.enum(['mayHaveRun', 'ran']),
    tag: zod.string(),
    message: zod.string()
  })
])

const turn = zod.strictObject({
  key,
  branch,
  seq,
  digest: zod.string(),
  target,
  outcome,
  usage,
  tokens: zod.strictObject({ prompt: amount, cached: amount, generated: amount }),
  upstream,
  startedAt: epochMs,
  endedAt: epochMs
})

const intent = { key, branch, seq, digest: zod.string(), target, upstream, dispatchTo: process, reserved: usage, at: epochMs }

const state = zod.strictObject({
  start,
  home: process,
  term,
  at: epochMs,
  turns: zod.array(turn),
  intents: zod.array(zod.strictObject(intent)),
  finished: finishResult.nullable(),
  allowance: usage,
  forfeited: usage
})

const later = { program, n: zod.int().min(2), term }

const sameProgram = { message: 'names another program than its record', path: ['start', 'program'] }
const sameProgramInState = { ...sameProgram, path: ['state', 'start', 'program'] }
const sameTerm = { message: 'names another term than its record', path: ['state', 'term'] }

export const record: zod.ZodType<types.JournalRecord> = zod.discriminatedUnion('type', [
  zod.strictObject({
    type: zod.literal('begin'), program, n: zod.literal(1), term: branded<types.Term>(zod.literal(0)), start, home: process, at: epochMs, allowance: zod.exactOptional(usage)
  }).refine((begin) => begin.start.program === begin.program, sameProgram),
  zod.strictObject({ type: zod.literal('claim'), ...later, home: process, at: epochMs }),
  zod.strictObject({ type: zod.literal('intent'), ...later, ...intent }),
  zod.strictObject({ type: zod.literal('turn'), ...later, turn, allowance: zod.exactOptional(usage) }),
  zod.strictObject({ type: zod.literal('allow'), ...later, allowance: usage }),
  zod.strictObject({ type: zod.literal('settle'), ...later, key, verdict: zod.literal('notRun') }),
  zod.strictObject({ type: zod.literal('finish'), ...later, result: finishResult, at: epochMs }),
  zod.strictObject({ type: zod.literal('snapshot'), ...later, state })
    .refine((snapshot) => snapshot.state.start.program === snapshot.program, sameProgramInState)
    .refine((snapshot) => snapshot.state.term === snapshot.term, sameTerm)
])

export const batch: zod.ZodType<types.JournalBatch> = zod.strictObject({
  format: zod.literal(types.journalFormat),
  records: zod.array(record).max(types.maxBatchRecords)
})

export const formatOnly = zod.looseObject({ format: zod.number() })
