/** Interface of the client of the platform's append-only log service. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** A record as stored in the log. */
export interface LogRecord {
  readonly offset: types.LogOffset
  /** Time of the append, by the log's clock. */
  readonly at: types.EpochMs
  readonly data: string
}

/** Records from an offset on, with the range of offsets that the stream holds. */
export interface LogPage {
  /** Offset of the oldest record that is still stored. Greater than the requested offset if records have expired. */
  readonly first: types.LogOffset
  /** Offset of the next append. */
  readonly next: types.LogOffset
  readonly records: readonly LogRecord[]
}

/** Offset and time that the log assigned to an append. */
export interface AppendResult {
  readonly offset: types.LogOffset
  readonly at: types.EpochMs
}

/** Options of a read. */
export interface ReadOptions {
  /** Maximum number of records in the page. */
  readonly limit?: number
}

/**
 * Client of the log service. Offsets of a stream are contiguous from 0. A failed append carries a verdict: `notRun` if the log
 * refused it or there was no connection, `mayHaveRun` if the answer was lost or late.
 */
export interface LogClient {
  /** Appends a record to a stream. */
  append: (stream: types.StreamName, data: string) => Promise<errors.Result<AppendResult>>
  /** Reads a page, which may be shorter than the limit. If records at `from` have expired, the page starts at its `first`. */
  read: (stream: types.StreamName, from: types.LogOffset, options?: ReadOptions) => Promise<errors.Result<LogPage>>
  close: () => Promise<void>
}

/** Settings of a log client. */
export interface LogClientSettings {
  /** Address of the log service, as `http://ip:port`. */
  readonly address: string
  /** Time limit of a request, in ms, after which its answer counts as lost. */
  readonly timeoutMs: number
  /** Defaults to real timers. */
  readonly timers?: timerService.TimerService
}
