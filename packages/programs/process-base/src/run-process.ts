/** Start and end of a process: its settings, the ready line, and the signals that end or reload it. */
import type * as logger from '@eelgrasswind/logger'
import type * as processSignals from '@eelgrasswind/process-signals'
import type * as z from 'zod'
import type * as baseSettings from './base-settings.js'
import * as settingsFiles from './load-settings.js'

/** Printed as one JSON line on standard output when the process takes requests. */
export interface ReadyLine {
  readonly ready: true
  readonly binary: string
  readonly peerAddress: string
  readonly callerAddress?: string
}

export interface RunningProcess {
  readonly readyLine: ReadyLine
  /** Takes no new work and resolves when what is under way has ended. */
  readonly drain: () => Promise<void>
  readonly close: () => Promise<void>
  readonly logger: logger.Logger
}

const exitForced = 1
/** Any time will do, in ms: what counts is that the timer exists. */
const stayMs = 60_000

/**
 * Awaits the start of a process. While it waits for the log or for a peer nothing but timers may be left, and the ones
 * of the timer service let Node.js end: without this a process that starts in an outage of the log ends by itself.
 */
export async function awaitStart (starting: Promise<RunningProcess>): Promise<RunningProcess> {
  const stay = setInterval(() => {}, stayMs)
  try {
    return await starting
  } finally {
    clearInterval(stay)
  }
}

/** A program of this system, as its command line starts it. */
export interface Program<T> {
  readonly binary: string
  readonly args: readonly string[]
  readonly schema: z.ZodType<T>
  readonly start: (settings: T) => Promise<RunningProcess>
}

/** Runs a program until a signal ends it, or until there is nothing to run. */
export async function runProcess<T extends baseSettings.BaseSettings> (program: Program<T>, signals: processSignals.ProcessSignals): Promise<void> {
  const loaded = settingsFiles.loadSettings(program.binary, program.args, program.schema)
  if (loaded.type === 'exit') {
    process.stdout.write(loaded.text)
    process.exit(loaded.code)
  }
  const running = await awaitStart(program.start(loaded.settings))
  const log = running.logger
  signals.setHandlers({
    onShutdown: (signal) => { end(running, loaded.settings.drainMs, signal) },
    onReload: () => { log.info({ outcome: checkAgain(program) }, 'settings read again') },
    onIgnored: (signal) => { log.info({ signal }, 'leaving already') }
  })
  process.stdout.write(`${JSON.stringify(running.readyLine)}\n`)
}

/** Settings can't change in a running process: they are checked now and in force after the next start. */
function checkAgain<T> ({ binary, args, schema }: Program<T>): string {
  const checked = settingsFiles.loadSettings(binary, [...args, '--check'], schema)
  return checked.type === 'exit' ? checked.text.trim() : 'valid'
}

/** Takes no new work and ends the process once nothing is under way, or after drainMs. */
function end (running: RunningProcess, drainMs: number, signal: string): void {
  const log = running.logger
  log.info({ signal }, 'leaving')
  const limit = setTimeout(() => {
    log.error({ drainMs }, 'requests still under way; ending anyway')
    process.exit(exitForced)
  }, drainMs)
  running.drain()
    .then(() => running.close())
    .then(() => {
      clearTimeout(limit)
      process.exit(0)
    }, (err: unknown) => {
      log.error({ err }, 'did not end cleanly')
      process.exit(exitForced)
    })
}
