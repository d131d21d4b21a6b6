/** Settings of the front process. */
import * as listenServer from '@eelgrasswind/listen-server'
import * as z from 'zod'

const milliseconds = (description: string, defaultMs: number) => z.number().int().positive().default(defaultMs).describe(description)
const address = (description: string) => z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'IP:PORT').describe(description)

/** Schema of the settings file of a front process; `parse-settings` rejects unknown fields. */
export const frontSettings = z.object({
  host: z.string().min(1).describe('Name of the host.'),
  availabilityZone: z.string().min(1).describe('Availability zone of the host.'),
  clientAddress: address('Address for client connections.'),
  readyAddress: address('Address for the readiness checks of the load balancer.'),
  peerAddress: address('Address for connections from other front processes.'),
  metricsAddress: address('Address at which metrics are served.').optional(),
  storeAddress: address('Address of the store that keeps programs and configuration.'),
  storeParts: z.number().int().positive().describe('Number of partitions of each topic in the store.'),
  shardTopics: z.number().int().positive().default(2).describe('Number of topics that the shards are spread over; each adds as many shards as a topic has partitions.'),
  leaseMs: milliseconds('Lease duration of this process in the group that shares the shards, in ms.', 1_100),
  heartbeatMs: milliseconds('Interval between two renewals of the lease, in ms.', 300),
  limitSlack: z.number().nonnegative().default(0).describe('Requests by which a client account may exceed its limit in a short time: a part is granted to the account, the rest covers the delay of the counts between hosts.'),
  mostRoutingAgeMs: z.number().int().positive().optional().describe('Requests are refused once the store has not confirmed the configuration for this long, in ms: a key may have been revoked since. Without it, hosts that lose contact with the store keep using the configuration they have.'),
  graceMs: milliseconds('Time between the stop signal and the forced kill of the process, in ms.', 8_000),
  listenTimeoutMs: milliseconds('Longest wait at the start for ports that are taken, in ms; then the process ends with an error.', listenServer.defaultListenTimeoutMs),
  maxAnswerBytes: z.number().int().positive().default(4_194_304).describe('Maximum size of the body of an answer from an upstream, in bytes; a longer one is cut off.'),
  maxDescriptors: z.number().int().positive().default(4_096).describe('Number of file descriptors that this process may have open: half of them, besides 200 for files, are for connections of clients, at most 1,000.'),
  memoryMb: z.number().int().positive().optional().describe('Memory that this process may use, in MB. The bodies of all client requests together may hold an eighth of it, or two bodies of the greatest size if that is more; writes that wait for a store that does not answer, a sixteenth; kept turns a quarter, then new programs are refused. Without it, as with 256.'),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info').describe('Minimum level of the log lines that are written.')
})

/** Checked settings with their defaults filled in. */
export type FrontSettings = z.output<typeof frontSettings>
