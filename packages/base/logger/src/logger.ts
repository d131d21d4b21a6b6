/** Structured logs: one JSON line a record, with the ids of host, program and call. */
import Bunyan from 'bunyan'
import type * as types from '@eelgrasswind/types'

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
  /** Where the lines go; standard output where left out. */
  readonly stream?: NodeJS.WritableStream
}

/** What a log line says of an error: the stack stays inside one JSON text. */
interface LoggedError {
  readonly name: string
  readonly message: string
  readonly code?: unknown
  readonly stack?: string | undefined
  readonly cause?: LoggedError
}

/** Causes that are followed; an error may name itself as its cause. */
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

function wrap (inner: Bunyan): Logger {
  return {
    trace: (fields, message) => { inner.trace(fields, message) },
    debug: (fields, message) => { inner.debug(fields, message) },
    info: (fields, message) => { inner.info(fields, message) },
    warn: (fields, message) => { inner.warn(fields, message) },
    error: (fields, message) => { inner.error(fields, message) },
    fatal: (fields, message) => { inner.fatal(fields, message) },
    child: (ids) => wrap(inner.child(ids, true))
  }
}

export function createLogger (settings: LoggerSettings): Logger {
  const inner = Bunyan.createLogger({
    name: settings.name,
    host: settings.host,
    level: settings.level,
    stream: settings.stream ?? process.stdout,
    serializers: { err: (err: unknown) => toLoggedError(err) }
  })
  return wrap(inner)
}

/** Drops every record. */
export function createSilentLogger (): Logger {
  const drop = (): void => {}
  const silent: Logger = { trace: drop, debug: drop, info: drop, warn: drop, error: drop, fatal: drop, child: () => silent }
  return silent
}
