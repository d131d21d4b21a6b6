/** Settings of the front process. */
import * as z from 'zod'

const milliseconds = (describe: string, preset: number) => z.number().int().positive().default(preset).describe(describe)
const address = (describe: string) => z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'IP:PORT').describe(describe)

/** Schema of the settings file of a front; unknown fields are refused by `parse-settings`. */
export const frontSettings = z.object({
  host: z.string().min(1).describe('Name of the host.'),
  availabilityZone: z.string().min(1).describe('Availability zone of the host.'),
  clientAddress: address('Where clients connect.'),
  readyAddress: address('Where the balancer asks whether this process is ready.'),
  peerAddress: address('Where the other front processes connect.'),
  metricsAddress: address('Where counters and histograms are served.').optional(),
  storeAddress: address('The store that keeps programs and configuration.'),
  storeParts: z.number().int().positive().describe('Partitions of each topic of the store.'),
  shardTopics: z.number().int().positive().default(2).describe('Topics that the shards are spread over; each adds as many shards as a topic has partitions.'),
  leaseMs: milliseconds('Lease of this process in the group that shares the shards, in ms.', 1_100),
  heartbeatMs: milliseconds('Time between two renewals of the lease, in ms.', 300),
  limitSlack: z.number().nonnegative().default(0).describe('Requests beyond its limit that a client account may send in a short time: a part is given to it, the rest covers what hosts learn late.'),
  mostRoutingAgeMs: z.number().int().positive().optional().describe('A configuration that the store has not confirmed for this long, in ms, serves nobody: a key may have been taken away since. Without it, hosts that are out of touch go on by the one they have.'),
  graceMs: milliseconds('Time between the signal to stop and the end of the process by force, in ms.', 8_000),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info').describe('Least level of the lines that are written.')
})

/** Checked settings with their defaults filled in. */
export type FrontSettings = z.output<typeof frontSettings>
