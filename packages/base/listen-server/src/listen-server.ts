/** Starts a server on its port, and waits while the port is taken: by an earlier process, by another program or by a connection. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'

/** Which listener an event concerns. */
interface ListenerFields {
  readonly listener: string
  /** IP:PORT. */
  readonly address: string
}

interface AttemptFields extends ListenerFields {
  /** Number of the attempt, from 1. */
  readonly attempt: number
  /** Time since the first attempt, in ms. */
  readonly waitedMs: number
}

/** What became of a listener; `cause` is the code of the error. */
export type ListenEvent =
  /** An attempt failed; another one follows, unless the time is up. */
  | AttemptFields & { readonly event: 'portTaken', readonly cause: string }
  /** The server listens after attempts that failed. */
  | AttemptFields & { readonly event: 'portFree' }
  /** There is no further attempt. */
  | AttemptFields & { readonly event: 'listenFailed', readonly cause: string }
  /** A server that listens could not accept a connection; it goes on. `errors`: number since the last such event; `cause`: of the last one. */
  | ListenerFields & { readonly event: 'listenerError', readonly cause: string, readonly errors: number }

/** Level and message of the log line of each event. */
export const listenEvents = {
  portTaken: { level: 'warn', message: 'a port is taken; trying again' },
  portFree: { level: 'info', message: 'the port is free; listening' },
  listenFailed: { level: 'error', message: 'could not listen' },
  listenerError: { level: 'error', message: 'error of a listening socket; it goes on' }
} as const satisfies Record<ListenEvent['event'], { readonly level: string, readonly message: string }>

type EventLevel = typeof listenEvents[keyof typeof listenEvents]['level']

/** Returns a function that logs events. */
export function createEventLog (logger: Readonly<Record<EventLevel, (fields: Readonly<Record<string, unknown>>, message: string) => void>>): (event: ListenEvent) => void {
  return (event) => {
    const { level, message } = listenEvents[event.event]
    logger[level]({ ...event }, message)
  }
}

/** Where and how long to try to listen. */
export interface ListenSettings {
  /** Name of the listener, for events and errors. */
  readonly listener: string
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
  /** Time after which a taken port is given up, in ms; may be infinite. */
  readonly timeoutMs: number
  /** Time between two attempts, in ms. */
  readonly retryMs?: number
  /** Ends the attempts. */
  readonly signal?: AbortSignal
  readonly report: (event: ListenEvent) => void
}

/** A server could not listen. */
export class ListenError extends Error {
  constructor ({ listener, address, cause, waitedMs }: Extract<ListenEvent, { event: 'listenFailed' }>) {
    super(`${listener} listener can't listen on ${address} after ${waitedMs} ms: ${cause}`)
    this.name = 'ListenError'
  }
}

/**
 * Default time after which a taken port is given up, in ms: longer than the minute for which the system keeps the local
 * port of a closed connection, and than the grace period of an earlier process.
 */
export const defaultListenTimeoutMs = 90_000

/** Time between two attempts, in ms: short, since clients wait meanwhile. */
const defaultRetryMs = 100

/** Interval in which further errors of a server that listens are reported as one, in ms: one that can't accept emits an error in each round of the event loop. */
const errorReportIntervalMs = 1_000

/** Errors that pass: the port is taken, or the address of the host is not set up yet. */
const passingCauses: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

/**
 * Resolves once the server listens, or once the signal was aborted. Rejects with a `ListenError` if the port is still
 * taken when the time is up, and at once if the error is of a kind that doesn't pass. Later errors of the server are
 * reported and otherwise ignored.
 */
export async function listen (server: net.Server, settings: ListenSettings): Promise<void> {
  const { listener, host, port, timeoutMs, retryMs = defaultRetryMs, signal, report } = settings
  const startedAt = performance.now()
  for (let attempt = 1; signal?.aborted !== true; attempt += 1) {
    const cause = await tryListen(server, host, port)
    const waitedMs = Math.round(performance.now() - startedAt)
    const fields = { listener, address: `${host}:${port}`, attempt, waitedMs }
    if (cause === undefined) {
      reportErrors(server, fields, report)
      if (attempt > 1) report({ event: 'portFree', ...fields })
      return
    }
    if (passingCauses.has(cause)) report({ event: 'portTaken', ...fields, cause })
    if (!passingCauses.has(cause) || waitedMs + retryMs > timeoutMs) throw reportFailure({ event: 'listenFailed', ...fields, cause }, report)
    await sleep(retryMs, signal)
  }
}

function reportFailure (failure: Extract<ListenEvent, { event: 'listenFailed' }>, report: ListenSettings['report']): ListenError {
  report(failure)
  return new ListenError(failure)
}

/** Resolves with the code of the error, or `undefined` if the server listens. */
function tryListen (server: net.Server, host: string, port: number): Promise<string | undefined> {
  return new Promise((resolve) => {
    const onListening = (): void => {
      server.off('error', onError)
      resolve(undefined)
    }
    const onError = (err: NodeJS.ErrnoException): void => {
      server.off('listening', onListening)
      resolve(err.code ?? err.message)
    }
    server.once('error', onError)
    server.listen(port, host, onListening)
  })
}

/** Without a listener the first error, such as ENFILE of `accept`, would be thrown. The first one is reported at once, those that follow within the interval at its end. */
function reportErrors (server: net.Server, { listener, address }: ListenerFields, report: ListenSettings['report']): void {
  let cause = ''
  let errors = 0
  let interval: NodeJS.Timeout | undefined
  const reportNew = (): void => {
    if (errors === 0) return
    report({ event: 'listenerError', listener, address, cause, errors })
    errors = 0
  }
  const startInterval = (): void => {
    interval = setTimeout(() => {
      interval = undefined
      if (errors > 0) startInterval()
      reportNew()
    }, errorReportIntervalMs)
    interval.unref()
  }
  server.on('error', (err: NodeJS.ErrnoException) => {
    cause = err.code ?? err.message
    errors += 1
    if (interval !== undefined) return
    startInterval()
    reportNew()
  })
  server.on('close', () => {
    clearTimeout(interval)
    interval = undefined
    reportNew()
  })
}

/** Resolves early if the signal is aborted. */
async function sleep (delayMs: number, signal: AbortSignal | undefined): Promise<void> {
  await timers.setTimeout(delayMs, undefined, signal === undefined ? {} : { signal }).catch(() => {})
}
