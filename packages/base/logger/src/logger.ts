/** Structured logs: one JSON line per record, with the ids of host, program and call. */
import Bunyan from 'bunyan'
import type * as types from '@eelgrasswind/types'

/** Log levels of bunyan, from lowest to highest. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal'

/** Members of a record; `err` may be anything that was thrown. */
export interface LogFields {
  readonly err?: unknown
  readonly [name: string]: unknown
}

/** Ids that every record of a child logger carries. */
export interface LogIds {
  readonly program?: types.ProgramId
  readonly call?: types.RequestKey
  readonly host?: types.HostId
  readonly upstream?: types.UpstreamId
}

/** A structured logger; each method writes one record with fields and a message. */
export interface Logger {
  trace: (fields: LogFields, message: string) => void
  debug: (fields: LogFields, message: string) => void
  info: (fields: LogFields, message: string) => void
  warn: (fields: LogFields, message: string) => void
  error: (fields: LogFields, message: string) => void
  fatal: (fields: LogFields, message: string) => void
  /** A logger whose records carry further ids. */
  child: (ids: LogIds) => Logger
}

export interface LoggerSettings {
  /** Name of the program that logs. */
  readonly name: string
  readonly host: types.HostId
  readonly level: LogLevel
  /** Where the lines are written; standard output by default. */
  readonly stream?: NodeJS.WritableStream
}

/** An error as it is written in a log line; the stack is one JSON string. */
interface LoggedError {
  readonly name: string
  readonly message: string
  readonly code?: unknown
  readonly stack?: string | undefined
  readonly cause?: LoggedError
}

/** Maximum depth of causes; an error may be its own cause. */
const maxCauses = 4

function toLoggedError (err: unknown, depth = 0): LoggedError {
  if (!(err instanceof Error)) return { name: typeof err, message: String(err) }
  const { name, message, stack, cause } = err
  const code = (err as NodeJS.ErrnoException).code
  return {
    name,
    message,
    stack,
    ...(code === undefined ? {} : { code }),
    ...(cause === undefined || depth >= maxCauses ? {} : { cause: toLoggedError(cause, depth + 1) })
  }
}

function wrapBunyan (bunyan: Bunyan): Logger {
  return {
    trace: (fields, message) => { bunyan.trace(fields, message) },
    debug: (fields, message) => { bunyan.debug(fields, message) },
    info: (fields, message) => { bunyan.info(fields, message) },
    warn: (fields, message) => { bunyan.warn(fields, message) },
    error: (fields, message) => { bunyan.error(fields, message) },
    fatal: (fields, message) => { bunyan.fatal(fields, message) },
    child: (ids) => wrapBunyan(bunyan.child(ids, true))
  }
}

/** Creates a logger that writes JSON lines with the name and the host. */
export function createLogger (settings: LoggerSettings): Logger {
  const bunyan = Bunyan.createLogger({
    name: settings.name,
    host: settings.host,
    level: settings.level,
    stream: settings.stream ?? process.stdout,
    serializers: { err: (err: unknown) => toLoggedError(err) }
  })
  return wrapBunyan(bunyan)
}

/** Creates a logger that drops every record. */
export function createSilentLogger (): Logger {
  const dropRecord = (): void => {}
  const silent: Logger = { trace: dropRecord, debug: dropRecord, info: dropRecord, warn: dropRecord, error: dropRecord, fatal: dropRecord, child: () => silent }
  return silent
}
