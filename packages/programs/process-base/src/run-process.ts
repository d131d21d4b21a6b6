/** Runs a process: loads its settings, prints the ready line, and handles the signals for shutdown and reload. */
import type * as exitLogs from '@eelgrasswind/exit-log'
import type * as logger from '@eelgrasswind/logger'
import type * as processSignals from '@eelgrasswind/process-signals'
import * as timerService from '@eelgrasswind/timer-service'
import type * as z from 'zod'
import type * as baseSettings from './base-settings.js'
import * as limitCompiler from './limit-compiler.js'
import * as settingsFiles from './load-settings.js'

/** Printed as one JSON line on standard output once the process accepts requests. */
export interface ReadyLine {
  readonly ready: true
  readonly binary: string
  readonly peerAddress: string
  readonly callerAddress?: string
}

/** A started process. */
export interface RunningProcess {
  readonly readyLine: ReadyLine
  /** Accepts no new requests, and resolves when those in flight have ended. */
  readonly drain: () => Promise<void>
  readonly close: () => Promise<void>
  readonly logger: logger.Logger
}

const exitForced = 1
/** The value doesn't matter: the timer only keeps the event loop alive. */
const keepAliveIntervalMs = 60_000

/**
 * Awaits the start of a process and keeps the event loop alive meanwhile. The timers of the timer service don't: without
 * this, Node.js exits a process that starts during an outage of the log, as it waits on nothing but such timers.
 */
export async function awaitStart (starting: Promise<RunningProcess>): Promise<RunningProcess> {
  const keepAlive = setInterval(() => {}, keepAliveIntervalMs)
  try {
    return await starting
  } finally {
    clearInterval(keepAlive)
  }
}

/** An executable of this system: its name, command line arguments, settings schema and start function. */
export interface ProcessDefinition<T> {
  readonly binary: string
  readonly args: readonly string[]
  readonly schema: z.ZodType<T>
  readonly start: (settings: T) => Promise<RunningProcess>
}

async function loadSettings<T> ({ binary, args, schema }: ProcessDefinition<T>, exitLog: exitLogs.ExitLog): Promise<settingsFiles.LoadedSettings<T>> {
  return await settingsFiles.loadSettings(binary, args, schema, {
    timers: timerService.createRealTimers(),
    onIncomplete: (reason) => { exitLog.write('warn', { event: 'settingsAwaited', reason }, 'settings file is missing or incomplete') }
  })
}

/** Starts a process and shuts it down on a signal. Waits for a settings file that is missing or incomplete; exits at once if the settings are invalid or `--check` or `--help` is given. */
export async function runProcess<T extends baseSettings.BaseSettings> (definition: ProcessDefinition<T>, signals: processSignals.ProcessSignals, exitLog: exitLogs.ExitLog): Promise<void> {
  limitCompiler.limitWasmCompiler()
  const loaded = await loadSettings(definition, exitLog)
  if (loaded.type === 'exit') {
    process.stdout.write(loaded.text)
    if (loaded.reason === undefined) process.exit(loaded.code)
    exitLog.exit(loaded.code, loaded.reason)
  }
  const running = await awaitStart(definition.start(loaded.settings))
  const log = running.logger
  signals.setHandlers({
    onShutdown: (signal) => { drainAndExit(running, loaded.settings.drainMs, signal, exitLog) },
    onReload: () => { log.info({ outcome: settingsFiles.recheckSettings(definition) }, 'settings read again') },
    onIgnored: (signal) => { log.info({ signal }, 'already shutting down') }
  })
  process.stdout.write(`${JSON.stringify(running.readyLine)}\n`)
}

/** Drains the process and exits once no request is in flight, or with an error after `drainMs`. */
function drainAndExit (running: RunningProcess, drainMs: number, signal: string, exitLog: exitLogs.ExitLog): void {
  const log = running.logger
  log.info({ signal }, 'shutting down')
  const drainTimeout = setTimeout(() => {
    log.error({ drainMs }, 'requests still in flight after the drain timeout; exiting')
    exitLog.exit(exitForced, `requests still in flight ${drainMs} ms after ${signal}`)
  }, drainMs)
  running.drain()
    .then(() => running.close())
    .then(() => {
      clearTimeout(drainTimeout)
      process.exit(0)
    }, (err: unknown) => {
      log.error({ err }, 'shutdown failed')
      exitLog.exit(exitForced, 'graceful shutdown failed', err)
    })
}
