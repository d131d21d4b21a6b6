/** Settings of a sidecar. */
import * as processBase from '@eelgrasswind/process-base'
import * as z from 'zod'

const maxShards = 4_096

export const sidecarSettings = processBase.baseSettings.extend({
  journal: z.strictObject({
    shards: z.number().int().positive().max(maxShards).default(8).meta({ description: 'Number of log streams that the records of programs are distributed over; the same in every process, and never changed.' }),
    maxAppendsPerSecond: z.number().positive().default(20).meta({ description: 'Rate limit of this process for appends to the log.', unit: 'appends/s' }),
    maxBatchBytes: z.number().int().positive().default(2_000_000).meta({ description: 'Maximum size of an append.', unit: 'bytes' }),
    patienceMs: processBase.milliseconds('How long an append without an answer is retried before it fails.', 3_000)
  }).prefault({}).meta({ description: 'The journal of programs.' }),
  upstreamTimeoutMs: processBase.milliseconds('Timeout of short requests to engines.', 2_000),
  maxAnswerBytes: z.number().int().positive().default(4_194_304).meta({ description: 'Maximum size of an answer of a plain service.', unit: 'bytes' })
})

export type SidecarSettings = z.output<typeof sidecarSettings>
