/** Start and end of a process: the ready line, and the signals that end it gracefully. */
import type * as logger from '@eelgrasswind/logger'

/** Printed as one JSON line on standard output when the process takes requests. */
export interface ReadyLine {
  readonly ready: true
  readonly binary: string
  readonly peerAddress: string
  readonly callerAddress?: string
}

export interface RunningProcess {
  readonly ready: ReadyLine
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

/** Ends gracefully on SIGTERM and SIGINT; a second signal, or more than drainMs, ends it at once. */
export function runUntilSignal (running: RunningProcess, drainMs: number): void {
  const log = running.logger
  let ending = false
  const end = (signal: NodeJS.Signals): void => {
    if (ending) process.exit(exitForced)
    ending = true
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
  process.on('SIGTERM', end)
  process.on('SIGINT', end)
  process.stdout.write(`${JSON.stringify(running.ready)}\n`)
}
