/** Sends metrics over UDP; a lost packet or an absent receiver costs nothing but the values. */
import { StatsD } from 'hot-shots'
import type * as table from './metric-table.js'

export interface Metrics {
  /** Adds to a counter, by 1 where left out. */
  increment: (name: table.CounterName, by?: number, tags?: table.MetricTags) => void
  gauge: (name: table.GaugeName, value: number, tags?: table.MetricTags) => void
  /** Records a duration in milliseconds. */
  timing: (name: table.TimingName, ms: number, tags?: table.MetricTags) => void
  /** Sends what is buffered. */
  close: () => Promise<void>
}

export interface MetricsSettings {
  /** IP address of the receiver. */
  readonly host: string
  readonly port: number
  /** Put before every name, as `eelgrasswind.`. */
  readonly prefix: string
  /** Tags of every value, such as the host and its availability zone. */
  readonly tags: Readonly<Record<string, string>>
}

/** Fits an Ethernet frame with its IP and UDP headers. */
const maxPacketBytes = 1432
const flushIntervalMs = 1000

function createOff (): Metrics {
  const drop = (): void => {}
  return { increment: drop, gauge: drop, timing: drop, close: async () => {} }
}

/** `off` drops every value. */
export function createMetrics (settings: MetricsSettings | 'off'): Metrics {
  if (settings === 'off') return createOff()
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { ...settings.tags },
    maxBufferSize: maxPacketBytes,
    bufferFlushInterval: flushIntervalMs,
    includeDataDogTags: false,
    includeDatadogTelemetry: false,
    // Metrics never disturb what they measure.
    errorHandler: () => {}
  })

  function close (): Promise<void> {
    return new Promise((resolve) => { client.close(() => resolve()) })
  }

  return {
    increment: (name, by = 1, tags = {}) => { client.increment(name, by, { ...tags }) },
    gauge: (name, value, tags = {}) => { client.gauge(name, value, { ...tags }) },
    timing: (name, ms, tags = {}) => { client.timing(name, ms, { ...tags }) },
    close
  }
}
