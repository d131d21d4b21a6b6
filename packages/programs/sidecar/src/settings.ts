/** Settings of a sidecar. */
import * as processBase from '@eelgrasswind/process-base'
import * as z from 'zod'

const maxShards = 4_096

export const sidecarSettings = processBase.baseSettings.extend({
  journal: z.strictObject({
    shards: z.number().int().positive().max(maxShards).default(8).meta({ description: 'Streams that the programs\' records are spread over; the same in every process, for ever.' }),
    maxAppendsPerSecond: z.number().positive().default(20).meta({ description: 'Appends to the log of this process.', unit: 'appends/s' }),
    maxBatchBytes: z.number().int().positive().default(2_000_000).meta({ description: 'Longest append.', unit: 'bytes' }),
    patienceMs: processBase.milliseconds('How long an append whose answer is missing is tried again before its writer is told.', 3_000)
  }).prefault({}).meta({ description: 'The journal of programs.' }),
  upstreamTimeoutMs: processBase.milliseconds('Limit for short requests to engines.', 2_000),
  maxAnswerBytes: z.number().int().positive().default(4_194_304).meta({ description: 'Longest answer of a plain service.', unit: 'bytes' })
})

export type SidecarSettings = z.output<typeof sidecarSettings>
