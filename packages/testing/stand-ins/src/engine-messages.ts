/** The JSON that the engine stand-in takes: requests, orders, faults, control and settings. */
import type * as timerService from '@eelgrasswind/timer-service'
import * as zod from 'zod'
import * as control from './control.js'

/** A chat-completions request; members that it does not know are ignored. */
export const chatRequest = zod.object({
  model: zod.string(),
  messages: zod.array(zod.looseObject({ role: zod.string() })).min(1),
  max_tokens: zod.int().positive().default(16),
  stream: zod.boolean().default(false),
  stream_options: zod.object({ include_usage: zod.boolean().optional() }).optional(),
  priority: zod.number().default(0),
  session: zod.string().optional(),
  /** Generate max_tokens tokens whatever the text. */
  ignore_eos: zod.boolean().default(false)
})
export type ChatRequest = zod.infer<typeof chatRequest>

export const engineOrder = zod.discriminatedUnion('type', [
  zod.object({ type: zod.literal('loadModel'), model: zod.string(), version: zod.string() }),
  zod.object({ type: zod.literal('loadAdapter'), model: zod.string(), adapter: zod.string() }),
  zod.object({ type: zod.literal('setRole'), role: zod.enum(['prefill', 'decode', 'both']) })
])
export type EngineOrder = zod.infer<typeof engineOrder>

export const orderRequest = zod.object({ order: engineOrder, fencing: zod.int().nonnegative() })

const modelVersion = zod.object({ model: zod.string(), version: zod.string() })

const chainLink = zod.object({ digest: zod.string(), tokens: zod.int().positive() })
export const sessionRequest = zod.object({ session: zod.string() })
export const importRequest = zod.object({ session: zod.string(), chain: zod.array(chainLink) })

/** Paths under /v1 other than generations. */
export const controlPlace = zod.enum(['orders', 'load', 'sessions', 'cache', 'kv', 'state'])

/** Faults of generations; their scope is the session. */
const engineFault = zod.discriminatedUnion('type', [
  /** 503 with Retry-After; does not run. */
  zod.object({ type: zod.literal('refuse'), retryAfterMs: zod.number().optional() }),
  /** The connection is reset; does not run. */
  zod.object({ type: zod.literal('reset') }),
  /** 500; does not run. */
  zod.object({ type: zod.literal('error') }),
  /** The answer ends after so many tokens: by a cut connection, or properly but without its closing marker. */
  zod.object({ type: zod.literal('truncate'), afterTokens: zod.int().nonnegative(), clean: zod.boolean() }),
  /** The answer carries another request's id. */
  zod.object({ type: zod.literal('wrongId') }),
  /** Ids and text are those of the request before. */
  zod.object({ type: zod.literal('crossed') }),
  /** The header carries the right id, the text and the ids of its chunks are those of the request before. */
  zod.object({ type: zod.literal('crossedBody') }),
  /** All tokens come, but never an end. */
  zod.object({ type: zod.literal('neverEnd') }),
  zod.object({ type: zod.literal('slow'), factor: zod.number().positive() }),
  /** The events of the answer come again behind its closing marker. */
  zod.object({ type: zod.literal('duplicate') }),
  /** Runs; the connection is reset before the answer. */
  zod.object({ type: zod.literal('loseAnswer') }),
  /** The usage that it reports is that many times too large. */
  zod.object({ type: zod.literal('overReportUsage'), factor: zod.number().positive() }),
  /** A request other than a generation is refused, reset, left without an answer, or served with its answer lost. */
  zod.object({
    type: zod.literal('control'),
    on: controlPlace,
    how: zod.enum(['refuse', 'reset', 'hang', 'loseAnswer'])
  })
])
export type EngineFault = zod.infer<typeof engineFault>

export const engineControl = zod.discriminatedUnion('type', [
  ...control.commonControl(engineFault)
])
export type EngineControl = zod.infer<typeof engineControl>

export const engineSettings = zod.object({
  port: zod.int(),
  /** Milliseconds between tokens of a request that runs alone; 0 for no delay. */
  tokenMs: zod.number().nonnegative().default(20),
  /** Added for each further request of the batch, as a share of tokenMs. */
  batchSlowdown: zod.number().nonnegative().default(0.05),
  /** Prompt tokens computed in a second; null for no delay. */
  prefillTokensPerSecond: zod.number().positive().nullable().default(10_000),
  maxBatch: zod.int().positive().default(32),
  /** Tokens of prefixes and running requests that fit in memory. */
  cacheCapacity: zod.int().positive().default(200_000),
  /** How old a load report is, in milliseconds. */
  loadLagMs: zod.number().nonnegative().default(0),
  /** How late a cache event is, in milliseconds. */
  eventLagMs: zod.number().nonnegative().default(0),
  /** Every so many cache events one is lost; 0 for none. */
  eventLossEvery: zod.int().nonnegative().default(0),
  /** Whether an order with an old fencing number is refused. */
  checksFencing: zod.boolean().default(true),
  models: zod.array(modelVersion).default([]),
  /** How long an order takes, in milliseconds. */
  orderMs: zod.number().nonnegative().default(0)
})
export type EngineSettings = zod.input<typeof engineSettings> & { readonly timers?: timerService.TimerService }
