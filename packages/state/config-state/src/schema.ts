/** Schema of the published configuration, as an operator writes it: one JSON document with six sections. */
import * as net from 'node:net'
import type * as admitProgram from '@eelgrasswind/admit-program'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as retainPrefix from '@eelgrasswind/retain-prefix'
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

/** Rules that `limits` can select, by the names that the packages implementing them use. */
export const queueRules = ['fifo', 'earliestDeadline', 'leastAttained', 'weightedSlack'] as const satisfies orderQueue.OrderRule['type'][]
export const admissionRules = ['none', 'queueBound', 'inTime'] as const satisfies admitProgram.AdmissionRule['type'][]
export const holdRules = ['always', 'never', 'fixed', 'learnt'] as const satisfies retainPrefix.HoldRule['type'][]

const maxDurationMs = 30 * 24 * 60 * 60 * 1000
const maxCount = 1_000_000_000
const maxPort = 65_535

function idSchema<Id extends string> (description: string): z.ZodType<Id, string> {
  const stringSchema = z.string().regex(types.idPattern, 'an id: letters, digits and . _ ~ -, at most 128').meta({ description })
  return stringSchema as unknown as z.ZodType<Id, string>
}

function countSchema (unit: string, description: string): z.ZodNumber {
  return z.number().int().min(1).max(maxCount).meta({ description, unit })
}

function countOrZeroSchema (unit: string, description: string): z.ZodNumber {
  return z.number().int().min(0).max(maxCount).meta({ description, unit })
}

function durationSchema (description: string): z.ZodNumber {
  return z.number().int().min(1).max(maxDurationMs).meta({ description, unit: 'ms' })
}

function rateSchema (unit: string, description: string): z.ZodNumber {
  return z.number().positive().max(maxCount).meta({ description, unit })
}

/** Whether a text is `http://IP:PORT` with a valid IP address and port. */
export function isAddress (text: string): boolean {
  const match = /^http:\/\/(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const port = Number(match[3])
  return net.isIP(match[1] ?? match[2] ?? '') !== 0 && port >= 1 && port <= maxPort
}

const addressSchema = z.string()
  .refine(isAddress, 'an address as http://IP:PORT')
  .meta({ description: 'Address at which the sidecar on the same host reaches the upstream, as http://IP:PORT.' })

const slotsSchema = countSchema('calls', 'Maximum number of concurrent calls of the upstream.')
const upstreamIdSchema = idSchema<types.UpstreamId>('Id of the upstream, unique among all hosts.')

export const engineSchema = z.strictObject({
  id: upstreamIdSchema,
  type: z.literal('engine').meta({ description: 'A model engine.' }),
  address: addressSchema,
  models: z.array(idSchema<types.ModelId>('Id of a model from the section models.')).min(1)
    .meta({ description: 'Models that the engine may serve.' }),
  contextTokens: countSchema('tokens', 'Maximum total length of prompt and answer.'),
  slots: slotsSchema,
  cacheTokens: countSchema('tokens', 'Capacity of the cache of prompt prefixes.'),
  checksFencing: z.boolean()
    .meta({ description: 'Whether the engine rejects a request with a stale fencing token.' })
})

export const plainServiceSchema = z.strictObject({
  id: upstreamIdSchema,
  type: z.literal('service').meta({ description: 'A plain service.' }),
  address: addressSchema,
  service: idSchema<types.ServiceId>('Id of the offered service, from the section services.'),
  slots: slotsSchema
})

export const upstreamSchema = z.discriminatedUnion('type', [engineSchema, plainServiceSchema])

export const hostSchema = z.strictObject({
  region: idSchema<types.RegionId>('Region that the host is in.'),
  availabilityZone: idSchema<types.AvailabilityZoneId>('Availability zone that the host is in.'),
  upstreams: z.array(upstreamSchema).meta({ description: 'Engines and services of this host.' })
})

export const modelSchema = z.strictObject({
  version: z.string().min(1).max(128).meta({ description: 'Version of the weights.' }),
  adapters: z.array(z.string().min(1).max(128)).default([])
    .meta({ description: 'Adapters that may be loaded for the model.' }),
  microCostPerPromptToken: z.number().min(0).max(maxCount)
    .meta({ description: 'Price of one prompt token.', unit: 'millionths of the currency' }),
  microCostPerGeneratedToken: z.number().min(0).max(maxCount)
    .meta({ description: 'Price of one generated token.', unit: 'millionths of the currency' })
})

export const serviceSchema = z.strictObject({
  pathPrefix: z.string().regex(/^\/[^?#\s]*$/, 'a path that starts with /').default('/')
    .meta({ description: 'Prefix of the path of every call.' }),
  timeoutMs: durationSchema('Timeout of a call unless the caller sets a shorter one.').default(10_000),
  idempotent: z.boolean().default(false)
    .meta({ description: 'Whether a call may be retried unless the caller says otherwise.' }),
  microCostPerCall: z.number().min(0).max(maxCount).default(0)
    .meta({ description: 'Price of one call.', unit: 'millionths of the currency' })
})

export const clientSchema = z.strictObject({
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest of 64 hexadecimal digits in lower case')
    .meta({ description: 'SHA-256 digest of the client\'s token.' }),
  startsPerMinute: rateSchema('programs/min', 'Maximum rate of program starts by the client.').default(60),
  callsPerSecond: rateSchema('calls/s', 'Maximum rate of calls by the client.').default(20)
})

export const budgetSchema = z.strictObject({
  tokens: countSchema('tokens', 'Maximum number of prompt and generated tokens of one program.'),
  calls: countSchema('calls', 'Maximum number of calls of one program.'),
  microCost: countOrZeroSchema('millionths of the currency', 'Maximum price of one program.'),
  wallMs: durationSchema('Maximum time from the start of a program to its end.')
})

export const kindSchema = z.strictObject({
  weight: rateSchema('', 'Relative importance of finishing such a program in time; 1 is normal.').default(1),
  budget: budgetSchema.meta({ description: 'Default budget of a program, and the maximum that its start may set.' }),
  expectedTurns: countSchema('turns', 'Expected number of turns of such a program, used until measurements replace it.'),
  deadlineSlackMs: durationSchema('Time from the start of a program to its deadline if the start sets none.'),
  maxTokens: countSchema('tokens', 'Maximum number of generated tokens of one call, and the default.')
})

const dayMs = 24 * 60 * 60 * 1000

export const limitsSchema = z.strictObject({
  logAppendsPerSecond: rateSchema('appends/s', 'Maximum rate of log appends by all processes together.').default(300),
  queueRule: z.enum(queueRules).default('weightedSlack')
    .meta({ description: 'Rule that orders the queue of an upstream.' }),
  admissionRule: z.enum(admissionRules).default('inTime')
    .meta({ description: 'Rule that admits or refuses the start of a program.' }),
  holdRule: z.enum(holdRules).default('never')
    .meta({ description: 'Rule for how long a cached prefix is held while a program runs a tool between two calls.' }),
  retryBudget: countOrZeroSchema('retries', 'Maximum number of retries over the whole run of one program.').default(10),
  maxBodyBytes: countSchema('bytes', 'Maximum size of the body of a caller\'s request.').default(1_048_576),
  callTimeoutMs: durationSchema('Timeout of a model call unless the caller sets a shorter one.').default(60_000),
  retentionMs: durationSchema('Retention of records in the log; at most what the platform guarantees. A change takes effect when a process restarts.').default(dayMs),
  snapshotMs: durationSchema('Age of the oldest record of an open program at which a snapshot of it is written; at most half of retentionMs. A change takes effect when a process restarts.').default(dayMs / 4)
})

function sectionSchema<Id extends string, Value extends z.ZodType> (key: z.ZodType<Id, string>, value: Value, description: string) {
  return z.record(key as unknown as z.ZodString, value).default({}).meta({ description }) as unknown as
    z.ZodType<Record<Id, z.output<Value>>, Record<string, z.input<Value>> | undefined>
}

/** Sections whose values are keyed by id. */
export const sectionSchemas = {
  hosts: sectionSchema(idSchema<types.HostId>('Id of a host.'), hostSchema, 'Hosts with upstreams, by host id.'),
  models: sectionSchema(idSchema<types.ModelId>('Id of a model.'), modelSchema, 'Models, by model id.'),
  services: sectionSchema(idSchema<types.ServiceId>('Id of a service.'), serviceSchema, 'Plain services, by service id.'),
  clients: sectionSchema(idSchema<types.ClientId>('Id of a client.'), clientSchema, 'Clients, by client id.'),
  kinds: sectionSchema(idSchema<types.KindId>('Id of a kind.'), kindSchema, 'Kinds of program, by kind id.')
}

/** The whole document, without the checks between sections. */
export const documentShape = z.strictObject({
  ...sectionSchemas,
  limits: limitsSchema.prefault({}).meta({ description: 'Limits and rules of the whole system.' })
})

export type Engine = Readonly<z.output<typeof engineSchema>>
export type PlainService = Readonly<z.output<typeof plainServiceSchema>>
export type Upstream = Engine | PlainService
export type Host = Readonly<z.output<typeof hostSchema>>
export type Model = Readonly<z.output<typeof modelSchema>>
export type Service = Readonly<z.output<typeof serviceSchema>>
export type Client = Readonly<z.output<typeof clientSchema>>
export type Kind = Readonly<z.output<typeof kindSchema>>
export type Limits = Readonly<z.output<typeof limitsSchema>>
export type QueueRule = typeof queueRules[number]
export type AdmissionRule = typeof admissionRules[number]
export type HoldRule = typeof holdRules[number]

/** The document with every default filled in. */
export type ConfigDocument = z.output<typeof documentShape>
/** The document as an operator may write it. */
export type ConfigDocumentInput = z.input<typeof documentShape>
