/** The last line of a process that ends by itself, and lines before its logger exists. */
import * as lineWriter from './line-writer.js'

/** Levels of a line, as in the other log lines. */
export type LineLevel = 'info' | 'warn' | 'fatal'

const levelNumbers: Readonly<Record<LineLevel, number>> = { info: 30, warn: 40, fatal: 60 }
/** Exit code that Node.js also uses for an uncaught error. */
const unexpectedErrorExitCode = 1

/** Log of a process that works without settings and while modules load. */
export interface ExitLog {
  /** Writes a JSON line at once; lost if the reader has stopped reading. */
  readonly write: (level: LineLevel, fields: { readonly event: string, readonly [name: string]: unknown }, message: string) => void
  /** Ends the process, after a last line with the code, the reason and the error that led to it. */
  readonly exit: (code: number, reason: string, err?: unknown) => never
  /** From now on the program handles uncaught errors itself; until then they end the process. */
  readonly handleErrors: (onUncaught: (err: unknown) => void) => void
}

/**
 * Creates the log and ends the process at uncaught errors and unhandled rejections, after a last line. Call it before the
 * program is loaded: until then an end leaves only what Node.js prints. `output` is where the program writes its log.
 */
export function createExitLog (name: string, output: { readonly fd: number }): ExitLog {
  let isLoopEmpty = false
  let onUncaught = (err: unknown): void => { exit(unexpectedErrorExitCode, 'unexpected error', err) }

  function write (level: LineLevel, fields: { readonly event: string, readonly [name: string]: unknown }, message: string): void {
    const line = { name, pid: process.pid, level: levelNumbers[level], ...fields, msg: message, time: new Date().toISOString(), v: 0 }
    lineWriter.writeLine(output.fd, JSON.stringify(line))
  }

  function writeLastLine (code: number, reason: string, err?: unknown): void {
    write('fatal', { event: 'exit', code, reason, ...(err === undefined ? {} : { err: describeError(err) }) }, 'process ends by itself')
  }

  function exit (code: number, reason: string, err?: unknown): never {
    writeLastLine(code, reason, err)
    process.exit(code)
  }

  process.on('uncaughtException', (err) => { onUncaught(err) })
  // Node.js ends a process that has nothing left to wait for, also one whose start has not settled.
  process.on('beforeExit', () => { isLoopEmpty = true })
  process.on('exit', (code) => { if (isLoopEmpty) writeLastLine(Number(process.exitCode ?? code), 'nothing left to wait for') })

  return { write, exit, handleErrors: (newHandler) => { onUncaught = newHandler } }
}

function describeError (err: unknown): object {
  if (!(err instanceof Error)) return { name: typeof err, message: String(err) }
  const { name, message, stack } = err
  const { code } = err as NodeJS.ErrnoException
  return { name, message, stack, ...(code === undefined ? {} : { code }) }
}
