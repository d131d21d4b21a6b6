/** Runs the front process: settings, logging, metrics, and the signals for shutdown and reload. */
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as exitLogs from '@eelgrasswind/exit-log'
import * as listenServer from '@eelgrasswind/listen-server'
import * as loggers from '@eelgrasswind/logger'
import type * as processSignals from '@eelgrasswind/process-signals'
import * as settingsFiles from '@eelgrasswind/settings-file'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'
import * as front from './front.js'
import type * as limitListener from './limit-listener.js'
import * as measuredLog from './measured-log.js'
import * as probeServer from './probe-server.js'
import * as settings from './settings.js'
import * as watchLoad from './watch-load.js'

/** Dependencies that a platform's adapter provides. */
export interface RunFrontPorts {
  readonly settingsFile: string
  readonly readSettings: () => string
  /** `--check` validates the settings and exits. */
  readonly args: readonly string[]
  readonly createLog: (cfg: settings.FrontSettings) => shardLog.ShardLog
  readonly dialect: dialects.Dialect
  readonly documents: front.DocumentFormat
  readonly metrics: decisionLog.DecisionMetrics
  readonly lines: loggers.BoundedLineWriter
  readonly timers: timerService.TimerService
  readonly signals: processSignals.ProcessSignals
  readonly exitLog: exitLogs.ExitLog
}

const invalidSettingsExitCode = 1
const failedStopExitCode = 1
const unexpectedErrorExitCode = 1
const failedStartExitCode = 1
/** Time between two attempts to listen for the collector of metrics, in ms: nothing waits for it. */
const metricsRetryMs = 5_000
/** Timeout for writing the last log lines at exit, in ms; they are lost if nothing reads them. */
const flushTimeoutMs = 200

/** Resolves once the process accepts requests; it then runs until a signal stops it. */
export async function runFront (ports: RunFrontPorts): Promise<void> {
  const { settingsFile, timers, metrics, lines } = ports
  if (ports.args.includes('--check')) checkAndExit(ports)
  const cfg = await awaitSettings(ports)
  const logger = loggers.createLogger({ name: 'eelgrasswind-front', host: cfg.host as types.HostId, level: cfg.logLevel, stream: toStream(lines) })
  const decisions = decisionLog.createDecisionLog({ logger, countDecision: metrics.countDecision, now: timers.monotonic })
  const log = measuredLog.createMeasuredLog(ports.createLog(cfg), metrics, timers)
  const frontProcess = new front.Front(cfg, { log, dialect: ports.dialect, documents: ports.documents, timers, decisions, settingsFile })
  addGauges(metrics, frontProcess, lines)
  if (cfg.metricsAddress !== undefined) void serveMetrics({ metrics, timers, decisions }, cfg.metricsAddress)
  handleSignals(ports, frontProcess, decisions)
  try {
    await frontProcess.start()
  } catch (err) {
    if (!(err instanceof listenServer.ListenError)) throw err
    await timerService.withTimeout(timers, lines.flush(), flushTimeoutMs)
    ports.exitLog.exit(failedStartExitCode, 'could not listen', err)
  }
}

function toSource ({ settingsFile, readSettings }: RunFrontPorts): settingsFiles.SettingsSource<settings.FrontSettings> {
  return { file: settingsFile, read: readSettings, schema: settings.frontSettings }
}

/** Reports on the settings file as it is now, and exits. */
function checkAndExit (ports: RunFrontPorts): never {
  const found = settingsFiles.readSettings(toSource(ports))
  if (found.type === 'whole') {
    process.stdout.write(`${ports.settingsFile}: ok\n`)
    process.exit(0)
  }
  process.stderr.write(`${found.reason}\n`)
  process.exit(invalidSettingsExitCode)
}

/** The platform writes the settings file at every start: it may be missing or incomplete for a moment. */
async function awaitSettings (ports: RunFrontPorts): Promise<settings.FrontSettings> {
  const { settingsFile, timers, exitLog } = ports
  const found = await settingsFiles.awaitSettings(toSource(ports), {
    timers,
    onIncomplete: (reason) => { exitLog.write('warn', { event: 'settingsAwaited', settings: settingsFile, reason }, 'settings file is missing or incomplete') }
  })
  if (found.type === 'whole') return found.settings
  process.stderr.write(`${found.reason}\n`)
  return exitLog.exit(invalidSettingsExitCode, found.reason)
}

function handleSignals (ports: RunFrontPorts, frontProcess: front.Front, decisions: decisionLog.DecisionLog): void {
  const flushLines = async (): Promise<void> => { await timerService.withTimeout(ports.timers, ports.lines.flush(), flushTimeoutMs) }
  const shutDown = async (stop: () => Promise<void>, exit: () => never): Promise<void> => {
    try {
      await stop()
    } catch (err) {
      decisions.record({ event: 'failedToStop', err })
      await flushLines()
      ports.exitLog.exit(failedStopExitCode, 'graceful shutdown failed', err)
    }
    await flushLines()
    exit()
  }
  ports.signals.setHandlers({
    onShutdown: () => { void shutDown(() => frontProcess.stop(), () => process.exit(0)) },
    onReload: () => { reload(ports, decisions) },
    onIgnored: (signal) => { decisions.record({ event: 'signalIgnored', signal }) }
  })
  // A bug in the handling of one request must not stop the others: it is logged, and the process keeps running.
  process.on('unhandledRejection', (err) => { decisions.record({ event: 'unexpected', err }) })
  // An error outside any request may have left shared state half changed: the process is replaced once its requests have ended.
  ports.exitLog.handleErrors((err) => {
    decisions.record({ event: 'unexpected', err })
    void shutDown(() => frontProcess.stopAfterError(), () => ports.exitLog.exit(unexpectedErrorExitCode, 'unexpected error', err))
  })
}

/** Addresses and shards can't change in a running process: the new settings are validated now and take effect after a restart. */
function reload (ports: RunFrontPorts, decisions: decisionLog.DecisionLog): void {
  decisions.record({ event: 'reload', settings: ports.settingsFile, outcome: checkSettings(ports) })
}

function checkSettings (ports: RunFrontPorts): string {
  const found = settingsFiles.readSettings(toSource(ports))
  return found.type === 'whole' ? 'valid, takes effect after a restart' : found.reason
}

function addGauges (metrics: decisionLog.DecisionMetrics, frontProcess: front.Front, lines: loggers.BoundedLineWriter): void {
  metrics.registerGauge('shards_owned', 'Shards that this process serves.', () => frontProcess.servedShardCount)
  metrics.registerGauge('shards_unreadable', 'Shards of this process that nobody serves, since a stored record can not be decoded.', () => frontProcess.unreadableShardCount)
  metrics.registerGauge('requests_under_way', 'In-flight requests.', () => frontProcess.inFlightRequestCount)
  metrics.registerGauge('client_connections', 'Open connections of clients.', () => frontProcess.clientConnectionCount)
  metrics.registerGauge('body_bytes', 'Bytes of the bodies of client requests that have not ended.', () => frontProcess.bodyBytes)
  metrics.registerGauge('body_bytes_limit', 'Limit of body_bytes.', () => frontProcess.maxBodiesBytes)
  metrics.registerGauge('kept_turn_bytes', 'Memory of the turns that this process keeps for later ones.', () => frontProcess.keptTurnBytes)
  metrics.registerGauge('kept_turn_bytes_limit', 'Memory of kept turns from which on no new programs are taken.', () => frontProcess.maxKeptTurnBytes)
  metrics.registerGauge('routing_version', 'Version of the current routing; 0 before the first.', () => frontProcess.routingVersion)
  metrics.registerGauge('upstreams', 'Upstreams in the list.', () => frontProcess.upstreamCount)
  metrics.registerGauge('heap_used_bytes', 'Used old generation of the heap, garbage included.', () => watchLoad.readHeap().usedBytes)
  metrics.registerGauge('heap_limit_bytes', 'Size of the old generation at which Node.js ends the process.', () => watchLoad.readHeap().limitBytes)
  metrics.registerGauge('lines_dropped', 'Log lines that were dropped because they were not read in time.', lines.getDroppedCount)
}

/** Resolves once metrics are served, or can't be: no request depends on them. */
async function serveMetrics ({ metrics, ...ports }: { readonly metrics: decisionLog.DecisionMetrics } & limitListener.LimitListenerPorts, address: string): Promise<void> {
  const [host, port] = address.split(':') as [string, string]
  const server = probeServer.createProbeServer(ports, 'metrics', (_req, res) => {
    metrics.renderText().then((text) => {
      res.writeHead(200, { 'Content-Type': metrics.contentType })
      res.end(text)
    }, () => { res.destroy() })
  })
  try {
    await listenServer.listen(server, {
      listener: 'metrics',
      host,
      port: Number(port),
      timeoutMs: Infinity,
      retryMs: metricsRetryMs,
      report: (event) => { ports.decisions.record(event) }
    })
  } catch (err) {
    // It was logged.
    if (!(err instanceof listenServer.ListenError)) throw err
  }
}

function toStream (lines: loggers.BoundedLineWriter): NodeJS.WritableStream {
  const stream: Pick<NodeJS.WritableStream, 'write'> = {
    write: (line: string | Uint8Array) => {
      lines.write(String(line))
      return true
    }
  }
  // The logger only calls `write`.
  return stream as NodeJS.WritableStream
}
