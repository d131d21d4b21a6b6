/** Schemas that validate journal batches read from the log, and records before they are written. */
import * as zod from 'zod'
import * as types from '@eelgrasswind/types'

export const journalFormat = types.journalFormat

const nonEmptyString = zod.string().min(1)
const nonNegativeInt = zod.int().nonnegative()
const nonNegativeNumber = zod.number().nonnegative()

/** Casts a schema so that its output has a branded type. */
function asBranded<T> (schema: zod.ZodType<string> | zod.ZodType<number>): zod.ZodType<T> {
  return schema as unknown as zod.ZodType<T>
}

const program = asBranded<types.ProgramId>(nonEmptyString)
const key = asBranded<types.RequestKey>(nonEmptyString)
const branch = asBranded<types.BranchId>(nonEmptyString)
const upstream = asBranded<types.UpstreamId>(nonEmptyString)
const term = asBranded<types.Term>(nonNegativeInt)
const epochMs = asBranded<types.EpochMs>(zod.number())
const seq = zod.int().positive()
const finishResult = zod.enum(['done', 'cancelled', 'budgetExceeded', 'expired'])

const processRef = zod.strictObject({
  host: asBranded<types.HostId>(nonEmptyString),
  incarnation: asBranded<types.Incarnation>(nonEmptyString)
})

const usage = zod.strictObject({ tokens: nonNegativeNumber, calls: nonNegativeNumber, microCost: nonNegativeNumber })

const start = zod.strictObject({
  program,
  client: asBranded<types.ClientId>(nonEmptyString),
  kind: asBranded<types.KindId>(nonEmptyString),
  deadline: epochMs,
  budget: zod.strictObject({ tokens: nonNegativeNumber, calls: nonNegativeNumber, microCost: nonNegativeNumber, wallMs: nonNegativeNumber })
})

const message = zod.looseObject({ role: zod.string(), content: zod.unknown() })

const target = zod.discriminatedUnion('type', [
  zod.strictObject({
    type: zod.literal('model'),
    model: asBranded<types.ModelId>(nonEmptyString),
    messages: zod.array(message),
    maxTokens: nonNegativeNumber,
    options: zod.record(zod.string(), zod.unknown())
  }),
  zod.strictObject({
    type: zod.literal('service'),
    service: asBranded<types.ServiceId>(nonEmptyString),
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
  tokens: zod.strictObject({ prompt: nonNegativeNumber, cached: nonNegativeNumber, generated: nonNegativeNumber }),
  upstream,
  startedAt: epochMs,
  endedAt: epochMs
})

const intentFields = { key, branch, seq, digest: zod.string(), target, upstream, dispatchTo: processRef, reserved: usage, at: epochMs }

const snapshotState = zod.strictObject({
  start,
  home: processRef,
  term,
  at: epochMs,
  turns: zod.array(turn),
  intents: zod.array(zod.strictObject(intentFields)),
  finished: finishResult.nullable(),
  allowance: usage,
  forfeited: usage
})

const laterFields = { program, n: zod.int().min(2), term }

const programMismatch = { message: 'must be the program of the record', path: ['start', 'program'] }
const stateProgramMismatch = { ...programMismatch, path: ['state', 'start', 'program'] }
const stateTermMismatch = { message: 'must be the term of the record', path: ['state', 'term'] }

/** Schema of one journal record of any type. */
export const record: zod.ZodType<types.JournalRecord> = zod.discriminatedUnion('type', [
  zod.strictObject({
    type: zod.literal('begin'), program, n: zod.literal(1), term: asBranded<types.Term>(zod.literal(0)), start, home: processRef, at: epochMs, allowance: zod.exactOptional(usage)
  }).refine((begin) => begin.start.program === begin.program, programMismatch),
  zod.strictObject({ type: zod.literal('claim'), ...laterFields, home: processRef, at: epochMs }),
  zod.strictObject({ type: zod.literal('intent'), ...laterFields, ...intentFields }),
  zod.strictObject({ type: zod.literal('turn'), ...laterFields, turn, allowance: zod.exactOptional(usage) }),
  zod.strictObject({ type: zod.literal('allow'), ...laterFields, allowance: usage }),
  zod.strictObject({ type: zod.literal('settle'), ...laterFields, key, verdict: zod.literal('notRun') }),
  zod.strictObject({ type: zod.literal('finish'), ...laterFields, result: finishResult, at: epochMs }),
  zod.strictObject({ type: zod.literal('snapshot'), ...laterFields, state: snapshotState })
    .refine((snapshot) => snapshot.state.start.program === snapshot.program, stateProgramMismatch)
    .refine((snapshot) => snapshot.state.term === snapshot.term, stateTermMismatch)
])

/** Schema of a whole batch in the format of this version. */
export const batch: zod.ZodType<types.JournalBatch> = zod.strictObject({
  format: zod.literal(types.journalFormat),
  records: zod.array(record).max(types.maxBatchRecords)
})

/** Schema of the format number alone, which every version of a batch has. */
export const formatOnly = zod.looseObject({ format: zod.number() })
