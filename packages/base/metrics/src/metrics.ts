/** Sends metrics over UDP; a lost packet or an absent receiver loses values and has no other effect. */
import { StatsD } from 'hot-shots'
import type * as table from './metric-table.js'

/** Sends values of the metrics in `metricTable`. */
export interface Metrics {
  /** Adds to a counter; `by` defaults to 1. */
  increment: (name: table.CounterName, by?: number, tags?: table.MetricTags) => void
  gauge: (name: table.GaugeName, value: number, tags?: table.MetricTags) => void
  /** Records a duration in milliseconds. */
  timing: (name: table.TimingName, ms: number, tags?: table.MetricTags) => void
  /** Sends buffered values and closes the socket. */
  close: () => Promise<void>
}

/** Receiver of the metrics, and what all values have in common. */
export interface MetricsSettings {
  /** IP address of the receiver. */
  readonly host: string
  readonly port: number
  /** Prefix of every name, such as `eelgrasswind.`. */
  readonly prefix: string
  /** Tags of every value, such as the host and its availability zone. */
  readonly tags: Readonly<Record<string, string>>
}

/** Fits an Ethernet frame, with the IP and UDP headers. */
const maxPacketBytes = 1432
/** Maximum time that values are buffered, in milliseconds. */
const flushIntervalMs = 1000

function createDisabledMetrics (): Metrics {
  const dropValue = (): void => {}
  return { increment: dropValue, gauge: dropValue, timing: dropValue, close: async () => {} }
}

/** Creates a sender of metrics; with `off` it drops every value. */
export function createMetrics (settings: MetricsSettings | 'off'): Metrics {
  if (settings === 'off') return createDisabledMetrics()
  const statsClient = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { ...settings.tags },
    maxBufferSize: maxPacketBytes,
    bufferFlushInterval: flushIntervalMs,
    includeDataDogTags: false,
    includeDatadogTelemetry: false,
    // Errors of sending must not affect the process.
    errorHandler: () => {}
  })

  function close (): Promise<void> {
    return new Promise((resolve) => { statsClient.close(() => resolve()) })
  }

  return {
    increment: (name, by = 1, tags = {}) => { statsClient.increment(name, by, { ...tags }) },
    gauge: (name, value, tags = {}) => { statsClient.gauge(name, value, { ...tags }) },
    timing: (name, ms, tags = {}) => { statsClient.timing(name, ms, { ...tags }) },
    close
  }
}
