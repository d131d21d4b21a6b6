/** Runs the front process: settings, log lines, metrics, and the signals that end or reload it. */
import * as http from 'node:http'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as loggers from '@eelgrasswind/logger'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as processSignals from '@eelgrasswind/process-signals'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'
import * as front from './front.js'
import * as measuredLog from './measured-log.js'
import * as settings from './settings.js'

/** What the adapter of a platform gives to a process. */
export interface RunFrontPorts {
  readonly settingsFile: string
  readonly readSettings: () => string
  /** `--check` checks the settings and ends. */
  readonly args: readonly string[]
  readonly createLog: (cfg: settings.FrontSettings) => shardLog.ShardLog
  readonly dialect: dialects.Dialect
  readonly documents: front.DocumentFormat
  readonly metrics: decisionLog.DecisionMetrics
  readonly lines: loggers.BoundedLines
  readonly timers: timerService.TimerService
  readonly signals: processSignals.ProcessSignals
}

const exitInvalid = 1
const exitFailed = 1
/** The last log lines are given up after this, in ms, where nobody reads them. */
const flushMs = 200

/** Returns once the process takes requests; it then runs until a signal ends it. */
export async function runFront (ports: RunFrontPorts): Promise<void> {
  const { settingsFile, timers, metrics, lines } = ports
  const parsed = parseSettings.parseSettings(ports.readSettings(), settings.frontSettings, settingsFile)
  if (!parsed.ok) {
    process.stderr.write(`${parseSettings.formatSettingsErrors(parsed.failure)}\n`)
    process.exit(exitInvalid)
  }
  if (ports.args.includes('--check')) {
    process.stdout.write(`${settingsFile}: ok\n`)
    process.exit(0)
  }
  const cfg = parsed.value
  const logger = loggers.createLogger({ name: 'eelgrasswind-front', host: cfg.host as types.HostId, level: cfg.logLevel, stream: asStream(lines) })
  const decisions = decisionLog.createDecisionLog({ logger, count: metrics.count, now: timers.monotonic })
  const log = measuredLog.measuredLog(ports.createLog(cfg), metrics, timers)
  const running = new front.Front(cfg, { log, dialect: ports.dialect, documents: ports.documents, timers, decisions, settingsFile })
  addGauges(metrics, running, lines)
  if (cfg.metricsAddress !== undefined) serveMetrics(metrics, cfg.metricsAddress)
  onSignals(ports, running, decisions)
  await running.start()
}

function onSignals (ports: RunFrontPorts, running: front.Front, decisions: decisionLog.DecisionLog): void {
  const end = async (): Promise<void> => {
    let code = 0
    try {
      await running.stop()
    } catch (err) {
      decisions.note({ event: 'failedToStop', err })
      code = exitFailed
    }
    await timerService.within(ports.timers, ports.lines.flush(), flushMs)
    process.exit(code)
  }
  ports.signals.handle({
    end: () => { void end() },
    reload: () => { reload(ports, decisions) },
    ignored: (signal) => { decisions.note({ event: 'signalIgnored', signal }) }
  })
  // A fault in the handling of one request must not end the others: it is told, and the process goes on.
  process.on('unhandledRejection', (err) => { decisions.note({ event: 'unexpected', err }) })
}

/** Addresses and shards can't change in a running process: the new settings are checked now and in force after the next start. */
function reload (ports: RunFrontPorts, decisions: decisionLog.DecisionLog): void {
  decisions.note({ event: 'reload', settings: ports.settingsFile, outcome: checkSettings(ports) })
}

function checkSettings (ports: RunFrontPorts): string {
  try {
    const parsed = parseSettings.parseSettings(ports.readSettings(), settings.frontSettings, ports.settingsFile)
    return parsed.ok ? 'valid, in force after the next start' : parseSettings.formatSettingsErrors(parsed.failure)
  } catch (err) {
    return `not readable: ${(err as Error).message}`
  }
}

function addGauges (metrics: decisionLog.DecisionMetrics, running: front.Front, lines: loggers.BoundedLines): void {
  metrics.gauge('shards_owned', 'Shards that this process serves.', () => running.servedShardCount)
  metrics.gauge('requests_under_way', 'Requests that are not answered yet.', () => running.requestsUnderWay)
  metrics.gauge('routing_version', 'Version of the routing in force; 0 before the first.', () => running.routingVersion)
  metrics.gauge('upstreams', 'Upstreams that are listed.', () => running.upstreamCount)
  metrics.gauge('lines_dropped', 'Log lines that were dropped since nobody read them in time.', lines.dropped)
}

function serveMetrics (metrics: decisionLog.DecisionMetrics, address: string): void {
  const [host, port] = address.split(':')
  const server = http.createServer((_req, res) => {
    metrics.text().then((text) => {
      res.writeHead(200, { 'Content-Type': metrics.contentType })
      res.end(text)
    }, () => { res.destroy() })
  })
  server.listen(Number(port), host)
}

function asStream (lines: loggers.BoundedLines): NodeJS.WritableStream {
  const stream: Pick<NodeJS.WritableStream, 'write'> = {
    write: (line: string | Uint8Array) => {
      lines.write(String(line))
      return true
    }
  }
  // The logger only ever calls write.
  return stream as NodeJS.WritableStream
}
