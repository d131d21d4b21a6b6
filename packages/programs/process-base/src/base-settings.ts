/** Settings that entries and sidecars share. */
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

const maxPort = 65_535

function id (description: string) {
  return z.string().regex(types.idPattern, 'an id: letters, digits and . _ ~ -, at most 128').meta({ description })
}

export const address = z.string().regex(/^http:\/\/[^/]+:\d+$/, 'an address as http://IP:PORT')

export function milliseconds (description: string, value: number) {
  return z.number().int().positive().default(value).meta({ description, unit: 'ms' })
}

export function port (description: string) {
  return z.number().int().min(0).max(maxPort).default(0).meta({ description: `${description}; 0 takes a free one.` })
}

export const baseSettings = z.strictObject({
  host: id('Id of this host, as the host list and the configuration name it.'),
  region: id('Region of this host.'),
  availabilityZone: id('Availability zone of this host.'),
  bindAddress: z.string().default('127.0.0.1').meta({ description: 'IP number to listen on.' }),
  peerPort: port('Port for the other processes of the system'),
  log: z.strictObject({
    address: address.meta({ description: 'The platform\'s log service.' }),
    timeoutMs: milliseconds('After this an answer of the log counts as lost; less than peers.timeoutMs, so that a process can still refuse.', 1_500)
  }).meta({ description: 'The platform\'s log.' }),
  hostList: z.strictObject({
    address: address.meta({ description: 'The platform\'s host list.' }),
    timeoutMs: milliseconds('After this an answer counts as lost.', 1_000),
    pollMs: milliseconds('How often the host list is read.', 1_000)
  }).meta({ description: 'The platform\'s host list.' }),
  configPollMs: milliseconds('How often the configuration stream is read.', 1_000),
  peers: z.strictObject({
    timeoutMs: milliseconds('Limit for short requests between processes.', 2_000),
    pingIntervalMs: milliseconds('Silence on an open request after which its connection is checked.', 1_000),
    pingTimeoutMs: milliseconds('A check unanswered for this long ends the connection.', 1_000)
  }).prefault({}).meta({ description: 'Connections to other processes of the system.' }),
  drainMs: milliseconds('Longest wait for requests under way when the process is told to end.', 60_000),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info').meta({ description: 'Least level that is logged.' }),
  metrics: z.strictObject({
    address: z.string().meta({ description: 'IP number of the StatsD collector.' }),
    port: z.number().int().min(1).max(maxPort).meta({ description: 'UDP port of the collector.' })
  }).nullable().default(null).meta({ description: 'Where metrics go; null sends none.' }),
  tracesUrl: z.url().nullable().default(null).meta({ description: 'OTLP endpoint for traces, as http://IP:PORT/v1/traces; null sends none.' })
})

export type BaseSettings = z.output<typeof baseSettings>
