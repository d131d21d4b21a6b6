/** Settings schema shared by entries and sidecars. */
import * as listenServer from '@eelgrasswind/listen-server'
import * as types from '@eelgrasswind/types'
import * as z from 'zod'

const maxPort = 65_535

function createIdSchema (description: string) {
  return z.string().regex(types.idPattern, 'an id: letters, digits and . _ ~ -, at most 128').meta({ description })
}

/** An HTTP address with a port and no path. */
export const address = z.string().regex(/^http:\/\/[^/]+:\d+$/, 'an address as http://IP:PORT')

/** A positive time in milliseconds with a default. */
export function milliseconds (description: string, value: number) {
  return z.number().int().positive().default(value).meta({ description, unit: 'ms' })
}

/** A TCP port; defaults to 0, which selects a free one. */
export function port (description: string) {
  return z.number().int().min(0).max(maxPort).default(0).meta({ description: `${description}; 0 selects a free one.` })
}

export const baseSettings = z.strictObject({
  host: createIdSchema('Id of this host, as in the host list and the configuration.'),
  region: createIdSchema('Region of this host.'),
  availabilityZone: createIdSchema('Availability zone of this host.'),
  bindAddress: z.string().default('127.0.0.1').meta({ description: 'IP address to listen on.' }),
  peerPort: port('Port for requests of other processes'),
  log: z.strictObject({
    address: address.meta({ description: 'The platform\'s log service.' }),
    timeoutMs: milliseconds('Timeout for requests to the log; less than peers.timeoutMs, so that a process can still answer with a refusal.', 1_500)
  }).meta({ description: 'The platform\'s log.' }),
  hostList: z.strictObject({
    address: address.meta({ description: 'The platform\'s host list.' }),
    timeoutMs: milliseconds('Timeout for requests to the host list.', 1_000),
    pollMs: milliseconds('Poll interval of the host list.', 1_000)
  }).meta({ description: 'The platform\'s host list.' }),
  configPollMs: milliseconds('Poll interval of the configuration stream.', 1_000),
  peers: z.strictObject({
    timeoutMs: milliseconds('Timeout for short requests between processes.', 2_000),
    pingIntervalMs: milliseconds('A connection with an open request is pinged after this long without data.', 1_000),
    pingTimeoutMs: milliseconds('A connection is closed if a ping is not answered within this time.', 1_000)
  }).prefault({}).meta({ description: 'Connections to other processes.' }),
  listenTimeoutMs: milliseconds('Longest wait at the start for a port that is taken; then the process ends with an error.', listenServer.defaultListenTimeoutMs),
  drainMs: milliseconds('Longest wait for requests in flight at shutdown.', 60_000),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info').meta({ description: 'Lowest level that is logged.' }),
  metrics: z.strictObject({
    address: z.string().meta({ description: 'IP address of the StatsD collector.' }),
    port: z.number().int().min(1).max(maxPort).meta({ description: 'UDP port of the collector.' })
  }).nullable().default(null).meta({ description: 'Where metrics go; null sends none.' }),
  tracesUrl: z.url().nullable().default(null).meta({ description: 'OTLP endpoint for traces, as http://IP:PORT/v1/traces; null sends none.' })
})

export type BaseSettings = z.output<typeof baseSettings>
