/** Schema of the published configuration, as an operator writes it: one JSON document with six sections. */
import * as net from 'node:net'
import type * as admitProgram from '@eelgrasswind/admit-program'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as retainPrefix from '@eelgrasswind/retain-prefix'
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

/** Rules that `limits` chooses between, by the names that the packages of the rules give them. */
export const queueRules = ['fifo', 'earliestDeadline', 'leastAttained', 'weightedSlack'] as const satisfies orderQueue.OrderRule['type'][]
export const admissionRules = ['none', 'queueBound', 'inTime'] as const satisfies admitProgram.AdmissionRule['type'][]
export const holdRules = ['always', 'never', 'fixed', 'learnt'] as const satisfies retainPrefix.HoldRule['type'][]

const maxTimeMs = 30 * 24 * 60 * 60 * 1000
const maxCount = 1_000_000_000
const maxPort = 65_535

function id<Id extends string> (description: string): z.ZodType<Id, string> {
  const schema = z.string().regex(types.idPattern, 'an id: letters, digits and . _ ~ -, at most 128').meta({ description })
  return schema as unknown as z.ZodType<Id, string>
}

function count (unit: string, description: string): z.ZodNumber {
  return z.number().int().min(1).max(maxCount).meta({ description, unit })
}

function countOrZero (unit: string, description: string): z.ZodNumber {
  return z.number().int().min(0).max(maxCount).meta({ description, unit })
}

function time (description: string): z.ZodNumber {
  return z.number().int().min(1).max(maxTimeMs).meta({ description, unit: 'ms' })
}

function rate (unit: string, description: string): z.ZodNumber {
  return z.number().positive().max(maxCount).meta({ description, unit })
}

/** Whether a text is `http://IP:PORT` with an IP number and a port. */
export function isAddress (text: string): boolean {
  const match = /^http:\/\/(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const port = Number(match[3])
  return net.isIP(match[1] ?? match[2] ?? '') !== 0 && port >= 1 && port <= maxPort
}

const address = z.string()
  .refine(isAddress, 'an address as http://IP:PORT')
  .meta({ description: 'Where the sidecar beside it reaches the upstream, as http://IP:PORT.' })

const slots = count('calls', 'Calls that the upstream runs at the same time.')
const upstreamId = id<types.UpstreamId>('Id of the upstream, unique among all hosts.')

export const engineSchema = z.strictObject({
  id: upstreamId,
  type: z.literal('engine').meta({ description: 'A model engine.' }),
  address,
  models: z.array(id<types.ModelId>('Id of a model of the section models.')).min(1)
    .meta({ description: 'Models that the engine may serve.' }),
  contextTokens: count('tokens', 'Longest prompt and answer together that the engine takes.'),
  slots,
  cacheTokens: count('tokens', 'Memory for cached prompt prefixes.'),
  checksFencing: z.boolean()
    .meta({ description: 'Whether the engine refuses an order with an old fencing number.' })
})

export const plainServiceSchema = z.strictObject({
  id: upstreamId,
  type: z.literal('service').meta({ description: 'A plain service.' }),
  address,
  service: id<types.ServiceId>('Id of the service of the section services that it offers.'),
  slots
})

export const upstreamSchema = z.discriminatedUnion('type', [engineSchema, plainServiceSchema])

export const hostSchema = z.strictObject({
  region: id<types.RegionId>('Region that the host is in.'),
  availabilityZone: id<types.AvailabilityZoneId>('Availability zone that the host is in.'),
  upstreams: z.array(upstreamSchema).meta({ description: 'Engines and services of this host.' })
})

export const modelSchema = z.strictObject({
  version: z.string().min(1).max(128).meta({ description: 'Version of the weights.' }),
  adapters: z.array(z.string().min(1).max(128)).default([])
    .meta({ description: 'Adapters that may be loaded on top of the model.' }),
  microCostPerPromptToken: z.number().min(0).max(maxCount)
    .meta({ description: 'Price of one prompt token.', unit: 'millionths of the currency' }),
  microCostPerGeneratedToken: z.number().min(0).max(maxCount)
    .meta({ description: 'Price of one generated token.', unit: 'millionths of the currency' })
})

export const serviceSchema = z.strictObject({
  pathPrefix: z.string().regex(/^\/[^?#\s]*$/, 'a path that starts with /').default('/')
    .meta({ description: 'Path before the path of a call.' }),
  timeoutMs: time('Time that a call may take unless the caller says less.').default(10_000),
  idempotent: z.boolean().default(false)
    .meta({ description: 'Whether a call may be repeated unless the caller says otherwise.' }),
  microCostPerCall: z.number().min(0).max(maxCount).default(0)
    .meta({ description: 'Price of one call.', unit: 'millionths of the currency' })
})

export const clientSchema = z.strictObject({
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest of 64 hexadecimal digits in lower case')
    .meta({ description: 'SHA-256 digest of the token that the client shows.' }),
  startsPerMinute: rate('programs/min', 'Programs that the client may start.').default(60),
  callsPerSecond: rate('calls/s', 'Calls that the client may make.').default(20)
})

export const budgetSchema = z.strictObject({
  tokens: count('tokens', 'Prompt and generated tokens of one program.'),
  calls: count('calls', 'Calls of one program.'),
  microCost: countOrZero('millionths of the currency', 'Price of one program.'),
  wallMs: time('Time from the start of a program to its end.')
})

export const kindSchema = z.strictObject({
  weight: rate('', 'Importance of finishing such a program in time; 1 is ordinary.').default(1),
  budget: budgetSchema.meta({ description: 'Budget of a program whose start names none, and the most that a start may name.' }),
  expectedTurns: count('turns', 'Turns that such a program is expected to take, until measurements replace it.'),
  deadlineSlackMs: time('Time from start to deadline for a start that names no deadline.'),
  maxTokens: count('tokens', 'Most generated tokens of one call, and the default.')
})

const dayMs = 24 * 60 * 60 * 1000

export const limitsSchema = z.strictObject({
  logAppendsPerSecond: rate('appends/s', 'Appends to the log of all processes together.').default(300),
  queueRule: z.enum(queueRules).default('weightedSlack')
    .meta({ description: 'Rule that orders the queue before an upstream.' }),
  admissionRule: z.enum(admissionRules).default('inTime')
    .meta({ description: 'Rule that admits or refuses the start of a program.' }),
  holdRule: z.enum(holdRules).default('never')
    .meta({ description: 'Rule for how long a cached prefix is held over a tool pause.' }),
  retryBudget: countOrZero('retries', 'Retries of one program over its whole life.').default(10),
  maxBodyBytes: count('bytes', 'Longest body of a request of a caller.').default(1_048_576),
  callTimeoutMs: time('Time that a call to a model may take unless the caller says less.').default(60_000),
  retentionMs: time('Time for which the log keeps a record; at most what the platform promises. A process takes a change at its next start.').default(dayMs),
  snapshotMs: time('Age of the oldest record of a living program at which a snapshot is written; at most half of retentionMs. A process takes a change at its next start.').default(dayMs / 4)
})

function section<Id extends string, Value extends z.ZodType> (key: z.ZodType<Id, string>, value: Value, description: string) {
  return z.record(key as unknown as z.ZodString, value).default({}).meta({ description }) as unknown as
    z.ZodType<Record<Id, z.output<Value>>, Record<string, z.input<Value>> | undefined>
}

/** Sections whose values are keyed by id. */
export const sectionSchemas = {
  hosts: section(id<types.HostId>('Id of a host.'), hostSchema, 'Hosts with upstreams, by host id.'),
  models: section(id<types.ModelId>('Id of a model.'), modelSchema, 'Models, by model id.'),
  services: section(id<types.ServiceId>('Id of a service.'), serviceSchema, 'Plain services, by service id.'),
  clients: section(id<types.ClientId>('Id of a client.'), clientSchema, 'Clients, by client id.'),
  kinds: section(id<types.KindId>('Id of a kind.'), kindSchema, 'Kinds of program, by kind id.')
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
